// Faults of whole entries, of the platform and of connections, as callers and targets see them.
#include "process/harness.hpp"
#include "process/load.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <future>
#include <iostream>
#include <unistd.h>

using namespace hibiscusbridge;
using nlohmann::json;

static Millis now()
{
    static const auto clock = systemClock();
    return clock.boot();
}

static void pause(Millis time)
{
    usleep(static_cast<useconds_t>(time.count * 1000));
}

static void report(const std::string &what, std::int64_t value, const std::string &unit)
{
    std::cout << "figure: " << what << ": " << value << ' ' << unit << '\n';
}

static std::vector<std::string> callerAddresses(const Fleet &fleet)
{
    std::vector<std::string> addresses;
    for (const auto &it : fleet.entries) {
        addresses.push_back(it.callers);
    }
    return addresses;
}

static Answer callWithKey(const Fleet &fleet, std::size_t entry, const std::string &path, const std::string &key)
{
    return fleet.call(entry, "POST", path, key, {{"Idempotency-Key", key}});
}

static bool isReady(const Fleet &fleet, std::size_t entry)
{
    return exchange("GET", "http://" + fleet.entries[entry].callers + "/-/ready", {}, {}, {500}).status == 200;
}

static json status(const Fleet &fleet, std::size_t entry)
{
    return json::parse(exchange("GET", "http://" + fleet.entries[entry].operators + "/v1/status").body);
}

struct LoadCounts {
    std::size_t exchanges = 0;
    std::size_t finished = 0;
    std::size_t notRun = 0;
    std::size_t broken = 0;
};

/// True when the body is the one that the stand-in sends for this exchange.
static bool isOwnAnswer(const Exchange &exchange, const TargetResult &result)
{
    const auto vm = std::string(headerValue(result.headers, "X-Vm"));
    return result.body == exchange.method + " " + exchange.path + " by " + vm + "\n" + exchange.key;
}

static void checkAttempt(const Exchange &exchange, const TargetResult &result, const json &targets)
{
    const auto id = std::string(headerValue(result.headers, "X-Request-Id"));
    if (isNotRun(result)) {
        INFO("a request refused as not run reached a target: " << result.body);
        CHECK(!targets["byRequest"].contains(id));
    }
    if (isFinished(result)) {
        INFO(result.status << ' ' << result.body);
        CHECK(isOwnAnswer(exchange, result));
        // A repeat gets the recorded answer, which has the id of the first request.
        const bool isFirst = &result == &exchange.attempts.front();
        CHECK((!isFirst || headerValue(result.headers, "X-Echo") == id));
        CHECK((exchange.key.empty() ? 1 : targets["byKey"].value(exchange.key, 0)) == 1);
    }
}

/// Checks every answer against what the targets carried out.
static LoadCounts checkTruth(const std::vector<Exchange> &exchanges, const json &targets)
{
    LoadCounts counts{.exchanges = exchanges.size()};
    for (const auto &exchange : exchanges) {
        for (const auto &it : exchange.attempts) {
            checkAttempt(exchange, it, targets);
            counts.notRun += isNotRun(it) ? 1 : 0;
            counts.broken += it.outcome == TargetOutcome::Unknown ? 1 : 0;
        }
        counts.finished += isFinished(exchange.attempts.back()) ? 1 : 0;
    }
    for (const auto &[key, times] : targets["byKey"].items()) {
        INFO("key " << key);
        CHECK(times == 1);
    }
    return counts;
}

static void reportCounts(const std::string &name, const LoadCounts &counts)
{
    std::cout << "figure: " << name << ": " << counts.exchanges << " requests, " << counts.finished << " finished, " << counts.notRun
              << " answers not run, " << counts.broken << " broken connections\n";
}

TEST_CASE("SIGTERM interrupts no request in flight and fails readiness at once", "[process][faults]")
{
    auto fleet = startFleet(2, 1, 2, {"--ready-delay-ms", "300"});
    std::vector<Call> calls;
    const auto url = "http://" + fleet.entries[1].callers + "/svc0/sleep/";
    for (int i = 0; i < 10; ++i) {
        const auto text = "body" + std::to_string(i);
        const std::vector<Header> key{{"Idempotency-Key", text}};
        // The longer ones outlast the removal from the member list.
        calls.push_back(i % 2 == 0 ? Call{"POST", url + "800", text, key} : Call{"POST", url + "2500", text, {}});
    }
    auto answers = std::async(std::launch::async, [&] { return exchangeAll(calls); });
    REQUIRE(waitFor([&] { return status(fleet, 1)["inFlight"] == 10; }, {700}));
    fleet.entries[1].process->signal(SIGTERM);
    CHECK(waitFor([&] { return !isReady(fleet, 1); }, {100}));
    CHECK(fleet.call(1, "GET", "/svc0/").status == 200); // The balancer has not reacted yet.
    const auto received = answers.get();
    for (std::size_t i = 0; i < received.size(); ++i) {
        CHECK(received[i].status == 200);
        CHECK(received[i].body.ends_with("\nbody" + std::to_string(i)));
    }
    CHECK(fleet.entries[1].process->waitExit({5'000}) == 0);
    CHECK(waitFor([&] { return status(fleet, 0)["members"].size() == 1; }, {5'000}));
    const auto repeat = exchange("POST", "http://" + fleet.entries[0].callers + "/svc0/sleep/800", "body0", {{"Idempotency-Key", "body0"}});
    CHECK(repeat.status == 200); // The outcome was recorded before the exit.
    CHECK(fleet.targetReport()["byKey"]["body0"] == 1);
}

TEST_CASE("a second SIGTERM with requests in flight ends the entry at once and without a crash", "[process][faults]")
{
    auto fleet = startFleet(2, 1, 2);
    const auto url = "http://" + fleet.entries[0].callers + "/svc0/sleep/2500";
    auto answers = std::async(std::launch::async, [&] { return exchangeAll({{"POST", url, "x", {}}}); });
    REQUIRE(waitFor([&] { return status(fleet, 0)["inFlight"] == 1; }, {2'000}));
    fleet.entries[0].process->signal(SIGTERM);
    REQUIRE(waitFor([&] { return !isReady(fleet, 0); }, {300}));
    fleet.entries[0].process->signal(SIGTERM);
    CHECK(fleet.entries[0].process->waitExit({1'500}) == 0);
}

TEST_CASE("entries killed under load cause no second execution and no false answer", "[process][faults]")
{
    auto fleet = startFleet(3, 1, 3);
    Load load(callerAddresses(fleet), {.path = "/svc0/sleep/50", .repeatBroken = true});
    for (std::size_t i = 2; i > 0; --i) {
        pause({1'000});
        fleet.entries[i].process->signal(SIGKILL);
    }
    pause({1'500});
    const auto exchanges = load.stop();
    const auto counts = checkTruth(exchanges, fleet.targetReport());
    reportCounts("two of three entries killed", counts);
    CHECK(counts.broken > 0);
    CHECK(counts.finished > 0);
}

TEST_CASE("the same key at several entries at the same time runs once", "[process][faults]")
{
    auto fleet = startFleet(3, 1, 3);
    std::vector<Call> calls;
    for (int round = 0; round < 10; ++round) {
        const auto key = "key" + std::to_string(round);
        for (int i = 0; i < 6; ++i) {
            calls.push_back({"POST",
                             "http://" + fleet.entries[static_cast<std::size_t>(i % 3)].callers + "/svc0/sleep/50",
                             key,
                             {{"Idempotency-Key", key}}});
        }
    }
    const auto answers = exchangeAll(calls);
    const auto targets = fleet.targetReport();
    std::map<std::string, int> finished;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const auto &answer = answers[i];
        INFO(answer.status << ' ' << answer.body);
        if (answer.outcome() == "finished") {
            CHECK(answer.body.ends_with("\n" + calls[i].body));
            ++finished[calls[i].body];
        } else {
            CHECK(answer.outcome() == "unknown");
        }
    }
    CHECK(finished.size() == 10);
    CHECK(targets["byKey"].size() == 10);
    for (const auto &[key, times] : targets["byKey"].items()) {
        CHECK(times == 1);
        // The outcome is recorded shortly after the answer.
        CHECK(waitFor([&, sameKey = key] { return callWithKey(fleet, 0, "/svc0/sleep/50", sameKey).outcome() == "finished"; }, {2'000}));
    }
    CHECK(fleet.targetReport()["byKey"] == targets["byKey"]);
}

TEST_CASE("a platform outage, lost replies and older reads cause no false answer", "[process][faults]")
{
    auto fleet = startFleet(3, 1, 3, {"--platform-timeout-ms", "500"});
    Load load(callerAddresses(fleet), {.callers = 6, .keyedShare = 50});
    std::vector<std::uint64_t> versions(3);
    const auto checkVersions = [&] {
        for (std::size_t i = 0; i < 3; ++i) {
            const std::uint64_t version = status(fleet, i)["viewVersion"];
            CHECK(version >= versions[i]);
            versions[i] = version;
        }
    };
    for (const auto &faults : {json{{"loseReplies", 6}}, json{{"olderReads", true}}, json{{"olderReads", false}}}) {
        fleet.control(faults);
        for (int i = 0; i < 12; ++i) {
            checkVersions();
            pause({100});
        }
    }
    fleet.control({{"outage", true}});
    const auto outageStart = now();
    pause({600}); // Requests that recorded their key before the outage finish.
    std::vector<std::string> refused;
    while (now() - outageStart < Millis{8'000}) {
        for (std::size_t i = 0; i < 3; ++i) {
            CHECK(fleet.call(i, "GET", "/svc0/").status == 200);
            refused.push_back("outage" + std::to_string(refused.size()));
            const auto answer = callWithKey(fleet, i, "/svc0/", refused.back());
            CHECK(answer.status == 503);
            CHECK(answer.outcome() == "not-run");
        }
        checkVersions();
        pause({50});
    }
    fleet.control({{"outage", false}});
    const auto outageEnd = now();
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(waitFor([&] { return callWithKey(fleet, i, "/svc0/", "after" + std::to_string(i)).status == 200; }, {3'000}));
    }
    report("requests with a key succeed at all entries after an outage of 8 s", (now() - outageEnd).count, "ms");
    const auto exchanges = load.stop();
    const auto targets = fleet.targetReport();
    const auto counts = checkTruth(exchanges, targets);
    reportCounts("platform faults", counts);
    CHECK(std::none_of(refused.begin(), refused.end(), [&](const auto &key) { return targets["byKey"].contains(key); }));
    const auto isLost = [](const Exchange &it) {
        return it.key.empty() && !isFinished(it.attempts.back());
    };
    CHECK(std::none_of(exchanges.begin(), exchanges.end(), isLost));
}

TEST_CASE("an entry that was frozen during a drain sends nothing to the VM after it resumes", "[process][faults]")
{
    auto fleet = startFleet(3, 1, 3);
    const auto vm = fleet.targets[0];
    for (std::size_t i = 0; i < 30; ++i) { // Leaves idle connections to every VM.
        REQUIRE(fleet.call(i % 3, "GET", "/svc0/").status == 200);
    }
    fleet.entries[2].process->signal(SIGSTOP);
    const auto frozenAt = now();
    const auto drain = exchange(
        "POST", "http://" + fleet.entries[0].operators + "/v1/vms/svc0-0/drain", "{}", {{"Authorization", "Bearer operator-token"}});
    REQUIRE(drain.status == 200);
    const std::vector<Call> calls(24, {"GET", "http://" + fleet.entries[2].callers + "/svc0/", {}, {}});
    auto waiting = std::async(std::launch::async, [&] { return exchangeAll(calls); });
    pause(Millis{5'000} - (now() - frozenAt));
    const auto sent = fleet.targetReport()["byVm"][vm].get<int>();
    CHECK(waiting.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    fleet.entries[2].process->signal(SIGCONT);
    for (const auto &it : waiting.get()) {
        CHECK((it.outcome() == "finished" || it.outcome() == "not-run"));
    }
    const auto isDrained = [&] {
        const auto facts = exchange("GET", "http://" + fleet.entries[0].operators + "/v1/explain/vm/svc0-0").body;
        return json::parse(facts)["facts"]["state"] == "drained";
    };
    CHECK(waitFor(isDrained, {15'000}));
    report("drain with one entry frozen for 5 s", (now() - frozenAt).count, "ms");
    std::size_t finished = 0;
    for (std::size_t i = 0; i < 60; ++i) {
        finished += fleet.call(i % 3, "GET", "/svc0/").status == 200 ? 1 : 0;
    }
    CHECK(finished == 60);
    CHECK(fleet.targetReport()["byVm"][vm] == sent);
}

TEST_CASE("replacing every entry under load loses no request", "[process][faults]")
{
    auto fleet = startFleet(3, 1, 3, {"--ready-delay-ms", "400"});
    Load load(callerAddresses(fleet), {.keyedShare = 50});
    const auto startedAt = now();
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.startEntry("new" + std::to_string(i));
        REQUIRE(waitFor([&] { return isReady(fleet, 3 + i); }, {5'000}));
        load.addEntry(fleet.entries.back().callers);
        fleet.entries[i].process->signal(SIGTERM);
        CHECK(fleet.entries[i].process->waitExit({8'000}) == 0);
    }
    pause({500});
    report("replacement of three entries", (now() - startedAt).count, "ms");
    const auto exchanges = load.stop();
    const auto counts = checkTruth(exchanges, fleet.targetReport());
    reportCounts("rolling replacement", counts);
    for (const auto &it : exchanges) {
        const auto &last = it.attempts.back();
        INFO(it.attempts.size() << " attempts, last: " << last.status << ' ' << last.error << last.body);
        CHECK(isFinished(last));
    }
    CHECK(counts.broken == 0);
}

/// Time from `since` to the start of the first attempt that succeeds.
static std::int64_t timeToSuccess(Millis since, const std::function<bool()> &attempt)
{
    auto startedAt = now();
    const bool succeeded = waitFor(
        [&] {
            startedAt = now();
            return attempt();
        },
        {8'000});
    CHECK(succeeded);
    return (startedAt - since).count;
}

TEST_CASE("silent targets, platform and peers get truthful outcomes in time", "[process][faults]")
{
    auto fleet = startFleet(3, 1, 3);
    const auto url = "http://" + fleet.entries[0].callers + "/svc0/silent";
    const std::vector<Header> deadline{{"X-Deadline-Ms", "1000"}};
    auto startedAt = now();
    const auto answers = exchangeAll(
        {{"GET", url, {}, deadline}, {"POST", url, "x", deadline}, {"POST", url, "y", {deadline[0], {"Idempotency-Key", "y"}}}});
    CHECK(now() - startedAt < Millis{1'500});
    for (const auto &it : answers) {
        CHECK(it.status == 504);
        CHECK(it.outcome() == "unknown");
    }
    CHECK(fleet.targetReport()["byKey"]["y"] == 1);
    CHECK(callWithKey(fleet, 1, "/svc0/silent", "y").outcome() != "not-run");
    const auto getOk = [&](std::size_t entry) {
        return fleet.call(entry, "GET", "/svc0/").status == 200;
    };
    report("request succeeds after silent targets", timeToSuccess(now(), [&] { return getOk(0); }), "ms");

    fleet.platformProcess->signal(SIGSTOP);
    const auto until = now() + Millis{4'000};
    std::size_t served = 0;
    std::size_t asked = 0;
    while (now() < until) {
        served += getOk(asked++ % 3) ? 1 : 0;
        pause({50});
    }
    CHECK(served == asked);
    startedAt = now();
    const auto keyed = callWithKey(fleet, 0, "/svc0/", "silent-platform");
    CHECK(now() - startedAt < Millis{3'500});
    CHECK(keyed.outcome() == "not-run");
    fleet.platformProcess->signal(SIGCONT);
    startedAt = now();
    const auto keyedOk = [&] {
        return callWithKey(fleet, 0, "/svc0/", "after" + std::to_string(now().count)).status == 200;
    };
    report("request with a key succeeds after a silent platform", timeToSuccess(startedAt, keyedOk), "ms");
    CHECK(!fleet.targetReport()["byKey"].contains("silent-platform"));

    fleet.entries[2].process->signal(SIGSTOP);
    startedAt = now();
    Millis lastFailure = startedAt;
    std::size_t failures = 0;
    while (now() - startedAt < Millis{3'000}) {
        const std::vector<Call> calls(8, {"GET", "http://" + fleet.entries[asked++ % 2].callers + "/svc0/sleep/20", {}, {}});
        for (const auto &it : exchangeAll(calls)) {
            CHECK((it.outcome() == "finished" || it.outcome() == "not-run"));
            failures += it.status == 200 ? 0 : 1;
            lastFailure = it.status == 200 ? lastFailure : now();
        }
    }
    report("last failure at other entries after a peer went silent", (lastFailure - startedAt).count, "ms");
    report("failures at other entries after a peer went silent", static_cast<std::int64_t>(failures), "requests");
    fleet.entries[2].process->signal(SIGCONT);
    startedAt = now();
    report("request succeeds at a resumed entry", timeToSuccess(startedAt, [&] { return getOk(2); }), "ms");
}
