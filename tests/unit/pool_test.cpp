// One pool's bookkeeping, without an owner.
#include "scheduling/pool.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

TEST_CASE("a failure that an earlier owner has recorded is not counted again")
{
    // Guards against a job that is shown as failed after one failure, because its owner changed before the worker was told.
    JobSpec spec{.id = "0000000000000001", .route = "route"};
    spec.steps = {{.count = 1, .need = {1'000, 10, 0}, .estimate = {100}}};
    spec.policy.maxAttempts = 2;
    auto record = emptyRecord(spec);
    record.phase = JobPhase::Running;
    record.occurrences[0][0][0] = {.failedRuns = {1}, .lastRun = 1};
    Pool pool("pool", 7, {});
    const Millis now{100'000};
    pool.addJob(spec, record, now, now);
    pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .born = 5, .capacity = {8'000, 8'000, 0}}}, now);
    HoldResult list{.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .born = 5};
    list.ended = {{.number = 1, .subtask = {spec.id, 0, 0, 0}, .run = 1, .end = RunEnd::Failed}};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    CHECK(pool.jobs().at(spec.id)->phase == JobPhase::Running);
    list.ended = {{.number = 2, .subtask = {spec.id, 0, 0, 0}, .run = 2, .end = RunEnd::Failed}};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    CHECK(pool.jobs().at(spec.id)->phase == JobPhase::Failed);
}

TEST_CASE("a worker is told nothing before its start is recorded, and ends are acknowledged after")
{
    JobSpec spec{.id = "0000000000000001", .route = "route"};
    spec.steps = {{.count = 1, .need = {1'000, 10, 0}, .estimate = {100}}};
    Pool pool("pool", 7, {});
    const Millis now{100'000};
    pool.addJob(spec, std::nullopt, now, now);
    pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .born = 5, .capacity = {8'000, 8'000, 0}}}, now);
    HoldResult list{.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .born = 5};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    pool.schedule(now, now, true);
    CHECK(pool.dueOrders(now).starts.empty());
    REQUIRE(pool.takeRecords(10).size() == 1);
    pool.notRecorded();
    CHECK(pool.dueOrders(now).starts.empty());
    REQUIRE(pool.takeRecords(10).size() == 1);
    const auto starts = pool.recorded(now).starts;
    REQUIRE(starts.size() == 1);
    pool.onStart(starts[0], {.outcome = OrderOutcome::Accepted, .workerClock = {1'001}}, now);
    list.ended = {{.number = 1, .subtask = {spec.id, 0, 0, 0}, .run = 1, .end = RunEnd::Done}};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    CHECK(pool.workers().at("w")->ackCursor == 0);
    pool.takeRecords(10);
    pool.recorded(now);
    CHECK(pool.workers().at("w")->ackCursor == 1);
}

TEST_CASE("a start without an answer is given up once a list under a higher token lacks it")
{
    // Guards against waiting for the whole lease, and against a start that is carried out seconds later.
    JobSpec spec{.id = "0000000000000001", .route = "route"};
    spec.steps = {{.count = 1, .need = {1'000, 10, 0}, .estimate = {100}}};
    Pool pool("pool", 7, {});
    const Millis now{100'000};
    pool.addJob(spec, std::nullopt, now, now);
    pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .born = 5, .capacity = {8'000, 8'000, 0}}}, now);
    const HoldResult list{.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .born = 5};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    pool.schedule(now, now, true);
    pool.takeRecords(10);
    const auto starts = pool.recorded(now).starts;
    REQUIRE(starts.size() == 1);
    const auto before = pool.fenceAt("w");
    pool.onStart(starts[0], {.outcome = OrderOutcome::Unknown}, now);
    REQUIRE(pool.fenceAt("w") > before);
    pool.onHold("w", before, list, now, now, now);
    CHECK(pool.load(now).runs == 1);
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    CHECK(pool.load(now).runs == 0);
}

TEST_CASE("a lasting subtask is not moved right after its neighbour was listed at work")
{
    // Guards against a stop while the neighbour, whose progress is listed rounded, is not at work yet.
    JobSpec spec{.id = "0000000000000001", .route = "route"};
    spec.steps = {{.count = 2, .need = {1'000, 10, 0}, .estimate = {700}}};
    spec.steps[0].longRunning = true;
    spec.steps[0].maxPerWorker = 1;
    spec.steps[0].mayMiss = 1;
    Pool pool("pool", 7, {});
    Millis now{100'000};
    pool.addJob(spec, std::nullopt, now, now);
    std::vector<WorkerEntry> entries;
    for (const auto *const id : {"w0", "w1", "w2"}) {
        entries.push_back({.id = id, .service = "pool", .address = id, .vm = id, .born = 5, .capacity = {8'000, 8'000, 0}});
    }
    pool.setWorkers(entries, now);
    std::map<std::string, HoldResult> lists;
    const auto listAll = [&] {
        for (const auto &it : entries) {
            auto &list = lists[it.id];
            list.outcome = OrderOutcome::Accepted;
            list.workerClock = {now.count - 99'000};
            list.born = 5;
            pool.onHold(it.id, pool.fenceAt(it.id), list, now, now, now);
        }
    };
    listAll();
    pool.schedule(now, now, true);
    pool.takeRecords(10);
    std::string first;
    for (const auto &it : pool.recorded(now).starts) {
        pool.onStart(it, {.outcome = OrderOutcome::Accepted, .workerClock = {1'001}}, now);
        lists[it.worker.id].running = {{.subtask = it.subtask, .run = it.run, .progressPercent = 100}};
        first = it.worker.id;
    }
    REQUIRE_FALSE(first.empty());
    now += Millis{700};
    listAll();
    pool.emptyVms({first}, now + Millis{5'000});
    pool.schedule(now, now, true);
    CHECK(pool.dueOrders(now).stops.empty());
    now += PoolTimes{}.atWork;
    listAll();
    pool.schedule(now, now, true);
    CHECK(pool.dueOrders(now).stops.size() == 1);
}

TEST_CASE("a lasting subtask that may be at work since its worker's last list is not moved while its neighbour is away")
{
    // Guards against moving a subtask that went to work after its worker's last list, while another one had just been lost.
    JobSpec spec{.id = "0000000000000001", .route = "route"};
    spec.steps = {{.count = 2, .need = {1'000, 10, 0}, .estimate = {700}}};
    spec.steps[0].longRunning = true;
    spec.steps[0].maxPerWorker = 1;
    spec.steps[0].mayMiss = 1;
    Pool pool("pool", 7, {});
    Millis now{100'000};
    pool.addJob(spec, std::nullopt, now, now);
    std::vector<WorkerEntry> entries;
    for (const auto *const id : {"w0", "w1", "w2", "w3"}) {
        entries.push_back({.id = id, .service = "pool", .address = id, .vm = id, .born = 5, .capacity = {8'000, 8'000, 0}});
    }
    pool.setWorkers(entries, now);
    std::map<std::string, HoldResult> lists;
    const auto listAll = [&] {
        for (const auto &it : entries) {
            auto &list = lists[it.id];
            list.outcome = OrderOutcome::Accepted;
            list.workerClock = {now.count - 99'000};
            list.born = 5;
            pool.onHold(it.id, pool.fenceAt(it.id), list, now, now, now);
        }
    };
    listAll();
    pool.schedule(now, now, true);
    pool.takeRecords(10);
    std::string first;
    for (const auto &it : pool.recorded(now).starts) {
        pool.onStart(it, {.outcome = OrderOutcome::Accepted, .workerClock = {1'001}}, now);
        lists[it.worker.id].running = {{.subtask = it.subtask, .run = it.run, .progressPercent = 95}};
        first = it.worker.id;
    }
    REQUIRE_FALSE(first.empty());
    now += Millis{600};
    listAll();
    pool.emptyVms({first}, now + Millis{5'000});
    now += Millis{400};
    pool.schedule(now, now, true);
    CHECK(pool.dueOrders(now).stops.empty());
    for (auto &[id, list] : lists) {
        for (auto &it : list.running) {
            it.progressPercent = 100;
        }
    }
    listAll();
    now += PoolTimes{}.atWork;
    pool.schedule(now, now, true);
    CHECK(pool.dueOrders(now).stops.size() == 1);
}
