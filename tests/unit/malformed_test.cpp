// Decoders of rows, calls and answers that other programs wrote: any input gives a value within its limits or a rejection,
// and never an exception.
#include "adapters/eventloop.hpp"
#include "adapters/httpserver.hpp"
#include "callers.hpp"
#include "decode.hpp"
#include "fakes/fakeloop.hpp"
#include "fakes/fakestore.hpp"
#include "helpers/json.hpp"
#include "jobs/check.hpp"
#include "jobs/codec.hpp"
#include "shards/leases.hpp"
#include "shards/publishedload.hpp"
#include "store.hpp"
#include "upkeep/fleetowner.hpp"
#include "upkeep/poolreport.hpp"
#include "vms.hpp"
#include "workers.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

/// Answers each request at once with this status and body.
TargetPort answering(int status, const std::string &body)
{
    return {.send = [status, body](TargetRequest, TargetPort::Callback callback) {
        callback({.outcome = TargetOutcome::Answered, .status = status, .body = body});
    }};
}

RenewResult renewalOf(const std::string &body)
{
    RenewResult result;
    platform::makeWorkers(answering(200, body))
        .renew(
            {}, {100}, [] { return true; }, [&](RenewResult it) { result = std::move(it); });
    return result;
}

/// A value that fits none or few of the fields that a decoder expects.
Json randomValue(std::mt19937 &random)
{
    static const std::vector<Json> values{Json(),
                                          true,
                                          0,
                                          -1,
                                          5,
                                          2147483647,
                                          2147483648LL,
                                          -9223372036854775807LL,
                                          18446744073709551615ULL,
                                          1e300,
                                          -1e300,
                                          0.5,
                                          "",
                                          "text",
                                          std::string(5'000, 'x'),
                                          Json::array(),
                                          Json::array({1, "a", Json::array()}),
                                          Json::object(),
                                          Json{{"cpu", "much"}}};
    return values[random() % values.size()];
}

/// Replaces, removes or duplicates one value somewhere in the document.
void mutate(Json &json, std::mt19937 &random)
{
    if (!json.is_structured() || json.empty() || random() % 5 == 0) {
        json = randomValue(random);
        return;
    }
    auto it = json.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random() % json.size()));
    switch (random() % 8) {
    case 0:
        json.erase(it);
        return;
    case 1:
        if (json.is_array()) {
            json.push_back(*it);
            return;
        }
        [[fallthrough]];
    default:
        mutate(*it, random);
    }
}

std::string mutated(const std::string &valid, std::mt19937 &random)
{
    auto json = Json::parse(valid);
    for (unsigned n = random() % 3; n < 3; ++n) {
        mutate(json, random);
    }
    auto text = json.dump();
    if (random() % 6 == 0 && !text.empty()) {
        text[random() % text.size()] = static_cast<char>(random() % 256);
    }
    if (random() % 12 == 0) {
        text.resize(random() % (text.size() + 1));
    }
    return text;
}

JobSpec validSpec()
{
    JobSpec spec{.id = "5c0e7a21d94b36f8", .route = "r", .payload = "p"};
    spec.steps = {{.count = 2, .need = {500, 100, 1}, .estimate = {700}}, {.count = 1, .after = {0}}};
    spec.policy = {.priority = 1, .maxAttempts = 3, .stretch = 1.6, .latencyTarget = {600}};
    return spec;
}

} // namespace

TEST_CASE("a job whose size overflows the arithmetic of the size check is rejected")
{
    // The product of subtasks and occurrences exceeds 64 bits. Accepted, the job ends each owner of its pool in turn.
    std::string steps;
    for (int i = 0; i < 3; ++i) {
        steps += std::string(i > 0 ? "," : "") + R"({"count":2147483647})";
    }
    CHECK_FALSE(platform::decodeJob(R"({"times":2147483647,"steps":[)" + steps + "]}").ok());
    // Numbers beyond the range of int must not wrap around to small ones.
    CHECK_FALSE(platform::decodeJob(R"({"steps":[{"count":4294967297}]})").ok());
    CHECK_FALSE(platform::decodeJob(R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})").ok());
}

TEST_CASE("a job with negative resources is rejected")
{
    // A negative amount would free room on its worker, which would then be overfilled.
    for (const auto *const field : {"cpu", "mem_mb", "gpu", "estimate_ms", "anti_affinity", "may_miss", "target_ms"}) {
        CAPTURE(field);
        CHECK_FALSE(platform::decodeJob(R"({"steps":[{"count":1,")" + std::string(field) + R"(":-5}]})").ok());
        CHECK(platform::decodeJob(R"({"steps":[{"count":1,")" + std::string(field) + R"(":5}]})").ok());
    }
}

TEST_CASE("a stored job or record outside the limits is rejected")
{
    const auto encoded = [](const std::function<void(JobSpec &)> &change) {
        auto spec = validSpec();
        change(spec);
        return encodeSpec(spec);
    };
    REQUIRE(decodeSpec("id", encoded([](JobSpec &) {})));
    CHECK_FALSE(decodeSpec("id", encoded([](JobSpec &spec) { spec.steps[0].count = -1; })));
    CHECK_FALSE(decodeSpec("id", encoded([](JobSpec &spec) { spec.steps[1].after = {7}; })));
    CHECK_FALSE(decodeSpec("id", encoded([](JobSpec &spec) { spec.times = 2'000'000'000; })));
    CHECK_FALSE(decodeSpec("id", encoded([](JobSpec &spec) { spec.policy.stretch = 1e200; })));
    auto record = emptyRecord(validSpec());
    record.phase = static_cast<JobPhase>(99);
    CHECK_FALSE(decodeRecord(validSpec(), encodeRecord(record)));
}

TEST_CASE("a worker's malformed lists are skipped row by row")
{
    const auto result =
        renewalOf(R"({"clock_ms":7,"running":[5,{"a":1},null,"x",[],["5c0e7a21d94b36f8.0.0.1",2,"",50]],"ended_runs":[1,[9],{}]})");
    CHECK(result.outcome == OrderOutcome::Accepted);
    REQUIRE(result.running.size() == 1);
    CHECK(result.running[0].run == 2);
    CHECK(result.ended.empty());
    CHECK(renewalOf("7").outcome == OrderOutcome::Unknown);
}

TEST_CASE("a VM list whose pages never end is given up")
{
    const std::string page = R"({"machines":[{"machine":"m"}],"next_token":"again"})";
    VmListResult result{.answered = true};
    platform::makeVms(answering(200, page), "a").list({100}, [&](VmListResult it) { result = std::move(it); });
    CHECK_FALSE(result.answered);
}

TEST_CASE("no mutation of a valid message makes a decoder throw")
{
    // DECODER_SEED runs a single seed.
    const char *const only = std::getenv("DECODER_SEED");
    const unsigned first = only ? static_cast<unsigned>(std::atoi(only)) : 1;
    const unsigned last = only ? first : 4'000;
    const std::string worker =
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq_no":4,)"
        R"("machine":"m","born":17,)"
        R"("capacity":{"cpu":1000,"mem_mb":10,"gpu":0},"labels":["a","r1"]})";
    const std::string job = R"({"spec":"x","times":2,"interval_ms":50,"steps":[{"count":2,"cpu":500},{"count":1,"after":[0]}]})";
    const std::string configuration =
        R"({"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/q/","service":"s","priority":0,"stretch":1.5,)"
        R"("max_attempts":3,"target_latency_ms":600,"advice":{"decision_ms":5,"period_ms":1}}],)"
        R"("services":[{"name":"s","enforces_capacity":true,"standby":false}]})";
    const std::string wave = R"({"wave":4,"machines":["m1","m2"],"finish_by_s":12.5,"maximum":2})";
    const std::string renewal = R"({"clock_ms":7,"born":9,"running":[["5c0e7a21d94b36f8.0.0.1",2,"c",50,7]],)"
                                R"("ended_runs":[[1,"5c0e7a21d94b36f8.0.0.0",1,"done",""]]})";
    const std::string vms =
        R"({"machines":[{"machine":"m","pool":"p","state":"up","zone":"z","labels":["a"],"capacity":{"cpu":1},"id":"i"}],"next_token":""})";
    const std::string rows = R"({"row_version":7,"rows":[{"table":"t","part":"","key":"k","value":"eA==","row_version":5}]})";
    PoolReport report{.drained = {"v"}, .arrivingCpu = 5};
    report.vms["v"] = {1, 2, 3};
    PublishedLoad load{.queuedByRoute = {{"r", 3}}};
    auto record = emptyRecord(validSpec());
    record.occurrences[0][0][1] = {.failedRuns = {1, 2}, .lastRun = 3, .checkpoint = "c", .runs = {{3, "w", 17}}};
    for (unsigned seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto decodeAll = [&] {
            platform::decodeWorker({.key = {"servers", "", "w"}, .value = mutated(worker, random)});
            if (const auto spec = platform::decodeJob(mutated(job, random)); spec.ok()) {
                if (!checkSpec(*spec).ok()) {
                    throw std::runtime_error("a job outside the limits was accepted");
                }
                emptyRecord(*spec);
            }
            platform::decodeConfiguration(mutated(configuration, random));
            platform::decodeWave(mutated(wave, random));
            renewalOf(mutated(renewal, random));
            platform::makeVms(answering(200, mutated(vms, random)), "a").list({100}, [](const VmListResult &) {});
            const auto store = platform::makeStore(answering(random() % 2 == 0 ? 200 : 412, mutated(rows, random)), "a");
            store.read({"t", "", "", ""}, {100}, [](const ReadResult &) {});
            store.commit({}, {100}, [](const CommitResult &) {});
            platform::makeAdvice(answering(200, mutated(R"({"good":[["w","t"]],"valid_ms":500})", random)), "a")
                .query({}, {}, {100}, [](const AdviceResult &) {});
            decodeReport(mutated(encodeReport(report), random));
            decodePublishedLoad(mutated(encodePublishedLoad(load), random));
            if (const auto spec = decodeSpec("id", mutated(encodeSpec(validSpec()), random))) {
                decodeRecord(*spec, encodeRecord(record));
            }
            decodeRecord(validSpec(), mutated(encodeRecord(record), random));
            decodePhase(mutated(encodeRecord(record), random));
        };
        REQUIRE_NOTHROW(decodeAll());
    }
}

TEST_CASE("deeply nested JSON is rejected without exhausting the stack")
{
    const std::string deep(1'000'000, '[');
    CHECK_FALSE(platform::decodeJob(deep).ok());
    CHECK_FALSE(platform::decodeJob(deep + std::string(1'000'000, ']')).ok());
    CHECK_FALSE(platform::decodeConfiguration(deep));
}

TEST_CASE("a malformed claim row neither ends the process nor names an owner")
{
    FakeLoop loop;
    FakeStore store(loop);
    Leases::Callbacks callbacks{.acquired = [](const std::string &, std::uint64_t, bool) {},
                                .lost = [](const std::string &) {},
                                .status =
                                    [](const std::string &) {
                                        return std::string();
                                    }};
    Leases leases(store.port("e"), loop.timers(), loop.clock(), {"e", "e", 0.5}, {}, callbacks);
    leases.setShards({"a"});
    leases.start();
    loop.advance({1'000});
    REQUIRE(leases.holds("a"));
    store.put({claimTable, "a", "owner"}, R"({"holder":7,"address":[],"cpu":"fast","nonce":{},"heir":null})");
    loop.advance({500});
    CHECK(leases.owner("a")->holder != "7");
    loop.advance({6'000});
    CHECK(leases.holds("a"));
}

TEST_CASE("a malformed wave row does not prevent the fleet owner from loading the others")
{
    FakeLoop loop;
    FakeStore store(loop);
    store.put({"waves", fleetShard, "1"}, R"({"wave":"one","done":7})");
    store.put({"waves", fleetShard, "2"}, R"({"wave":2,"done":[1,"v"],"ordered":"none","completed":7})");
    int lists = 0;
    const std::map<std::int64_t, Wave> waves;
    FleetOwner::Ports ports{.store = store.port("e"), .timers = loop.timers(), .clock = loop.clock(), .holder = "e"};
    ports.vms.list = [&](Millis, std::function<void(VmListResult)>) {
        ++lists;
    };
    ports.mayAct = [] {
        return true;
    };
    ports.condition = [] {
        return RowCondition{};
    };
    ports.waves = [&]() -> const std::map<std::int64_t, Wave> & {
        return waves;
    };
    ports.waveStatus = platform::encodeWaveStatus;
    ports.cells = [] {
        return Cells{1};
    };
    FleetOwner owner(1, {}, std::move(ports));
    owner.start();
    loop.advance({1'000});
    CHECK(lists > 0);
}

TEST_CASE("an exception in one callback leaves the event loop running")
{
    EventLoop loop;
    bool reached = false;
    loop.post([] { throw std::runtime_error("unexpected"); });
    loop.post([&] {
        reached = true;
        loop.stop();
    });
    loop.run();
    CHECK(reached);
}
