// Jobs whose queue moves to another pool.
#include "shards/rows.hpp"
#include "unit/jobcluster.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

constexpr Millis startupTime{3'000};
const std::vector<std::string> allEntries{"e0", "e1", "e2"};

static std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &it : lines) {
        text += it + "; ";
    }
    return text;
}

static void addOtherPool(JobCluster &cluster, const std::string &pool, int workers)
{
    for (int i = 0; i < workers; ++i) {
        cluster.registerWorker(cluster.workers.add(pool + std::to_string(i), pool, {8'000, 16'000, 0}));
    }
}

static int runningIn(const JobCluster &cluster, const std::string &workerPrefix, int workers)
{
    int n = 0;
    for (int i = 0; i < workers; ++i) {
        n += cluster.workers.runningOn(workerPrefix + std::to_string(i));
    }
    return n;
}

static JobSpec slowJob(int n, bool longRunning, Millis length = {60'000})
{
    auto spec = makeJob(jobId(n), {makeStep(2, 1'000, length)});
    spec.steps[0].longRunning = longRunning;
    return spec;
}

TEST_CASE("a job is found, is not run again and can be cancelled after its queue has moved to another pool")
{
    // Guards against looking a job up only in the pool to which the present configuration sends its queue.
    const auto cells = GENERATE(1, 3);
    const bool longRunning = GENERATE(false, true);
    const bool movesBack = GENERATE(false, true);
    CAPTURE(cells, longRunning, movesBack);
    JobCluster cluster(3, 6, cells);
    addOtherPool(cluster, "other", 6);
    cluster.loop.advance(startupTime);
    cluster.submit("e0", slowJob(1, longRunning));
    cluster.loop.advance({1'000});
    REQUIRE(cluster.workers.runningOf(jobId(1)) == 2);
    cluster.moveQueue(allEntries, "other", "renamed");
    cluster.loop.advance({500});
    if (movesBack) {
        cluster.moveQueue(allEntries, "pool", "route");
        cluster.loop.advance({500});
    }
    for (const auto &it : allEntries) {
        CHECK(cluster.readState(it, jobId(1)).phase == JobPhase::Running);
        cluster.answers.erase(jobId(1));
        cluster.submit(it, slowJob(1, longRunning));
        cluster.loop.advance({200});
        CHECK(cluster.answers[jobId(1)].kind == AnswerKind::Done);
    }
    CHECK(cluster.workers.starts == 2);
    cluster.submit("e1", slowJob(2, longRunning));
    cluster.loop.advance({2'000});
    CHECK(cluster.workers.runningOf(jobId(2)) == 2);
    CHECK(runningIn(cluster, "w", 6) == (movesBack ? 4 : 2));
    cluster.cancel("e2", jobId(1));
    cluster.cancel("e2", jobId(2));
    cluster.loop.advance({2'000});
    CHECK(cluster.answers["cancel " + jobId(1)].kind == AnswerKind::Done);
    CHECK(cluster.answers["cancel " + jobId(2)].kind == AnswerKind::Done);
    CHECK(cluster.workers.runningOf(jobId(1)) + cluster.workers.runningOf(jobId(2)) == 0);
    CHECK(cluster.readState("e1", jobId(1)).phase == JobPhase::Cancelled);
    CHECK(cluster.readState("e0", jobId(9)).kind == AnswerKind::NoJob);
    INFO(joined(cluster.workers.violations));
    CHECK(cluster.workers.violations.empty());
}

TEST_CASE("copies of a submission that entries with different versions of the configuration accept are one job")
{
    // The versions send the queue to different pools. The entry with the older one gets its copy `gap` before or after the other.
    const auto gap = GENERATE(-400, -6, -2, 0, 1, 3, 400);
    const bool oldSeesRow = GENERATE(false, true);
    CAPTURE(gap, oldSeesRow);
    JobCluster cluster(3, 3);
    addOtherPool(cluster, "other", 3);
    cluster.loop.advance(startupTime);
    if (oldSeesRow) {
        cluster.submit("e0", makeJob(jobId(7), {makeStep(1, 1'000, {100})}));
        cluster.loop.advance({1'000});
    }
    cluster.moveQueue({"e1", "e2"}, "other", "renamed");
    const int before = cluster.workers.starts;
    cluster.submit(gap < 0 ? "e0" : "e1", slowJob(1, false, {6'000}));
    cluster.loop.advance({std::abs(gap)});
    cluster.submit(gap < 0 ? "e1" : "e0", slowJob(1, false, {6'000}));
    cluster.loop.advance({10'000});
    CHECK(cluster.answers[jobId(1)].kind == AnswerKind::Done);
    CHECK(cluster.workers.starts == before + 2);
    CHECK(cluster.readState("e2", jobId(1)).phase == JobPhase::Completed);
    INFO(joined(cluster.workers.violations));
    CHECK(cluster.workers.violations.empty());
}

TEST_CASE("a pool that has lost its last queue runs its accepted jobs to their end")
{
    const bool removed = GENERATE(false, true);
    CAPTURE(removed);
    JobCluster cluster(3, 3);
    addOtherPool(cluster, "other", 3);
    cluster.loop.advance(startupTime);
    cluster.submit("e0", makeJob(jobId(1), {makeStep(2, 1'000, {2'000}), makeStep(2, 1'000, {2'000}, {0})}));
    cluster.loop.advance({1'000});
    if (removed) {
        cluster.removeQueue(allEntries);
    } else {
        cluster.moveQueue(allEntries, "other", "renamed");
    }
    cluster.loop.advance({1'000});
    const auto owner = cluster.owner();
    REQUIRE_FALSE(owner.empty());
    cluster.killEntry(owner);
    cluster.loop.advance({15'000});
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Completed);
    CHECK(cluster.workers.starts == 4);
}

TEST_CASE("the rows that keep a copy of a job out of its queue's former pool are removed with it")
{
    JobCluster cluster(3, 3);
    addOtherPool(cluster, "other", 3);
    cluster.loop.advance(startupTime);
    cluster.submit("e0", makeJob(jobId(7), {makeStep(1, 1'000, {100})}));
    cluster.loop.advance({1'000});
    cluster.moveQueue(allEntries, "other", "renamed");
    cluster.submit("e0", makeJob(jobId(1), {makeStep(1, 1'000, {100})}));
    cluster.loop.advance({1'000});
    const auto key = submissionKey("pool", jobId(1));
    REQUIRE(decodeTombstone(cluster.store.value(key)));
    cluster.loop.advance({150'000});
    CHECK(decodeTombstone(cluster.store.value(key)));
    CHECK(cluster.readState("e0", jobId(1)).phase == JobPhase::Completed);
    cluster.loop.advance({60'000});
    CHECK(cluster.store.value(key).empty());
    CHECK(cluster.readState("e0", jobId(1)).kind == AnswerKind::NoJob);
}
