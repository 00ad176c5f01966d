// Scheduler state of one pool, without a pool owner.
#include "scheduling/pool.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

TEST_CASE("a failure recorded by a previous owner is not counted twice")
{
    // The owner changes after recording a failure but before acknowledging it, so the worker lists the same failure to the new
    // owner. Counting it again would fail the job after a single failure.
    JobSpec spec{.id = "0000000000000001", .route = "route"};
    spec.steps = {{.count = 1, .need = {1'000, 10, 0}, .estimate = {100}}};
    spec.policy.maxAttempts = 2;
    auto record = emptyRecord(spec);
    record.phase = JobPhase::Running;
    record.occurrences[0][0][0] = {.failedRuns = {1}, .lastRun = 1};
    Pool pool("pool", 7, {});
    const Millis now{100'000};
    pool.addJob(spec, record, now, now);
    pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .incarnationStart = 5, .capacity = {8'000, 8'000, 0}}}, now);
    RenewResult list{.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .incarnationStart = 5};
    list.ended = {{.number = 1, .subtask = {spec.id, 0, 0, 0}, .run = 1, .end = RunEnd::Failed}};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    CHECK(pool.jobs().at(spec.id)->phase == JobPhase::Running);
    list.ended = {{.number = 2, .subtask = {spec.id, 0, 0, 0}, .run = 2, .end = RunEnd::Failed}};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    CHECK(pool.jobs().at(spec.id)->phase == JobPhase::Failed);
}

TEST_CASE("starts are sent and ends acknowledged only after the commit")
{
    JobSpec spec{.id = "0000000000000001", .route = "route"};
    spec.steps = {{.count = 1, .need = {1'000, 10, 0}, .estimate = {100}}};
    Pool pool("pool", 7, {});
    const Millis now{100'000};
    pool.addJob(spec, std::nullopt, now, now);
    pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .incarnationStart = 5, .capacity = {8'000, 8'000, 0}}}, now);
    RenewResult list{.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .incarnationStart = 5};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    pool.schedule(now, now, true);
    CHECK(pool.dueOrders(now).starts.empty());
    REQUIRE(pool.takeRecords(10).size() == 1);
    pool.onCommitFailed();
    CHECK(pool.dueOrders(now).starts.empty());
    REQUIRE(pool.takeRecords(10).size() == 1);
    const auto starts = pool.onRecordsCommitted(now).starts;
    REQUIRE(starts.size() == 1);
    pool.onStart(starts[0], {.outcome = OrderOutcome::Accepted, .workerClock = {1'001}}, now);
    list.ended = {{.number = 1, .subtask = {spec.id, 0, 0, 0}, .run = 1, .end = RunEnd::Done}};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    CHECK(pool.workers().at("w")->incarnation.ackCursor == 0);
    pool.takeRecords(10);
    pool.onRecordsCommitted(now);
    CHECK(pool.workers().at("w")->incarnation.ackCursor == 1);
}

TEST_CASE("a subtask whose start got no response starts again on its worker once a list under a higher token lacks it")
{
    // Guards against starting the subtask elsewhere: the delayed start may reach a later incarnation of its worker.
    JobSpec spec{.id = "0000000000000001", .route = "route"};
    spec.steps = {{.count = 1, .need = {1'000, 10, 0}, .estimate = {100}}};
    Pool pool("pool", 7, {});
    Millis now{100'000};
    pool.addJob(spec, std::nullopt, now, now);
    pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .incarnationStart = 5, .capacity = {8'000, 8'000, 0}}}, now);
    RenewResult list{.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .incarnationStart = 5};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .incarnationStart = 5, .capacity = {8'000, 8'000, 0}},
                     {.id = "v", .service = "pool", .address = "v", .incarnationStart = 5, .capacity = {8'000, 8'000, 0}}},
                    now);
    pool.schedule(now, now, true);
    pool.takeRecords(10);
    const auto starts = pool.onRecordsCommitted(now).starts;
    REQUIRE(starts.size() == 1);
    const auto before = pool.fenceAt("w");
    pool.onStart(starts[0], {.outcome = OrderOutcome::Unknown}, now);
    REQUIRE(pool.fenceAt("w") > before);
    now += pool.times().resendInterval;
    list.workerClock += pool.times().resendInterval;
    pool.onHold("v", pool.fenceAt("v"), list, now, now, now);
    pool.onHold("w", before, list, now, now, now);
    pool.schedule(now, now, true);
    CHECK(pool.load(now).runs == 1);
    CHECK_FALSE(pool.hasUnsavedChanges());
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    pool.schedule(now, now, true);
    pool.takeRecords(10);
    const auto again = pool.onRecordsCommitted(now).starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker.id == "w");
    CHECK(again[0].run > starts[0].run);
    CHECK(again[0].fence == pool.fenceAt("w"));
    CHECK(pool.load(now).runs == 1);
}

TEST_CASE("a subtask whose starts get no response is placed on another worker only when a late one need not be expected")
{
    // Guards against a subtask that waits for one worker for ever, and against a late start beside the one elsewhere.
    JobSpec spec{.id = "0000000000000001", .route = "route"};
    spec.steps = {{.count = 1, .need = {1'000, 10, 0}, .estimate = {100}}};
    PoolTimes times;
    Pool pool("pool", 7, times);
    Millis now{100'000};
    pool.addJob(spec, std::nullopt, now, now);
    const WorkerRegistration silent{.id = "w", .service = "pool", .address = "w", .incarnationStart = 5, .capacity = {8'000, 8'000, 0}};
    const WorkerRegistration other{.id = "v", .service = "pool", .address = "v", .incarnationStart = 5, .capacity = {8'000, 8'000, 0}};
    const auto listAll = [&] {
        for (const auto &[id, worker] : pool.workers()) {
            pool.onHold(id, pool.fenceAt(id), {OrderOutcome::Accepted, now - Millis{99'000}, 5}, now, now, now);
        }
    };
    pool.setWorkers({silent}, now);
    listAll();
    Millis lastSent;
    std::vector<std::string> startedOn;
    for (int i = 0; i < 120; ++i) {
        pool.schedule(now, now, true);
        pool.takeRecords(10);
        auto starts = pool.onRecordsCommitted(now).starts;
        const auto due = pool.dueOrders(now).starts;
        starts.insert(starts.end(), due.begin(), due.end());
        for (const auto &it : starts) {
            startedOn.push_back(it.worker.id);
            if (it.worker.id == "v") {
                CHECK(now - lastSent >= times.lateStartTime);
                pool.onStart(it, {.outcome = OrderOutcome::Accepted, .workerClock = now - Millis{99'000}}, now);
            } else {
                lastSent = now;
                pool.onStart(it, {.outcome = OrderOutcome::Unknown}, now);
                pool.setWorkers({silent, other}, now);
            }
        }
        now += Millis{100};
        if (!startedOn.empty() && startedOn.back() == "v") {
            break;
        }
        listAll();
    }
    CHECK(startedOn == std::vector<std::string>{"w", "w", "w", "w", "v"});
    CHECK(now - Millis{100'000} < times.lateStartTime + times.resendInterval * 5);
}

namespace
{

/// A pool with simulated workers that execute all orders and list their runs in each renewal result.
struct SimulatedWorkers {
    Pool pool{"pool", 7, {}};
    Millis now{100'000};
    std::vector<WorkerRegistration> entries;
    std::map<std::string, RenewResult> lists;

    explicit SimulatedWorkers(const std::vector<std::string> &ids)
    {
        for (const auto &id : ids) {
            entries.push_back({.id = id, .service = "pool", .address = id, .vm = id, .incarnationStart = 5, .capacity = {8'000, 8'000, 0}});
            lists[id].outcome = OrderOutcome::Accepted;
            lists[id].incarnationStart = 5;
        }
        pool.setWorkers(entries, now);
        listAll();
    }

    void listAll()
    {
        for (const auto &it : entries) {
            auto &list = lists[it.id];
            list.workerClock = {now.count - 99'000};
            pool.onHold(it.id, pool.fenceAt(it.id), list, now, now, now);
        }
    }

    /// Places, commits and starts everything that fits. Returns the worker of each start.
    std::vector<std::string> start(int progressPercent)
    {
        pool.schedule(now, now, true);
        pool.takeRecords(100);
        std::vector<std::string> started;
        for (const auto &it : pool.onRecordsCommitted(now).starts) {
            pool.onStart(it, {.outcome = OrderOutcome::Accepted, .workerClock = {now.count - 99'000}}, now);
            lists[it.worker.id].running.push_back({.subtask = it.subtask, .run = it.run, .progressPercent = progressPercent});
            started.push_back(it.worker.id);
        }
        return started;
    }

    /// Ends the first run on the worker's list and delivers the lists of all workers.
    void end(const std::string &worker, RunEnd how)
    {
        auto &list = lists[worker];
        const auto first = list.running.front();
        list.running.erase(list.running.begin());
        const auto number = list.ended.empty() ? 1 : list.ended.back().number + 1;
        list.ended.push_back({.number = number, .subtask = first.subtask, .run = first.run, .end = how});
        listAll();
    }

    std::vector<StopOrder> stops()
    {
        return pool.dueOrders(now).stops;
    }
};

JobSpec longRunningJob(const std::string &id, int count)
{
    JobSpec spec{.id = id, .route = "route"};
    spec.steps = {{.count = count, .need = {1'000, 10, 0}, .estimate = {700}}};
    spec.steps[0].longRunning = true;
    spec.steps[0].maxPerWorker = 1;
    spec.steps[0].maxUnavailable = 1;
    return spec;
}

JobSpec shortJob(const std::string &id, int count, std::int64_t cpuMilli)
{
    JobSpec spec{.id = id, .route = "short"};
    spec.steps = {{.count = count, .need = {cpuMilli, 10, 0}, .estimate = {600}}};
    return spec;
}

} // namespace

TEST_CASE("a long-running subtask is not moved right after its sibling was listed as available")
{
    // Listed progress is rounded, so the sibling may not be available yet and the stop would leave too few available.
    SimulatedWorkers sim({"w0", "w1", "w2"});
    sim.pool.addJob(longRunningJob("0000000000000001", 2), std::nullopt, sim.now, sim.now);
    const auto started = sim.start(100);
    REQUIRE(started.size() == 2);
    sim.now += Millis{700};
    sim.listAll();
    sim.pool.cordonVms({started[0]}, sim.now + Millis{5'000});
    sim.pool.schedule(sim.now, sim.now, true);
    CHECK(sim.stops().empty());
    sim.now += PoolTimes{}.availabilityDelay;
    sim.listAll();
    sim.pool.schedule(sim.now, sim.now, true);
    CHECK(sim.stops().size() == 1);
}

TEST_CASE("a long-running subtask not yet listed as available is not moved while its sibling is unavailable")
{
    // The subtask may have become available after its worker's last list; stopping it just after another one was lost would
    // leave too few available.
    SimulatedWorkers sim({"w0", "w1", "w2", "w3"});
    sim.pool.addJob(longRunningJob("0000000000000001", 2), std::nullopt, sim.now, sim.now);
    const auto started = sim.start(95);
    REQUIRE(started.size() == 2);
    sim.now += Millis{600};
    sim.listAll();
    sim.pool.cordonVms({started[0]}, sim.now + Millis{5'000});
    sim.now += Millis{400};
    sim.pool.schedule(sim.now, sim.now, true);
    CHECK(sim.stops().empty());
    for (auto &[id, list] : sim.lists) {
        for (auto &it : list.running) {
            it.progressPercent = 100;
        }
    }
    sim.listAll();
    sim.now += PoolTimes{}.availabilityDelay;
    sim.pool.schedule(sim.now, sim.now, true);
    CHECK(sim.stops().size() == 1);
}

TEST_CASE("a long-running subtask gets the room freed by short subtasks that are smaller than it")
{
    // Without a reservation each freed core goes to a smaller subtask, and the long-running one waits for the whole load surge.
    SimulatedWorkers sim({"w0"});
    sim.pool.addJob(shortJob("0000000000000001", 30, 1'000), std::nullopt, sim.now, sim.now);
    REQUIRE(sim.start(0).size() == 8);
    auto spec = longRunningJob("0000000000000002", 1);
    spec.steps[0].need = {2'500, 10, 0};
    sim.pool.addJob(spec, std::nullopt, sim.now, sim.now);
    CHECK(sim.start(0).empty());
    for (int i = 0; i < 3; ++i) {
        CHECK(sim.pool.load(sim.now).queuedByRoute["route"] == 1);
        sim.now += Millis{100};
        sim.end("w0", RunEnd::Done);
        sim.start(0);
    }
    CHECK(sim.pool.load(sim.now).queuedByRoute["route"] == 0);
}

TEST_CASE("a long-running subtask without room elsewhere returns to a cordoned VM that can't be emptied")
{
    // Guards against a deadlock: the long-running subtasks left on the cordoned VM may not stop until the one moved off it is
    // available again, and that one fits on no other VM.
    SimulatedWorkers sim({"w0", "w1"});
    auto spec = longRunningJob("0000000000000001", 4);
    spec.steps[0].maxPerWorker = 0;
    sim.pool.addJob(spec, std::nullopt, sim.now, sim.now);
    REQUIRE(sim.start(100).size() == 4);
    sim.listAll();
    sim.now += Millis{700};
    sim.listAll();
    sim.pool.cordonVms({"w0"}, sim.now + Millis{20'000});
    sim.pool.schedule(sim.now, sim.now, true);
    REQUIRE(sim.stops().size() == 1);
    sim.pool.addJob(shortJob("0000000000000002", 12, 2'000), std::nullopt, sim.now, sim.now);
    CHECK(sim.start(0) == std::vector<std::string>{"w1", "w1", "w1", "w1"});
    sim.end("w0", RunEnd::Stopped);
    CHECK(sim.start(0) == std::vector<std::string>{"w0"});
}

TEST_CASE("a job counts as queued until a worker has confirmed a start")
{
    // A job whose first start was refused or got no response has not begun, although a subtask was placed.
    SimulatedWorkers sim({"w0"});
    sim.pool.addJob(shortJob("0000000000000001", 1, 1'000), std::nullopt, sim.now, sim.now);
    sim.pool.schedule(sim.now, sim.now, true);
    sim.pool.takeRecords(10);
    const auto starts = sim.pool.onRecordsCommitted(sim.now).starts;
    REQUIRE(starts.size() == 1);
    CHECK(sim.pool.load(sim.now).queuedByRoute["short"] == 1);
    sim.pool.onStart(starts[0], {.outcome = OrderOutcome::Unhealthy}, sim.now);
    CHECK(sim.pool.load(sim.now).queuedByRoute["short"] == 1);
    sim.now += Millis{2'000};
    REQUIRE(sim.start(0).size() == 1);
    CHECK(sim.pool.load(sim.now).queuedByRoute["short"] == 0);
}

TEST_CASE("a renewal that its owner's later token overtook does not make the worker unreachable")
{
    SimulatedWorkers sim({"w0"});
    sim.pool.addJob(shortJob("0000000000000001", 1, 1'000), std::nullopt, sim.now, sim.now);
    sim.pool.schedule(sim.now, sim.now, true);
    sim.pool.takeRecords(10);
    const auto starts = sim.pool.onRecordsCommitted(sim.now).starts;
    REQUIRE(starts.size() == 1);
    const auto before = sim.pool.fenceAt("w0");
    sim.pool.onStart(starts[0], {.outcome = OrderOutcome::Unknown}, sim.now);
    sim.listAll();
    REQUIRE(sim.pool.isReachable(*sim.pool.workers().at("w0")));
    sim.pool.onHold("w0", before, {.outcome = OrderOutcome::Fenced}, sim.now, sim.now, sim.now);
    CHECK(sim.pool.isReachable(*sim.pool.workers().at("w0")));
}
