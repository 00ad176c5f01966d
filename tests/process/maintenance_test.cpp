// Drains, waves, document edits and moves under continuous load, as separate processes.
#include "helpers/ids.hpp"
#include "process/harness.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdio>
#include <future>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

using namespace hibiscusbridge;
using nlohmann::json;

namespace
{

/// Time after an announcement by which no entry sends new work to the VM.
constexpr Millis leaveTime{4'000};
/// An accepted edit has to be in force everywhere within this time.
constexpr Millis editLimit{18'000};

struct Sample {
    Millis startedAt;
    std::string service;
    std::string vm;
    int status = 0;
    std::string outcome;
};

/// Sends requests through every entry from two threads until it is stopped.
class Load
{
public:
    Load(const Fleet &fleet, const std::vector<std::string> &services)
    {
        for (const int sleep : {30, 250}) {
            std::vector<Call> calls;
            for (const auto &entry : fleet.entries) {
                for (const auto &service : services) {
                    calls.push_back({"GET", "http://" + entry.callers + "/" + service + "/sleep/" + std::to_string(sleep), {}, {}});
                }
            }
            m_threads.emplace_back([this, calls, services] { run(calls, services); });
        }
    }
    ~Load()
    {
        stop();
    }

    std::vector<Sample> samples()
    {
        const std::lock_guard lock(m_mutex);
        return m_samples;
    }

    std::vector<Sample> stop()
    {
        m_stopped = true;
        for (auto &it : m_threads) {
            it.join();
        }
        m_threads.clear();
        return samples();
    }

private:
    void run(const std::vector<Call> &calls, const std::vector<std::string> &services)
    {
        while (!m_stopped) {
            const auto startedAt = systemClock().boot();
            const auto answers = exchangeAll(calls);
            const std::lock_guard lock(m_mutex);
            for (std::size_t i = 0; i < answers.size(); ++i) {
                const auto &it = answers[i];
                m_samples.push_back(
                    {startedAt, services[i % services.size()], std::string(headerValue(it.headers, "X-Vm")), it.status, it.outcome()});
            }
        }
    }

    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::vector<Sample> m_samples;
    std::vector<std::thread> m_threads;
};

auto lostIn(const std::vector<Sample> &samples)
{
    return std::ranges::count_if(samples, [](const auto &it) { return it.status != 200 || it.outcome != "finished"; });
}

/// Samples that the VM answered and that were started from `begin` on.
auto servedSince(const std::vector<Sample> &samples, const std::string &vm, Millis begin)
{
    return std::ranges::count_if(samples, [&](const auto &it) { return it.vm == vm && it.startedAt >= begin; });
}

std::string operatorUrl(const Fleet &fleet, const std::string &path, std::size_t entry = 0)
{
    return "http://" + fleet.entries[entry].operators + path;
}

std::vector<Header> operatorHeaders()
{
    return {{"Authorization", "Bearer operator-token"}};
}

Answer post(const Fleet &fleet, const std::string &path, const json &body = json::object())
{
    return exchange("POST", operatorUrl(fleet, path), body.dump(), operatorHeaders());
}

json get(const Fleet &fleet, const std::string &path, std::size_t entry = 0)
{
    const auto object = json::parse(exchange("GET", operatorUrl(fleet, path, entry)).body, nullptr, false);
    return object.is_object() ? object : json::object();
}

json factsOf(const Fleet &fleet, const std::string &vm)
{
    return get(fleet, "/v1/explain/vm/" + vm).value("facts", json::object());
}

std::string stateOf(const Fleet &fleet, const std::string &vm)
{
    return factsOf(fleet, vm).value("state", "");
}

json auditOf(const Fleet &fleet, const std::string &vm, const std::string &action)
{
    for (const auto &it : get(fleet, "/v1/explain/vm/" + vm).value("entries", json::array())) {
        if (it.value("action", "") == action) {
            return it;
        }
    }
    return json::object();
}

json sectionOf(const Fleet &fleet, const std::string &name)
{
    return get(fleet, "/v1/document/sections/" + name);
}

Call putCall(const Fleet &fleet, std::size_t entry, const std::string &section, const std::string &text, std::uint64_t base)
{
    auto headers = operatorHeaders();
    headers.push_back({"X-Base-Version", std::to_string(base)});
    headers.push_back({"X-Submission-Id", randomId()});
    return {"PUT", operatorUrl(fleet, "/v1/document/sections/" + section, entry), text, headers};
}

Answer put(const Fleet &fleet, const std::string &section, const std::string &text)
{
    const auto base = sectionOf(fleet, section).value("version", std::uint64_t{0});
    return exchangeAll({putCall(fleet, 0, section, text, base)}, {20'000}).front();
}

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

/// Pool of the fleet whose VM answers the service at the entry: 0, 1, ...; -1 for none.
int poolServing(const Fleet &fleet, std::size_t entry, const std::string &service)
{
    constexpr std::ptrdiff_t vmsPerPool = 3;
    const auto answer = fleet.call(entry, "GET", "/" + service + "/");
    const auto it = std::ranges::find(fleet.targets, headerValue(answer.headers, "X-Vm"));
    return it == fleet.targets.end() ? -1 : static_cast<int>((it - fleet.targets.begin()) / vmsPerPool);
}

/// Milliseconds until every entry routes the service to the pool. `reverted` is set when an entry goes back to another.
Millis timeInForce(const Fleet &fleet, const std::string &service, int pool, Millis watch, bool &reverted)
{
    const auto begin = systemClock().boot();
    std::optional<Millis> inForce;
    std::set<std::size_t> changed;
    while (systemClock().boot() - begin < (inForce ? *inForce + watch : editLimit * 2)) {
        for (std::size_t i = 0; i < fleet.entries.size(); ++i) {
            const bool isNew = poolServing(fleet, i, service) == pool;
            reverted = reverted || (!isNew && changed.contains(i));
            if (isNew) {
                changed.insert(i);
            }
        }
        if (!inForce && changed.size() == fleet.entries.size()) {
            inForce = systemClock().boot() - begin;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return inForce.value_or(editLimit * 2);
}

/// Two pools of three VMs; shared by the tests that leave it usable, because a start takes seconds.
const Fleet &sharedFleet()
{
    static const Fleet fleet = startFleet(3, 2, 3);
    return fleet;
}

} // namespace

// Guards against requests cut by planned work, new work for a VM that leaves, drains nobody can explain, and drained VMs
// that cannot come back.
TEST_CASE("a drain under load cuts no request, explains itself and can be taken back", "[process][maintenance]")
{
    const auto &fleet = sharedFleet();
    Load load(fleet, {"svc0"});
    const auto wall = systemClock().wall();
    auto longRequests = std::async(std::launch::async, [&] {
        std::vector<Call> calls(9);
        for (std::size_t i = 0; i < calls.size(); ++i) {
            // Not repeatable, so that it may use its whole deadline on one VM.
            calls[i] = {"POST", "http://" + fleet.entries[i % 3].callers + "/svc0/sleep/2500", {}, {}};
        }
        return exchangeAll(calls);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto announcedAt = systemClock().boot();
    REQUIRE(post(fleet, "/v1/vms/svc0-0/drain", {{"reason", "disk swap"}}).status == 200);
    REQUIRE(waitFor([&] { return stateOf(fleet, "svc0-0") == "drained"; }, {20'000}));
    bool wasBusy = false;
    for (const auto &it : longRequests.get()) {
        CHECK(it.status == 200);
        wasBusy = wasBusy || headerValue(it.headers, "X-Vm") == fleet.targets[0];
    }
    CHECK(wasBusy);
    CHECK(factsOf(fleet, "svc0-0").at("sinceMs") >= wall.count + 2'500);
    std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
    auto samples = load.samples();
    CHECK(servedSince(samples, fleet.targets[0], {}) > 0);
    CHECK(servedSince(samples, fleet.targets[0], announcedAt + leaveTime) == 0);
    CHECK(servedSince(samples, fleet.targets[1], announcedAt + leaveTime) > 0);

    const auto entry = auditOf(fleet, "svc0-0", "vm.drain.start");
    CHECK(entry.value("actor", "") == "ops");
    CHECK(entry.value("reason", "") == "disk swap");
    CHECK(entry.value("atMs", std::int64_t{0}) >= wall.count);
    CHECK(entry.value("figures", json()) == json{{"healthy", 3.0}, {"minHealthy", 1.0}, {"mayLose", 1.0}, {"planned", 0.0}});

    const auto undoneAt = systemClock().boot();
    CHECK(post(fleet, "/v1/vms/svc0-0/undo", {{"reason", "disk is new"}}).status == 200);
    CHECK(waitFor([&] { return servedSince(load.samples(), fleet.targets[0], undoneAt) > 0; }, {10'000}));
    CHECK(auditOf(fleet, "svc0-0", "vm.undo").value("reason", "") == "disk is new");
    // A VM that the platform is about to take away leaves by itself.
    REQUIRE(fleet.control(json{{"leaving", json::array({"svc0-1"})}}).status == 200);
    CHECK(waitFor([&] { return stateOf(fleet, "svc0-1") == "drained"; }, {20'000}));
    const auto leftAt = systemClock().boot();
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
    samples = load.stop();
    CHECK(servedSince(samples, fleet.targets[1], leftAt) == 0);
    CHECK(auditOf(fleet, "svc0-1", "vm.drain.start").value("reason", "") == "the platform lists the VM as leaving");
    CHECK(lostIn(samples) == 0);
}

// Guards against waves that lose requests, take too many VMs out, forget or repeat a VM, or go on while paused.
TEST_CASE("a wave under load reboots each VM once within the budget", "[process][maintenance]")
{
    const auto fleet = startFleet(3, 1, 4);
    REQUIRE(put(fleet, "pools", replaced(poolSection(fleet, 1, 4), "mayLose = 1", "mayLose = 2")).status == 200);
    Load load(fleet, {"svc0"});
    std::size_t fewestActive = 4;
    const auto countActive = [&] {
        std::size_t active = 0;
        for (int i = 0; i < 4; ++i) {
            active += stateOf(fleet, "svc0-" + std::to_string(i)) == "active" ? 1 : 0;
        }
        fewestActive = std::min(fewestActive, active);
        return active;
    };
    const auto waveFacts = [&] {
        countActive();
        return get(fleet, "/v1/waves").at("waves").at(0);
    };
    // The other entries plan with the new budget only once they hold it.
    for (std::size_t i = 0; i < 3; ++i) {
        REQUIRE(waitFor([&] { return get(fleet, "/v1/status", i).at("pools").at(0).at("mayLose") == 2; }, {10'000}));
    }
    const auto started = post(fleet, "/v1/waves", {{"pools", json::array({"svc0"})}, {"reason", "kernel"}});
    REQUIRE(started.status == 200);
    const auto wave = "/v1/waves/" + json::parse(started.body).at("wave").get<std::string>();
    REQUIRE(waitFor([&] { return countActive() < 4; }, {10'000}));
    REQUIRE(waitFor([&] { return post(fleet, wave + "/pause").status == 200; }, {5'000}));
    REQUIRE(waitFor([&] { return countActive() == 4; }, {40'000}));
    const auto maintained = waveFacts().at("maintained").get<int>();
    CHECK(maintained > 0);
    CHECK(maintained < 4);
    const bool restarted = waitFor([&] { return countActive() < 4; }, {2'500});
    CHECK_FALSE(restarted);
    CHECK(waveFacts().at("state") == "paused");
    REQUIRE(post(fleet, wave + "/resume").status == 200);
    CHECK(waitFor([&] { return waveFacts().at("state") == "finished"; }, {60'000}));
    CHECK(fewestActive >= 2);
    CHECK(countActive() == 4);
    const auto list = json::parse(exchange("GET", "http://" + fleet.platform + "/v1/vms").body);
    for (const auto &vm : list.at("vms")) {
        if (vm.at("id").get<std::string>().starts_with("svc0-")) {
            CHECK(vm.at("bootCount") == 2);
        }
    }
    const auto samples = load.stop();
    CHECK(samples.size() > 100);
    CHECK(lostIn(samples) == 0);
}

// Guards against edits that take effect late, overwrite each other, get lost without notice or revert.
TEST_CASE("document edits are in force everywhere in time and never revert", "[process][maintenance]")
{
    const auto &fleet = sharedFleet();
    REQUIRE(put(fleet, "fleet", fleetSection() + "[sections.extra]\nowner = \"ops\"\n").status == 200);
    const auto service = [](int pool, int deadline = 3'000) {
        return "[services.more]\npool = \"svc" + std::to_string(pool) + "\"\ndeadlineMs = " + std::to_string(deadline) + "\n";
    };
    bool reverted = false;
    REQUIRE(put(fleet, "extra", service(0)).status == 200);
    const auto plain = timeInForce(fleet, "more", 0, {0}, reverted);
    CHECK(plain < editLimit);

    const auto base = [&](const std::string &section) {
        return sectionOf(fleet, section).value("version", std::uint64_t{0});
    };
    const auto pools = replaced(poolSection(fleet, 2, 3), "deadlineMs = 3000", "deadlineMs = 2900");
    const auto different =
        exchangeAll({putCall(fleet, 1, "extra", service(0, 2'000), base("extra")), putCall(fleet, 2, "pools", pools, base("pools"))});
    CHECK(different[0].status == 200);
    CHECK(different[1].status == 200);
    REQUIRE(waitFor([&] { return base("extra") > 0 && sectionOf(fleet, "extra").value("text", "") == service(0, 2'000); }, {10'000}));
    CHECK(waitFor([&] { return sectionOf(fleet, "pools").value("text", "") == pools; }, {10'000}));

    const auto version = base("extra");
    auto same = exchangeAll(
        {putCall(fleet, 1, "extra", service(0, 2'100), version), putCall(fleet, 2, "extra", service(0, 2'200), version)}, {20'000});
    std::ranges::sort(same, {}, &Answer::status);
    CHECK(same[0].status == 200);
    CHECK(same[1].status == 409);
    CHECK_THAT(same[1].body, Catch::Contains("2100") && Catch::Contains("2200"));
    REQUIRE(waitFor([&] { return base("extra") > version; }, {10'000}));

    fleet.control({{"olderReads", true}});
    REQUIRE(put(fleet, "extra", service(1)).status == 200);
    const auto older = timeInForce(fleet, "more", 1, {2'500}, reverted);
    CHECK(older < editLimit);
    fleet.control({{"olderReads", false}, {"loseReplies", 1}});
    const auto lost = put(fleet, "extra", service(0));
    CHECK(lost.status == 200);
    const auto afterLoss = timeInForce(fleet, "more", 0, {2'500}, reverted);
    CHECK(afterLoss < editLimit);
    CHECK_FALSE(reverted);
    std::printf("edit in force at every entry, in ms: plain %lld, older reads %lld, lost reply %lld\n",
                static_cast<long long>(plain.count),
                static_cast<long long>(older.count),
                static_cast<long long>(afterLoss.count));
}

// Guards against a VM that serves two pools at once, and against requests cut by a move.
TEST_CASE("a VM declared in another pool moves there through a drain", "[process][maintenance]")
{
    const auto &fleet = sharedFleet();
    Load load(fleet, {"svc0", "svc1"});
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto text = replaced(poolSection(fleet, 2, 3), "[vms.svc1-0]\npool = \"svc1\"", "[vms.svc1-0]\npool = \"svc0\"");
    REQUIRE(put(fleet, "pools", text).status == 200);
    std::vector<std::pair<std::string, std::string>> seen;
    const bool moved = waitFor(
        [&] {
            const auto facts = factsOf(fleet, "svc1-0");
            seen.emplace_back(facts.value("state", ""), facts.value("pool", ""));
            return seen.back() == std::pair<std::string, std::string>("active", "svc0");
        },
        {30'000});
    CHECK(moved);
    // The VM never left its pool before it was out of service.
    for (const auto &[state, pool] : seen) {
        CHECK((pool == "svc1" || state == "active"));
    }
    const auto movedAt = systemClock().boot();
    CHECK(waitFor([&] { return servedSince(load.samples(), fleet.targets[3], movedAt) > 0; }, {10'000}));
    Millis lastOld;
    auto firstNew = systemClock().boot();
    const auto samples = load.stop();
    for (const auto &it : samples) {
        if (it.vm == fleet.targets[3] && it.service == "svc1") {
            lastOld = std::max(lastOld, it.startedAt);
        } else if (it.vm == fleet.targets[3]) {
            firstNew = std::min(firstNew, it.startedAt);
        }
    }
    CHECK((lastOld.count > 0 && lastOld < firstNew));
    CHECK(lostIn(samples) == 0);
    CHECK(auditOf(fleet, "svc1-0", "vm.move.start").value("reason", "") == "declared in pool svc0");
    CHECK(auditOf(fleet, "svc1-0", "vm.move.finish").value("after", "") == "active in pool svc0");
}
