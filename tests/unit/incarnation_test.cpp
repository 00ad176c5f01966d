// Workers that restart under their id: what is known of one incarnation does not hold for the next one.
#include "scheduling/pool.hpp"
#include "unit/jobcluster.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

constexpr Millis startupTime{3'000};
constexpr std::int64_t firstBorn = 5;
constexpr std::int64_t secondBorn = 60'005;
/// The longest lease of a worker whose clock runs 2 % slow.
constexpr Millis longestRun{10'204};

namespace
{

/// A pool with two workers whose answers the test gives. The clock of `w` is at 60,000 at first.
struct TwoWorkers {
    Pool pool{"pool", 7, {}};
    Millis now{100'000};
    JobSpec spec = makeJob(jobId(1), {makeStep(1, 3'000, {30'000})});
    bool isSilent = false;
    bool isRestarted = false;
    bool listsRun = false;

    TwoWorkers()
    {
        addWorkers();
        list();
    }

    void addWorkers()
    {
        pool.setWorkers(
            {{.id = "w", .service = "pool", .address = "w", .vm = "w", .incarnationStart = firstBorn, .capacity = {4'000, 8'000, 0}},
             {.id = "v", .service = "pool", .address = "v", .vm = "v", .incarnationStart = firstBorn, .capacity = {2'000, 8'000, 0}}},
            now);
    }

    /// Lets the subtask fit on the other worker, too.
    void growOther()
    {
        pool.setWorkers(
            {{.id = "w", .service = "pool", .address = "w", .vm = "w", .incarnationStart = firstBorn, .capacity = {4'000, 8'000, 0}},
             {.id = "v", .service = "pool", .address = "v", .vm = "v", .incarnationStart = firstBorn, .capacity = {4'000, 8'000, 0}}},
            now);
    }

    Millis clockOf(const std::string &worker) const
    {
        return worker == "w" && isRestarted ? now - restartedAt : now - Millis{40'000};
    }

    void list()
    {
        for (const std::string worker : {"w", "v"}) {
            if (worker == "w" && isSilent) {
                pool.onHold(worker, pool.fenceAt(worker), {.outcome = OrderOutcome::Unknown}, now, now, now);
                continue;
            }
            pool.onHoldSent(worker, now);
            RenewResult result{.outcome = OrderOutcome::Accepted, .workerClock = clockOf(worker)};
            result.incarnationStart = worker == "w" && isRestarted ? secondBorn : firstBorn;
            if (worker == "w" && listsRun) {
                result.running.push_back({.subtask = {spec.id, 0, 0, 0}, .run = 1});
            }
            pool.onHold(worker, pool.fenceAt(worker), result, now, now, now);
        }
    }

    std::vector<StartOrder> starts()
    {
        pool.schedule(now, now, true);
        pool.takeRecords(10);
        auto starts = pool.onRecordsCommitted(now).starts;
        const auto due = pool.dueOrders(now).starts;
        starts.insert(starts.end(), due.begin(), due.end());
        return starts;
    }

    /// The time until the subtask is started on the other worker, from now.
    Millis timeUntilStartedElsewhere()
    {
        const auto begin = now;
        for (int i = 0; i < 400; ++i) {
            now += Millis{50};
            list();
            for (const auto &it : starts()) {
                if (it.worker.id == "v") {
                    return now - begin;
                }
            }
        }
        return Millis{-1};
    }

    Millis restartedAt;
};

} // namespace

TEST_CASE("a restarted worker that took a start for its former incarnation keeps the subtask for the longest lease")
{
    // Guards against a second run beside that of a worker that is cut off soon after its restart: the deadline of the start was on the
    // clock of the former incarnation, so that the run may last for the longest lease that a worker grants.
    const std::string seen = GENERATE("by a list", "by the answer to the start", "not at all");
    CAPTURE(seen);
    TwoWorkers sim;
    sim.pool.addJob(sim.spec, std::nullopt, sim.now, sim.now);
    const auto starts = sim.starts();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].worker.id == "w");
    const auto sentAt = sim.now;
    sim.growOther();
    sim.restartedAt = sim.now - Millis{20};
    sim.isRestarted = sim.listsRun = true;
    sim.now += Millis{10};
    if (seen == "by the answer to the start") {
        sim.pool.onStart(starts[0], {.outcome = OrderOutcome::Accepted, .workerClock = sim.clockOf("w")}, sim.now);
    } else {
        sim.pool.onStart(starts[0], {.outcome = OrderOutcome::Unknown}, sim.now);
    }
    if (seen == "by a list") {
        sim.list();
        sim.now += Millis{1'000};
        sim.list();
    }
    sim.isSilent = true;
    sim.timeUntilStartedElsewhere();
    CHECK(sim.now - sentAt >= longestRun);
    CHECK(sim.now - sentAt < longestRun + Millis{2'500});
}

TEST_CASE("a confirmed run of a worker that is cut off without a restart is started elsewhere after one lease")
{
    // Guards against waiting for the longest lease when the incarnation is not in doubt.
    TwoWorkers sim;
    sim.now += PoolTimes{}.previousOwnerLease;
    sim.list();
    sim.pool.addJob(sim.spec, std::nullopt, sim.now, sim.now);
    const auto starts = sim.starts();
    REQUIRE(starts.size() == 1);
    sim.growOther();
    sim.pool.onStart(starts[0], {.outcome = OrderOutcome::Accepted, .workerClock = sim.clockOf("w")}, sim.now);
    sim.listsRun = true;
    sim.list();
    sim.isSilent = true;
    const auto waited = sim.timeUntilStartedElsewhere();
    CHECK(waited > Millis{5'000});
    CHECK(waited < Millis{5'300});
}

TEST_CASE("a new owner waits for the longest lease of a worker that may have restarted before the take-over")
{
    const bool heard = GENERATE(false, true);
    CAPTURE(heard);
    TwoWorkers sim;
    auto record = emptyRecord(sim.spec);
    record.phase = JobPhase::Running;
    record.occurrences[0][0][0] = {.lastRun = 1, .runs = {{1, "w", firstBorn}}};
    Pool pool("pool", 8, {});
    std::swap(sim.pool, pool);
    sim.pool.addJob(sim.spec, record, sim.now, sim.now);
    sim.growOther();
    // The run was started right before the take-over.
    sim.restartedAt = sim.now - Millis{500};
    sim.isRestarted = sim.listsRun = true;
    sim.isSilent = !heard;
    const auto takenOverAt = sim.now;
    sim.list();
    sim.isSilent = true;
    sim.timeUntilStartedElsewhere();
    CHECK(sim.now - takenOverAt >= longestRun);
    CHECK(sim.now - takenOverAt < longestRun + Millis{2'500});
}

TEST_CASE("the late answer of a former incarnation changes nothing")
{
    // Guards against taking it for another restart, which drops the runs at work, and against processing its list of ends.
    TwoWorkers sim;
    const auto heldUpSince = sim.now;
    sim.now += Millis{1'000};
    sim.restartedAt = sim.now - Millis{100};
    sim.isRestarted = true;
    sim.list();
    sim.pool.addJob(sim.spec, std::nullopt, sim.now, sim.now);
    const auto starts = sim.starts();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].worker.id == "w");
    sim.pool.onStart(starts[0], {.outcome = OrderOutcome::Accepted, .workerClock = sim.clockOf("w")}, sim.now);
    sim.listsRun = true;
    sim.now += Millis{900};
    sim.list();
    const auto deadline = sim.pool.deadlineFor(*sim.pool.workers().at("w"), sim.now);
    const auto fence = sim.pool.fenceAt("w");
    RenewResult late{.outcome = OrderOutcome::Accepted, .workerClock = {60'500}, .incarnationStart = firstBorn};
    late.ended = {{.number = 1, .subtask = {jobId(9), 0, 0, 0}, .run = 1, .end = RunEnd::Done}};
    sim.pool.onHold("w", fence, late, heldUpSince, sim.now, sim.now);
    const auto &worker = *sim.pool.workers().at("w");
    CHECK(worker.incarnation.startedAt == secondBorn);
    CHECK(worker.incarnation.lastProcessedEnd == 0);
    CHECK(sim.pool.fenceAt("w") == fence);
    CHECK(sim.pool.deadlineFor(worker, sim.now) == deadline);
    REQUIRE(worker.runs.size() == 1);
    sim.growOther();
    CHECK(sim.starts().empty());
    sim.list();
    CHECK(sim.starts().empty());
}

TEST_CASE("a restart is recognised although the wall clock of the worker was set back")
{
    TwoWorkers sim;
    sim.now += Millis{1'000};
    sim.pool.onHold("w", sim.pool.fenceAt("w"), {OrderOutcome::Accepted, {100}, firstBorn - 1}, sim.now, sim.now, sim.now);
    CHECK(sim.pool.workers().at("w")->incarnation.startedAt == firstBorn - 1);
}

TEST_CASE("workers that restart under their id and are cut off soon after run nothing twice")
{
    // A start that is under way at the restart is carried out by the new incarnation. The owner learns of that and is cut off from the
    // worker 1.5 s later, in one of the cases after a change of the owner.
    const bool killed = GENERATE(false, true);
    for (int restartAt = 20; restartAt <= 300; restartAt += 20) {
        CAPTURE(killed, restartAt);
        JobCluster cluster(3, 2);
        cluster.workers.restartTime = {100};
        cluster.workers.orderDelay = {300};
        cluster.loop.advance(startupTime);
        cluster.workers.delayed = {"w0", "w1"};
        cluster.submit("e0", makeJob(jobId(1), {makeStep(2, 3'000, {30'000})}));
        cluster.loop.advance({restartAt});
        cluster.workers.restart("w0");
        cluster.loop.advance({500 - restartAt});
        cluster.workers.delayed.clear();
        cluster.loop.advance({1'000});
        if (killed) {
            cluster.killEntry(cluster.owner());
        }
        cluster.loop.advance({600});
        cluster.workers.unresponsive = {"w0"};
        cluster.loop.advance({9'000});
        cluster.workers.unresponsive.clear();
        cluster.loop.advance({40'000});
        std::string violations;
        for (const auto &it : cluster.workers.violations) {
            violations += it + "; ";
        }
        INFO(violations);
        CHECK(cluster.workers.violations.empty());
        CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Completed);
    }
}
