// More ended runs on a worker than it lists at a time.
#include "unit/jobcluster.hpp"
#include "workers.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis startupTime{3'000};
constexpr int subtasks = 640;
constexpr Millis duration{6'000};

/// Starts a job whose subtasks all run on one worker and end together, and advances to shortly before their end.
void runOnOneWorker(JobCluster &cluster)
{
    cluster.registerWorker(cluster.workers.add("w0", "pool", {64'000, 128'000, 0}));
    cluster.loop.advance(startupTime);
    cluster.submit("e0", makeJob(jobId(1), {makeStep(subtasks, 100, duration)}));
    cluster.loop.advance({1'000});
    REQUIRE(cluster.workers.runningOn("w0") == subtasks);
    cluster.loop.advance(duration - Millis{1'300});
    REQUIRE(cluster.workers.runningOn("w0") == subtasks);
}

} // namespace

TEST_CASE("runs that ended beyond a full list do not start again after a change of owner")
{
    // Subtasks ran twice: a new owner took the ends that its first list had no room for as lost runs.
    JobCluster cluster(3, 0);
    runOnOneWorker(cluster);
    cluster.killEntry(cluster.owner());
    cluster.loop.advance({15'000});
    CHECK(cluster.workers.violations.empty());
    CHECK(cluster.workers.starts == subtasks);
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Completed);
}

TEST_CASE("runs that ended beyond a full list do not start again while the store refuses the ends of that list")
{
    // The ends can't be acknowledged, so that each list holds the same ones.
    JobCluster cluster(1, 0);
    runOnOneWorker(cluster);
    cluster.store.refusing = true;
    cluster.loop.advance({1'100});
    cluster.store.refusing = false;
    cluster.loop.advance({15'000});
    CHECK(cluster.workers.violations.empty());
    CHECK(cluster.workers.starts == subtasks);
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Completed);
}

TEST_CASE("a worker's list of ends says whether there may be more")
{
    const auto isTruncated = [](int ends) {
        std::string rows;
        for (int i = 0; i < ends; ++i) {
            rows += std::string(i > 0 ? "," : "") + "[" + std::to_string(i + 1) + R"(,"5c0e7a21d94b36f8.0.0.1",1,"done",""])";
        }
        const TargetPort http{.send = [&rows](TargetRequest, TargetPort::Callback callback) {
            callback({.outcome = TargetOutcome::Answered,
                      .status = 200,
                      .body = R"({"clock_ms":7,"born":9,"running":[],"ended_runs":[)" + rows + "]}"});
        }};
        bool moreEnded = false;
        platform::makeWorkers(http).renew(
            {}, {100}, [] { return true; }, [&](const RenewResult &it) { moreEnded = it.moreEnded; });
        return moreEnded;
    };
    CHECK_FALSE(isTruncated(499));
    CHECK(isTruncated(500));
}
