// Validation must report every problem of the document with its location, and accept valid documents.
#include "document/check.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>

using namespace hibiscusbridge;

static const std::string hash(64, 'a');

static std::string vm(const std::string &id, const std::string &pool, int number, const std::string &rack, const std::string &more = "")
{
    return "[vms." + id + "]\npool = \"" + pool + "\"\naddress = \"10.0." + std::to_string(number / 200) + "."
           + std::to_string(number % 200 + 1) + ":80\"\nzone = \"z\"\nrack = \"" + rack + "\"\n" + more;
}

static std::string team(const std::string &more = "")
{
    return "[teams.ops]\ntokenSha256 = \"" + hash + "\"\n" + more + "[sections.fleet]\nowner = \"ops\"\n[sections.web]\nowner = \"ops\"\n";
}

static const std::string pool = "[pools.web]\nowner = \"ops\"\n";

/// Problems as text, one per line; errors start with `E`, warnings with `W`.
static std::string problems(const std::string &fleet, const std::string &web)
{
    std::string out;
    for (const auto &it : checkDocument(std::vector<SectionText>{{"fleet", fleet}, {"web", web}}).problems) {
        out += (it.severity == Severity::Error ? "E " : "W ") + formatProblem(it) + "\n";
    }
    return out;
}

TEST_CASE("a valid document has no problems", "[document]")
{
    CHECK(problems(team(), pool + "minHealthy = 1\n[services.shop]\npool = \"web\"\n" + vm("a", "web", 1, "r1") + vm("b", "web", 2, "r2"))
              .empty());
}

TEST_CASE("each kind of problem is reported with its location", "[document]")
{
    struct Case {
        std::string fleet;
        std::string web;
        std::string expected;
    };
    const std::vector<Case> cases{
        {team(), "[pools.web]\nowner = \"ops\"\ncolour = 1\n", "E web:3:1: unknown key 'colour'"},
        {team(), "[services]\n[servces.x]\n", "E web:2:2: unknown key 'servces'"},
        {team(), "[pools.web]\nminHealthy = 0\n", "E web:1:1: key 'owner' is missing"},
        {team(), "[pools.web]\nowner = \"nobody\"\n", "E web:2:9: owner 'nobody' of pool 'web' is not a team"},
        {team(), vm("a", "none", 1, "r"), "E web:2:8: pool 'none' of VM 'a' is not declared"},
        {team(), "[services.s]\npool = \"none\"\n", "E web:2:8: pool 'none' of service 's' is not declared"},
        {team(), "[services.s]\n", "E web:1:1: key 'pool' is missing"},
        {team(), pool + "[services.s]\npool = \"web\"\ndeadlineMs = 0\n", "E web:5:14: deadlineMs of service 's'"},
        {team(), pool + "[services.s]\npool = \"web\"\ndeadlineMs = 60001\n", "E web:5:14: deadlineMs of service 's'"},
        {team(), pool + vm("a", "web", 1, "r", "slots = 0\n"), "E web:8:9: slots of VM 'a'"},
        {team(), pool + vm("a", "web", 1, "r", "connections = 0\n"), "E web:8:15: connections of VM 'a'"},
        {team(), pool + vm("a", "web", 1, "r") + vm("b", "web", 1, "r"), "E web:10:11: VM 'b' has the same address 10.0.0.2:80 as VM 'a'"},
        {team(), pool + vm("a", "web", 1, "r") + vm("a", "web", 2, "r"), "E web:8:"},
        {team() + vm("a", "web", 1, "r"), pool + vm("a", "web", 2, "r"), "E web:3:1: 'vms.a' is already defined in section 'fleet'"},
        {team(), pool + "minHealthy = 2\n" + vm("a", "web", 1, "r"), "E web:3:14: pool 'web' has 1 VMs, fewer than minHealthy 2;"},
        {team(),
         pool + "minHealthy = 1\n" + vm("a", "web", 1, "r"),
         "E web:1:8: pool 'web' has 1 VMs, fewer than minHealthy 1 plus mayLose 1"},
        {team(), pool + "minHealthy = 1\n" + vm("a", "web", 1, "r") + vm("b", "web", 2, "r"), "W web:3:14: losing rack r of zone z"},
        {team(),
         pool + "minHealthy = 1\nsurvivesZone = true\n" + vm("a", "web", 1, "r") + vm("b", "web", 2, "s"),
         "E web:4:16: losing zone z"},
        {team("quotaCores = 9\n"), pool + vm("a", "web", 1, "r", "cores = 8\n"), "E fleet:3:14: the teams' quotaCores add up to 9"},
        {team("quotaCores = 9\n"), "", "W fleet:3:14: the teams' quotaCores add up to 9"},
        {team("quotaAccelerators = 1\n"), pool + vm("a", "web", 1, "r"), "E fleet:3:21: the teams' quotaAccelerators"},
        {team() + "[teams.b]\ntokenSha256 = \"secret\"\n", "", "E fleet:8:15: tokenSha256 of team 'b' must be a SHA-256"},
        {team() + "[weights]\nbufferCost = 0\nrollOutTime = 0\nmoves = 0\n", "", "E fleet:7:1: at least one of the weights"},
        {team() + "[weights]\nmoves = inf\n", "", "E fleet:8:9: key 'moves' must be a number"},
        {team(), "[weights]\nmoves = 1\n", "E web:1:1: 'weights' may only be defined in section 'fleet'"},
        {team(), "[teams.b]\ntokenSha256 = \"" + hash + "\"\n", "'teams.b' may only be defined in section 'fleet'"},
        {team(), "[sections.db]\nowner = \"ops\"\n", "'sections.db' may only be defined in section 'fleet'"},
        {"[sections.web]\nowner = \"ops\"\n", "", "E fleet: section 'fleet' has no owner"},
        {team() + "[sections.db]\nowner = \"none\"\n", "", "E fleet:8:9: owner 'none' of section 'db' is not a team"},
        {team(), "[pools.Web]\nowner = \"ops\"\n", "name 'Web' must have 1 to 63 characters"},
        {team(), "[pools." + std::string(64, 'x') + "]\nowner = \"ops\"\n", "must have 1 to 63 characters"},
        {team(), "#" + std::string(maxSectionBytes, 'x'), "E web: the text has 262145 bytes"},
        {team(), "[pools.web\n", "E web:1:11: "},
    };
    for (const auto &[fleet, web, expected] : cases) {
        const auto found = problems(fleet, web);
        INFO(found);
        CHECK(found.find(expected) != std::string::npos);
    }
}

TEST_CASE("all problems are reported, not only the first", "[document]")
{
    const auto found = problems(team(), "[pools.web]\nowner = \"x\"\nfoo = 1\n" + vm("A", "none", 1, "r", "slots = 0\n"));
    CHECK(std::count(found.begin(), found.end(), '\n') == 5);
}

TEST_CASE("spares outside the failed rack compensate its loss, those inside do not", "[document]")
{
    const auto web =
        pool + "minHealthy = 1\n" + vm("a", "web", 1, "r") + vm("b", "web", 2, "r") + "[pools.spare]\nowner = \"ops\"\nspare = true\n";
    CHECK(problems(team(), web + vm("s", "spare", 3, "other")).empty());
    CHECK(problems(team(), web + vm("s", "spare", 3, "r")).find("0 spares remain") != std::string::npos);
    // One spare cannot replace VMs of two pools that lose a VM in the same rack.
    const auto both = web + "[pools.db]\nowner = \"ops\"\nminHealthy = 1\n" + vm("c", "db", 4, "r") + vm("d", "db", 5, "r")
                      + vm("s", "spare", 3, "other");
    CHECK(problems(team(), both).find("all affected pools need 2 VMs and 1 spares remain") != std::string::npos);
}

TEST_CASE("addresses are an IP address and a port, compared in canonical form", "[document]")
{
    for (const auto *const bad :
         {"host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:80x", "::1:80", "[::1]", "[10.0.0.1]:80", ":80"}) {
        CHECK(canonicalAddress(bad).empty());
    }
    CHECK(canonicalAddress(std::string("10.0.0.1\0x:80", 13)).empty());
    CHECK(canonicalAddress("[2001:DB8::0:1]:80") == canonicalAddress("[2001:db8::1]:080"));
}

TEST_CASE("a document of maximum size is validated without blocking the event loop", "[document]")
{
    // 201 sections, 153 pools, 510 VMs, 210 teams.
    std::vector<SectionText> sections{{"fleet", ""}};
    for (int i = 0; i < 210; ++i) {
        sections[0].text += "[teams.t" + std::to_string(i) + "]\ntokenSha256 = \"" + hash + "\"\nquotaCores = 1\n";
    }
    sections[0].text += "[sections.fleet]\nowner = \"t0\"\n";
    for (int i = 0; i < 200; ++i) {
        const auto name = "s" + std::to_string(i);
        sections[0].text += "[sections." + name + "]\nowner = \"t" + std::to_string(i) + "\"\n";
        sections.push_back({name,
                            i < 153 ? "[pools.p" + std::to_string(i) + "]\nowner = \"t1\"\n[services.v" + std::to_string(i)
                                          + "]\npool = \"p" + std::to_string(i) + "\"\n"
                                    : ""});
    }
    for (int i = 0; i < 510; ++i) {
        const auto name = "p" + std::to_string(i % 153);
        sections[static_cast<std::size_t>(i % 200) + 1].text +=
            vm("v" + std::to_string(i), name, i, "r" + std::to_string(i / 4), "cores = 32\n");
    }
    constexpr int rounds = 20;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        REQUIRE(checkDocument(sections).problems.empty());
    }
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - start;
    std::cout << "validation of 201 sections, 153 pools, 510 VMs: " << took.count() / rounds << " ms\n";
    CHECK(took.count() / rounds < 2'200); // Target: urgent work starts within 2.2 s.
}
