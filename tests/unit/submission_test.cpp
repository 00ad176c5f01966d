// Submissions: authorisation, conflicts, idempotent retries, and the rows written by the commit.
#include "submission_fixture.hpp"

#include "audit/audit.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using Outcome = SubmissionOutcome;

TEST_CASE("an accepted submission writes VM rows, ledgers, version and audit entry in one commit", "[submission]")
{
    SubmissionFixture fixture;
    fixture.setUp();
    const auto commits = fixture.table.commits;
    const auto result = fixture.submitAndWait(fixture.edit("web", poolText("web", {1, 3}) + "[pools.web-two]\nowner = \"web\"\n", "s4"));
    REQUIRE(result.outcome == Outcome::Accepted);
    CHECK(fixture.table.commits == commits + 1);
    for (const auto *const key : {"view/doc/web", "view/docversion", "view/vm/web3", "view/pool/web-two", "submission/s4"}) {
        CHECK(fixture.table.row(key).version == result.version);
    }
    CHECK(fixture.table.row("view/vm/web1").version < result.version);
    const auto entries = selectAudit(fixture.table.rows("audit/"), "section/web", 10);
    REQUIRE(entries.size() == 2);
    CHECK(entries.back().actor == "web");
    CHECK(entries.back().figures.at("newVms") == 1);
}

TEST_CASE("a submission does not modify the row of a VM that is moved or no longer declared", "[submission]")
{
    SubmissionFixture fixture;
    fixture.setUp();
    auto moved = poolText("web", {1}) + "[pools.web-two]\nowner = \"web\"\n";
    moved.replace(moved.find("pool = \"web\""), 12, "pool = \"web-two\"");
    REQUIRE(fixture.submitAndWait(fixture.edit("web", moved, "s4")).outcome == Outcome::Accepted);
    CHECK(parseVm(*fixture.table.row("view/vm/web1").value)->pool == "web");
    REQUIRE(fixture.submitAndWait(fixture.edit("web", "", "s5")).outcome == Outcome::Accepted);
    CHECK(fixture.table.row("view/vm/web1").value.has_value());
}

TEST_CASE("the bootstrap token is accepted only for the first submission of section fleet", "[submission]")
{
    SubmissionFixture fixture;
    CHECK(fixture.submitAndWait({"fleet", fleetText(), 0, "a", "ops-token"}).outcome == Outcome::Forbidden);
    CHECK(fixture.submitAndWait({"web", poolText("web", {}), 0, "b", "bootstrap"}).outcome == Outcome::Forbidden);
    CHECK(fixture.submitAndWait({"fleet", fleetText(), 0, "c", "bootstrap"}).outcome == Outcome::Accepted);
    CHECK(fixture.submitAndWait({"fleet", fleetText() + "#", fixture.sectionVersion("fleet"), "d", "bootstrap"}).outcome
          == Outcome::Forbidden);
    SubmissionFixture closed;
    SubmissionManager manager(closed.table.port(), closed.loop.timers(), closed.loop.clock(), "");
    std::optional<SubmissionResult> answer;
    manager.submit({"fleet", fleetText(), 0, "e", ""}, [&answer](const auto &result) { answer = result; });
    closed.loop.advance({60'000});
    CHECK(answer.value().outcome == Outcome::Forbidden);
}

TEST_CASE("a submission without the section owner's token is forbidden", "[submission]")
{
    SubmissionFixture fixture;
    fixture.setUp();
    auto edit = fixture.edit("web", "", "s4");
    for (const auto *const token : {"db-token", "", "ops-token"}) {
        edit.token = token;
        CHECK(fixture.submitAndWait(edit).outcome == Outcome::Forbidden);
    }
    CHECK(fixture.submitAndWait(fixture.edit("other", "", "s5")).outcome == Outcome::Forbidden);
    CHECK(fixture.table.rows("submission/").size() == 3);
}

TEST_CASE("an edit based on an older or unknown version gets a conflict with a diff", "[submission]")
{
    SubmissionFixture fixture;
    fixture.setUp();
    auto edit = fixture.edit("web", poolText("web", {1, 4}), "s5");
    REQUIRE(fixture.submitAndWait(fixture.edit("web", poolText("web", {1, 3}), "s4")).outcome == Outcome::Accepted);
    const auto result = fixture.submitAndWait(edit);
    CHECK(result.outcome == Outcome::Conflict);
    CHECK(result.version == fixture.sectionVersion("web"));
    CHECK(result.diff.find("-[vms.web3]\n") != std::string::npos);
    CHECK(result.diff.find("+[vms.web4]\n") != std::string::npos);
    edit.baseVersion = 999;
    CHECK(fixture.submitAndWait(edit).outcome == Outcome::Conflict);
}

TEST_CASE("deleting content that another section references is invalid", "[submission]")
{
    SubmissionFixture fixture;
    fixture.setUp();
    REQUIRE(fixture.submitAndWait(fixture.edit("db", poolText("db", {2}) + "[services.shop]\npool = \"web\"\n", "s4")).outcome
            == Outcome::Accepted);
    const auto result = fixture.submitAndWait(fixture.edit("web", "", "s5"));
    CHECK(result.outcome == Outcome::Invalid);
    REQUIRE(result.problems.size() == 1);
    CHECK(formatProblem(result.problems[0]) == "db:9:8: pool 'web' of service 'shop' is not declared");
    CHECK(fixture.submitAndWait(fixture.edit("fleet", "", "s6")).outcome == Outcome::Invalid);
}

TEST_CASE("a retried submission returns its first result after later edits and a token change", "[submission]")
{
    SubmissionFixture fixture;
    fixture.setUp();
    const auto edit = fixture.edit("web", poolText("web", {1, 3}, "minHealthy = 1\n"), "s4");
    const auto result = fixture.submitAndWait(edit);
    REQUIRE(result.outcome == Outcome::Accepted);
    CHECK(result.problems.size() == 1); // Warning: all VMs are in a single rack.
    REQUIRE(fixture.submitAndWait(fixture.edit("web", poolText("web", {1}), "s5")).outcome == Outcome::Accepted);
    const auto again = fixture.submitAndWait(edit);
    CHECK(again.outcome == Outcome::Accepted);
    CHECK(again.version == result.version);
    REQUIRE(again.problems.size() == 1);
    CHECK(formatProblem(again.problems[0]) == formatProblem(result.problems[0]));
    const auto rotate = fixture.edit("fleet", fleetText("new-token"), "s6");
    REQUIRE(fixture.submitAndWait(rotate).outcome == Outcome::Accepted);
    CHECK(fixture.submitAndWait(rotate).outcome == Outcome::Accepted);
    CHECK(fixture.submitAndWait(fixture.edit("fleet", fleetText(), "s7")).outcome == Outcome::Forbidden);
}

TEST_CASE("reusing a submission id for another text, section or token is rejected", "[submission]")
{
    SubmissionFixture fixture;
    fixture.setUp();
    CHECK(fixture.submitAndWait(fixture.edit("web", poolText("web", {1, 3}), "s2")).outcome == Outcome::IdReused);
    CHECK(fixture.submitAndWait({"db", poolText("web", {1}), fixture.sectionVersion("db"), "s2", "web-token"}).outcome
          == Outcome::IdReused);
    CHECK(fixture.submitAndWait({"web", poolText("web", {1}), 0, "s2", "db-token"}).outcome == Outcome::Forbidden);
    // "s" is a prefix of accepted ids, but not itself used.
    CHECK(fixture.submitAndWait(fixture.edit("web", poolText("web", {1, 3}), "s")).outcome == Outcome::Accepted);
}

TEST_CASE("names that are not valid in row keys are rejected without a table call", "[submission]")
{
    SubmissionFixture fixture;
    fixture.setUp();
    const auto calls = fixture.table.calls;
    CHECK(fixture.submitAndWait(fixture.edit("we/b", "", "s4")).outcome == Outcome::Invalid);
    CHECK(fixture.submitAndWait(fixture.edit("web", "", "a/b")).outcome == Outcome::Invalid);
    CHECK(fixture.submitAndWait(fixture.edit("web", "", "")).outcome == Outcome::Invalid);
    CHECK(fixture.table.calls == calls);
}

TEST_CASE("nine concurrent submissions of different sections are all accepted within 18 s", "[submission]")
{
    SubmissionFixture fixture;
    auto fleet = fleetText();
    for (int i = 0; i < 9; ++i) {
        fleet += "[sections.n" + std::to_string(i) + "]\nowner = \"web\"\n";
    }
    REQUIRE(fixture.submitAndWait({"fleet", fleet, 0, "s1", "bootstrap"}).outcome == Outcome::Accepted);
    std::vector<std::unique_ptr<SubmissionManager>> managers;
    int accepted = 0;
    for (int i = 0; i < 9; ++i) {
        managers.push_back(std::make_unique<SubmissionManager>(fixture.table.port(), fixture.loop.timers(), fixture.loop.clock(), ""));
        const auto name = "n" + std::to_string(i);
        managers.back()->submit({name, "[pools." + name + "]\nowner = \"web\"\n", 0, "id" + name, "web-token"},
                                [&accepted](const auto &result) { accepted += result.outcome == Outcome::Accepted ? 1 : 0; });
    }
    fixture.loop.advance({18'000}); // Target: a change takes effect on all entries within 18 s.
    CHECK(accepted == 9);
}
