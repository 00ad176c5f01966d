// Retries, classification of outcomes, slots and batching of the request manager.
#include "requestentry.hpp"

#include <catch2/catch.hpp>
#include <iostream>

using namespace hibiscusbridge;

namespace
{

struct Bench {
    explicit Bench(std::size_t vms = 3, std::uint32_t minHealthy = 1)
        : entry(loop, table, executions, testView(vms, minHealthy))
    {
    }
    /// Sends one request, waits for its deadline and returns the answer; checks that no slot is held or released twice.
    CallerResponse ask(CallerRequest request)
    {
        const auto before = entry.answers.size();
        entry.ask(std::move(request));
        loop.advance({6'000});
        REQUIRE(entry.answers.size() == before + 1);
        CHECK(entry.slots.held.empty());
        CHECK(entry.slots.invalidReleases == 0);
        CHECK(entry.requests->inFlight().empty());
        CHECK(entry.requests->inFlightTotal() == 0);
        return entry.answers.back();
    }

    FakeLoop loop;
    FakeTable table{loop};
    std::vector<Execution> executions;
    TestEntry entry;
};

std::string_view header(const CallerResponse &response, std::string_view name)
{
    return headerValue(response.headers, name);
}

} // namespace

TEST_CASE("each fault of a target gives a truthful outcome and releases its slots", "[requests]")
{
    struct Expectation {
        std::string method;
        std::string key;
        TargetFault fault;
        RequestOutcome outcome;
        int status;
        std::size_t attempts;
    };
    const std::vector<Expectation> table{
        {"GET", "", TargetFault::None, RequestOutcome::Finished, 200, 1},
        {"GET", "", TargetFault::ConnectionRefused, RequestOutcome::NotRun, 503, 3},
        {"GET", "", TargetFault::ConnectionReset, RequestOutcome::Unknown, 502, 3},
        {"PUT", "", TargetFault::NoResponse, RequestOutcome::Unknown, 504, 3},
        {"POST", "", TargetFault::None, RequestOutcome::Finished, 200, 1},
        {"POST", "", TargetFault::ConnectionRefused, RequestOutcome::NotRun, 503, 3},
        {"POST", "", TargetFault::ConnectionReset, RequestOutcome::Unknown, 502, 1},
        {"PATCH", "", TargetFault::NoResponse, RequestOutcome::Unknown, 504, 1},
        {"POST", "k", TargetFault::ConnectionRefused, RequestOutcome::NotRun, 503, 3},
        {"POST", "k", TargetFault::ConnectionReset, RequestOutcome::Unknown, 502, 1},
        {"PUT", "k", TargetFault::ConnectionReset, RequestOutcome::Unknown, 502, 1},
        {"POST", "k", TargetFault::Status500, RequestOutcome::Finished, 500, 1},
        {"GET", "", TargetFault::Status500, RequestOutcome::Finished, 500, 1},
    };
    for (const auto &it : table) {
        Bench bench;
        bench.entry.target.defaultFault = it.fault;
        const auto answer = bench.ask(post(it.key, "x", it.method));
        INFO(it.method << " " << it.key << " fault " << int(it.fault));
        CHECK(answer.outcome == it.outcome);
        CHECK(answer.status == it.status);
        CHECK(header(answer, "X-Outcome") == toString(it.outcome));
        const auto &attempts = bench.entry.target.attempts;
        CHECK(attempts.size() == it.attempts);
        CHECK(std::set(attempts.begin(), attempts.end()).size() == attempts.size()); // Never twice to one VM.
        CHECK((header(answer, "Retry-After") == "2") == (it.outcome == RequestOutcome::NotRun));
        CHECK((it.outcome != RequestOutcome::NotRun || bench.executions.empty()));
    }
}

TEST_CASE("a request that reached one VM is not reported as not run when the next VM refuses", "[requests]")
{
    Bench bench(2);
    bench.entry.target.defaultFault = TargetFault::ConnectionReset;
    bench.entry.target.beforeSend = [&] {
        bench.entry.target.defaultFault =
            bench.entry.target.attempts.size() > 1 ? TargetFault::ConnectionRefused : TargetFault::ConnectionReset;
    };
    CHECK(bench.ask(post("", "x", "GET")).outcome == RequestOutcome::Unknown);
    CHECK(bench.executions.size() == 1);
}

TEST_CASE("the check right before the send stops a request after the slot was granted", "[requests]")
{
    const auto reason = GENERATE(0, 1, 2, 3);
    const std::string key = GENERATE("", "k");
    Bench bench(1);
    auto &entry = bench.entry;
    std::string id;
    entry.target.connectTime = {reason == 2 ? 5'000 : 1};
    entry.target.beforeSend = [&] {
        if (reason == 0) {
            entry.serving = absl::UnavailableError("stale view");
        } else if (reason == 1) {
            entry.view.vms["vm1"].state = VmState::Announced;
        } else if (reason == 3) {
            entry.requests->callerGone(id);
        }
    };
    id = entry.ask(post(key, "x"));
    bench.loop.advance({12'000});
    const bool sends = reason == 3 && !key.empty();
    CHECK(bench.executions.size() == (sends ? 1 : 0));
    CHECK(entry.answers.size() == (reason == 3 ? 0 : 1));
    CHECK((reason == 3 || entry.answers[0].outcome == RequestOutcome::NotRun));
    CHECK(entry.slots.held.empty());
    CHECK(entry.slots.invalidReleases == 0);
    CHECK(entry.requests->inFlightTotal() == 0);
}

TEST_CASE("a VM that leaves between the route and the lease gets no request, another VM does", "[requests]")
{
    Bench bench(2);
    bench.entry.ask(post("", "x", "POST"));
    bench.entry.view.vms["vm1"].state = VmState::Announced;
    bench.loop.advance({6'000});
    REQUIRE(bench.executions.size() == 1);
    CHECK(bench.executions[0].address == "vm2:80");
    CHECK(bench.entry.slots.held.empty());
}

TEST_CASE("refusals before a send name their cause and send nothing", "[requests]")
{
    Bench bench;
    auto request = post("", "x", "GET");
    request.path = "/nowhere/x";
    CHECK(bench.ask(request).status == 404);
    request.path = "/pay?x";
    request.headers = {{"X-Deadline-Ms", "soon"}};
    CHECK(bench.ask(request).status == 400);
    CHECK(bench.ask(post(std::string(129, 'k'), "x")).status == 400);
    auto emptyKey = post("k", "x");
    emptyKey.headers[0].value.clear();
    CHECK(bench.ask(emptyKey).status == 400);
    bench.entry.slots.refusal = absl::ResourceExhaustedError("queue full");
    CHECK(bench.ask(post("k", "x")).status == 503);
    bench.entry.slots.refusal = absl::OkStatus();
    CHECK(bench.ask(post("k", "x")).status == 200); // The refused request left its key usable.
    bench.executions.clear();
    bench.table.defaultFault = TableFault::ServiceDown;
    CHECK(bench.ask(post("k2", "x")).outcome == RequestOutcome::NotRun);
    bench.entry.serving = absl::UnavailableError("no majority");
    CHECK(bench.ask(post("", "x", "GET")).status == 503);
    CHECK(bench.executions.empty());
}

TEST_CASE("the caller's deadline shortens the service's and never lengthens it", "[requests]")
{
    const auto [wanted, expected] = GENERATE(table<std::string, std::int64_t>({{"700", 700}, {"99999", 5000}}));
    Bench bench(1);
    bench.entry.target.defaultFault = TargetFault::NoResponse;
    auto request = post("", "x");
    request.headers = {{"X-Deadline-Ms", wanted}};
    bench.entry.ask(request);
    bench.loop.advance({expected - 1});
    CHECK(bench.entry.answers.empty());
    CHECK(bench.entry.requests->inFlight().at("vm1") == 1);
    bench.loop.advance({2});
    REQUIRE(bench.entry.answers.size() == 1);
    CHECK(bench.entry.answers[0].status == 504);
}

TEST_CASE("hop-by-hop headers and forged outcome headers of a target do not reach the caller", "[requests]")
{
    Bench bench;
    bench.entry.target.answerHeaders = {
        {"Connection", "X-Hop, close"}, {"X-Hop", "1"}, {"Transfer-Encoding", "chunked"}, {"x-outcome", "not-run"}, {"ETag", "7"}};
    for (int i = 0; i < 2; ++i) { // The second answer comes from the record.
        const auto answer = bench.ask(post("k", std::string("\xff\0binary", 8)));
        CHECK(answer.body == std::string("\xff\0binary", 8));
        CHECK(header(answer, "ETag") == "7");
        CHECK(header(answer, "X-Outcome") == "finished");
        CHECK(answer.headers.size() == 3);
    }
    CHECK(bench.executions.size() == 1);
}

TEST_CASE("a repeat gets in progress before the deadline, unknown after it, and 409 for an answer too large to store", "[once]")
{
    Bench bench;
    bench.entry.target.defaultFault = TargetFault::NoResponse;
    bench.entry.ask(post("k", "x"));
    bench.loop.advance({100});
    bench.entry.ask(post("k", "x"));
    bench.loop.advance({100});
    REQUIRE(bench.entry.answers.size() == 1);
    CHECK(bench.entry.answers[0].status == 409);
    CHECK(bench.entry.answers[0].outcome == RequestOutcome::Unknown);
    bench.loop.advance({10'000});
    CHECK(bench.ask(post("k", "x")).status == 502);
    bench.entry.target.defaultFault = TargetFault::None;
    bench.entry.target.answerSuffix = std::string(16'384, 'a');
    CHECK(bench.ask(post("big", "x")).status == 200);
    const auto repeat = bench.ask(post("big", "x"));
    CHECK(repeat.outcome == RequestOutcome::Finished);
    CHECK(header(repeat, "X-Original-Status") == "200");
    CHECK(bench.executions.size() == 2);
}

TEST_CASE("the outcome of a keyed request is recorded though the caller has gone", "[once]")
{
    Bench bench;
    const auto id = bench.entry.ask(post("k", "x"));
    bench.entry.requests->callerGone(id);
    bench.loop.advance({6'000});
    CHECK(bench.entry.answers.empty());
    CHECK(bench.ask(post("k", "x")).outcome == RequestOutcome::Finished);
    CHECK(bench.executions.size() == 1);
}

TEST_CASE("an insert that is written after its claim was refused sends nothing and leaves the key usable", "[once]")
{
    Bench bench;
    bench.table.lateWriteDelay = {GENERATE(5'000, 20'000)};
    bench.table.defaultFault = TableFault::LateWrite;
    bench.entry.ask(post("k", "x"));
    bench.loop.advance({5'000});
    REQUIRE(bench.entry.answers.size() == 1);
    CHECK(bench.entry.answers[0].outcome == RequestOutcome::NotRun);
    bench.table.defaultFault = TableFault::None;
    bench.loop.advance({60'000});
    CHECK(bench.executions.empty());
    CHECK(bench.ask(post("k", "x")).outcome == RequestOutcome::Finished);
    CHECK(bench.executions.size() == 1);
}

TEST_CASE("one used key in a batch does not refuse the other keys of the batch", "[once]")
{
    Bench bench;
    bench.table.reportsConflicts = GENERATE(true, false);
    bench.ask(post("used", "x"));
    bench.entry.answers.clear();
    bench.entry.ask(post("used", "changed"));
    for (int i = 0; i < 20; ++i) {
        bench.entry.ask(post("new" + std::to_string(i), "x"));
    }
    bench.entry.ask(post("new0", "x")); // Same key twice in one batch.
    bench.loop.advance({6'000});
    const auto finished = [](const CallerResponse &it) {
        return it.outcome == RequestOutcome::Finished;
    };
    CHECK(std::count_if(bench.entry.answers.begin(), bench.entry.answers.end(), finished) == 20);
    CHECK(bench.executions.size() == 21);
    // The used key and the second new0, and each row of the batch only when the platform names no key.
    CHECK((!bench.table.reportsConflicts || bench.entry.counters.onceReads == 2));
}

TEST_CASE("retries stay within the budget while every VM fails", "[retries]")
{
    const std::uint32_t minHealthy = GENERATE(1, 10); // 10 rules out ejections.
    Bench bench(10, minHealthy);
    bench.entry.target.defaultFault = TargetFault::ConnectionRefused;
    for (int i = 0; i < 1000; ++i) {
        bench.entry.ask(post("", "x", "GET"));
        bench.loop.advance({1});
    }
    bench.loop.advance({10'000});
    // A tenth of the requests, one per second for the first second, and the 3 tokens of the start.
    CHECK(bench.entry.counters.retries <= 100 + 1 + 3);
    CHECK(bench.entry.counters.retries > (minHealthy == 10 ? 50 : 0));
    CHECK(bench.entry.target.attempts.size() == 1000 + bench.entry.counters.retries);
}

TEST_CASE("a VM that fails everything is ejected, probed once and readmitted", "[health]")
{
    RequestCounters counters;
    TargetHealth health(counters);
    const std::vector<std::string> vms{"vm1", "vm2", "vm3"};
    for (int i = 0; i < 20; ++i) {
        health.noteFailure("vm1", "same request", vms, 1, {0});
    }
    CHECK(!health.isEjected("vm1")); // One request is no evidence.
    Millis now{0};
    for (const std::int64_t length : {5'000, 10'000, 20'000, 40'000, 80'000, 80'000}) {
        for (int i = 0; i < 5; ++i) {
            health.noteFailure("vm1", "r" + std::to_string(i), vms, 1, now);
        }
        REQUIRE(health.isEjected("vm1"));
        now += {length - 1};
        CHECK(health.usable(vms, 1, now).size() == 2);
        now += {1};
        CHECK(health.usable(vms, 1, now).front() == "vm1");
        health.noteSend("vm1", now);
        CHECK(health.usable(vms, 1, now).size() == 2); // One probe at a time.
    }
    health.noteSuccess("vm1", now);
    CHECK(!health.isEjected("vm1"));
    CHECK(counters.readmissions == 1);
}

TEST_CASE("ejection never leaves the pool below minHealthy, also when the pool shrinks later", "[health]")
{
    RequestCounters counters;
    TargetHealth health(counters);
    std::vector<std::string> vms{"vm1", "vm2", "vm3", "vm4", "vm5"};
    for (int round = 0; round < 10; ++round) {
        for (const auto &vm : vms) {
            health.noteFailure(vm, std::to_string(round), vms, 3, {round});
        }
    }
    CHECK(counters.ejections == 2);
    CHECK(health.usable(vms, 3, {100}).size() == 3);
    vms.pop_back();
    CHECK(health.usable(vms, 3, {100}).size() == 3);
    vms.erase(vms.begin() + 1, vms.end());
    CHECK(health.usable(vms, 3, {100}).size() == 1);
}

TEST_CASE("requests per table write at several loads", "[once][figures]")
{
    for (const int perSecond : {10, 100, 500, 1000, 3000}) {
        Bench bench(10);
        std::vector<std::int64_t> times;
        const auto ask = [&](const std::string &key) {
            bench.entry.requests->handle(post(key, "x"), [&, at = bench.loop.now()](const CallerResponse &it) {
                CHECK(it.outcome == RequestOutcome::Finished);
                times.push_back((bench.loop.now() - at).count);
            });
        };
        ask("");
        bench.loop.advance({1'000});
        const auto unkeyed = std::exchange(times, {}).at(0);
        const auto start = bench.loop.now();
        for (int i = 0; i < 3 * perSecond; ++i) {
            ask("k" + std::to_string(i));
            const auto due = start + Millis{(i + 1) * std::int64_t{1000} / perSecond};
            bench.loop.advance(due - bench.loop.now());
        }
        bench.loop.advance({6'000});
        CHECK(bench.executions.size() == static_cast<std::size_t>(3 * perSecond + 1));
        REQUIRE(times.size() == static_cast<std::size_t>(3 * perSecond));
        std::sort(times.begin(), times.end());
        const auto writes = bench.entry.counters.onceBatches;
        std::cout << "load " << perSecond << "/s: requests " << 3 * perSecond << ", table writes " << writes << " ("
                  << static_cast<double>(writes) / 3.0 << "/s), requests per write " << 3.0 * perSecond / static_cast<double>(writes)
                  << ", added latency ms median " << times[times.size() / 2] - unkeyed << ", p99 "
                  << times[times.size() * 99 / 100] - unkeyed << ", longest " << times.back() - unkeyed << '\n';
    }
}

// Guards against a repeat at another entry that finds the pending record and reports a refused request as unknown.
TEST_CASE("a refusal as not run is answered after its record is written", "[once]")
{
    Bench bench;
    bench.entry.target.defaultFault = TargetFault::ConnectionRefused;
    TestEntry other(bench.loop, bench.table, bench.executions, testView(3, 1));
    bench.entry.ask(post("k", "x"));
    for (int i = 0; i < 1'000 && bench.entry.answers.empty(); ++i) {
        bench.loop.advance({1});
    }
    REQUIRE(bench.entry.answers.size() == 1);
    CHECK(bench.entry.answers[0].outcome == RequestOutcome::NotRun);
    other.ask(post("k", "x"));
    bench.loop.advance({6'000});
    REQUIRE(other.answers.size() == 1);
    CHECK(other.answers[0].outcome == RequestOutcome::Finished);
    CHECK(bench.executions.size() == 1);
}
