// Promises of a pool whose owner is late: its VM has too little processor time, or the store answers slowly.
#include "unit/jobcluster.hpp"

#include "scheduling/pool.hpp"
#include "shards/rows.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis startupTime{3'000};
/// The users allow this long for an end to be acknowledged.
constexpr Millis ackTimeout{4'000};

} // namespace

TEST_CASE("an end that waits for its acknowledgement is reported with the reason")
{
    const auto fault = GENERATE(std::string("none"), std::string("store"), std::string("worker"));
    CAPTURE(fault);
    JobCluster cluster(1, 1);
    cluster.loop.advance(startupTime);
    cluster.submit("e0", makeJob(jobId(1), {makeStep(4, 1'000, {300})}));
    cluster.loop.advance({200});
    cluster.store.unresponsive = fault == "store";
    cluster.loop.advance({140});
    if (fault == "worker") {
        cluster.workers.unresponsive = {"w0"};
    }
    cluster.loop.advance({3'000});
    const std::map<std::string, std::set<AckDelay>> expected{
        {"none", {}}, {"store", {AckDelay::RecordNotCommitted}}, {"worker", {AckDelay::WorkerUnreachable}}};
    std::set<AckDelay> seen;
    for (const auto &[delay, reports] : cluster.ackDelays) {
        seen.insert(delay);
    }
    CHECK(seen == expected.at(fault));
}

TEST_CASE("the ends on busy workers are acknowledged although their owner is late")
{
    const auto lag = GENERATE(Millis{0}, Millis{150}, Millis{320}, Millis{450});
    const auto storeLatency = GENERATE(Millis{4}, Millis{250}, Millis{400});
    CAPTURE(lag.count, storeLatency.count);
    JobCluster cluster(1, 3);
    cluster.loop.advance(startupTime);
    cluster.store.latency = storeLatency;
    cluster.delayEntry("e0", lag);
    Millis longest;
    for (int i = 0; i < 200; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(3, 1'000, {180 + 13 * (i % 7)})}));
        cluster.loop.advance({50});
        longest = std::max(longest, cluster.workers.oldestUnacknowledged());
    }
    CHECK(cluster.workers.starts > 50);
    CHECK(longest < ackTimeout);
}
TEST_CASE("a changed job is committed and its ends acknowledged although other jobs keep changing")
{
    Pool pool("pool", 7, {});
    const Millis now{100'000};
    pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .incarnationStart = 5, .capacity = {800'000, 800'000, 0}}}, now);
    RenewResult list{.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .incarnationStart = 5};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    int rounds = 0;
    int nextId = 900'000;
    std::string firstJob;
    const auto addJobs = [&] {
        // Later jobs have smaller ids, and there are more of them than a transaction holds.
        for (int i = 0; i < 12; ++i) {
            JobSpec spec{.id = jobId(nextId--), .route = "route"};
            spec.steps = {makeStep(1, 10, {100})};
            pool.addJob(spec, std::nullopt, now, now);
            firstJob = firstJob.empty() ? spec.id : firstJob;
        }
        pool.schedule(now, now, true);
    };
    addJobs();
    std::vector<JobRow> rows;
    const auto isFirst = [&](const JobRow &it) {
        return it.id == firstJob;
    };
    do {
        addJobs();
        rows = pool.takeRecords(10);
        REQUIRE(rows.size() == 10);
        pool.onRecordsCommitted(now);
    } while (std::none_of(rows.begin(), rows.end(), isFirst) && ++rounds < 20);
    // 24 jobs had changed by the first transaction.
    CHECK(rounds <= 2);
    list.ended = {{.number = 1, .subtask = {firstJob, 0, 0, 0}, .run = 1, .end = RunEnd::Done}};
    pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    for (rounds = 0; pool.workers().at("w")->incarnation.ackCursor < 1 && rounds < 20; ++rounds) {
        addJobs();
        pool.takeRecords(10);
        pool.onRecordsCommitted(now);
    }
    // Fewer than 36 jobs had changed before the end.
    CHECK(rounds <= 4);
}
TEST_CASE("the queue length is refused or includes the jobs that have waited for long although the owner is late")
{
    // The users allow a job to be missing for 5 s after it was accepted, and half of the waiting jobs at any time.
    const auto lag = GENERATE(Millis{100}, Millis{400}, Millis{900}, Millis{1'700}, Millis{2'600});
    CAPTURE(lag.count);
    constexpr Millis visibleAfter{5'000};
    JobCluster cluster(3, 1);
    cluster.workers.durationPercent = 1'000;
    cluster.loop.advance(startupTime);
    const auto owner = cluster.owner();
    REQUIRE_FALSE(owner.empty());
    const std::string other = owner == "e0" ? "e1" : "e0";
    cluster.delayEntry(owner, lag);
    std::vector<std::pair<std::string, Millis>> submitted;
    for (int i = 0; i < 300; ++i) {
        cluster.submit(other, makeJob(jobId(i), {makeStep(4, 2'000, {1'000})}));
        submitted.emplace_back(jobId(i), cluster.loop.now());
        cluster.loop.advance({50});
        const auto waiting = std::count_if(submitted.begin(), submitted.end(), [&](const auto &it) {
            return it.second + visibleAfter < cluster.loop.now() && !cluster.workers.hasStarted(it.first);
        });
        const auto answer = cluster.readQueue(other);
        if (answer.kind == AnswerKind::QueuedCount) {
            REQUIRE(std::int64_t{answer.queued} * 2 >= waiting);
        }
    }
    CHECK(cluster.accepted.size() == 300);
}

TEST_CASE("the ends on many busy workers are acknowledged although the renewal budget is exhausted")
{
    const auto n = GENERATE(220, 300, 400);
    CAPTURE(n);
    // An entry with 0.25 of a core sends 800 renewals a second.
    JobCluster cluster(1, n);
    cluster.loop.advance(startupTime);
    Millis longest;
    for (int i = 0; i < 160; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(n / 2, 4'000, {180 + 13 * (i % 7)})}));
        cluster.loop.advance({50});
        longest = std::max(longest, cluster.workers.oldestUnacknowledged());
    }
    CHECK(longest < ackTimeout);
}

TEST_CASE("a late owner acknowledges no end of a worker that has restarted within a second or more")
{
    const auto lag = GENERATE(Millis{100}, Millis{320}, Millis{450}, Millis{700}, Millis{950}, Millis{1'300});
    const auto restartTime = GENERATE(Millis{1'000}, Millis{1'300});
    CAPTURE(lag.count, restartTime.count);
    int broken = 0;
    for (int seed = 0; seed < 40; ++seed) {
        JobCluster cluster(1, 3);
        cluster.loop.advance(startupTime);
        cluster.workers.restartTime = restartTime;
        cluster.delayEntry("e0", lag);
        for (int i = 0; i < 160; ++i) {
            cluster.submit("e0", makeJob(jobId(i), {makeStep(3, 1'000, {80 + 13 * (i % 7)})}));
            if (i % 40 == 20) {
                cluster.loop.advance({seed});
                cluster.workers.restart("w" + std::to_string(i / 40 % 3));
            }
            cluster.loop.advance({50});
        }
        cluster.loop.advance({5'000});
        broken += cluster.workers.violations.empty() ? 0 : 1;
    }
    CHECK(broken == 0);
}

TEST_CASE("ends are acknowledged at 40 jobs a second with a late owner and a slow store")
{
    JobCluster cluster(1, 8);
    cluster.loop.advance(startupTime);
    cluster.store.latency = {250};
    cluster.delayEntry("e0", {320});
    Millis longest;
    for (int i = 0; i < 600; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(1, 500, {150}), makeStep(1, 500, {150}, {0})}));
        cluster.loop.advance({25});
        longest = std::max(longest, cluster.workers.oldestUnacknowledged());
    }
    CHECK(longest < ackTimeout);
    CHECK(cluster.workers.starts > 1'000);
}

TEST_CASE("a dead owner is replaced although some store calls fail")
{
    JobCluster cluster(2, 1);
    cluster.loop.advance(startupTime);
    cluster.killEntry(cluster.owner());
    for (int i = 0; i < 30 && cluster.owner().empty(); ++i) {
        cluster.store.refusing = true;
        cluster.loop.advance({520});
        cluster.store.refusing = false;
        cluster.loop.advance({1'200});
    }
    CHECK_FALSE(cluster.owner().empty());
}

TEST_CASE("ended jobs are removed as fast as they come")
{
    // A pool with 30 jobs a second kept most of them: 31 were removed every 5 s.
    JobCluster cluster(1, 4);
    cluster.loop.advance(startupTime);
    for (int i = 0; i < 600; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(1, 200, {50})}));
        cluster.loop.advance({33});
    }
    // They are kept for 180 s, and removals start every 5 s.
    cluster.loop.advance({187'000});
    REQUIRE(cluster.accepted.size() == 600);
    const auto kept = std::count_if(cluster.accepted.begin(), cluster.accepted.end(), [&](const auto &it) {
        return !cluster.store.value(progressKey("pool", it)).empty();
    });
    CHECK(kept == 0);
}

TEST_CASE("jobs that expire while the submissions are read again do not run again")
{
    // More submissions than a page holds: the first page is older than the removals, and the read ends after them.
    JobCluster cluster(1, 4);
    cluster.loop.advance(startupTime);
    for (int i = 0; i < 1'100; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(1, 200, {50})}));
        cluster.loop.advance({5});
    }
    cluster.loop.advance({170'000});
    REQUIRE(cluster.accepted.size() == 1'100);
    cluster.store.latency = {400};
    for (int i = 0; i < 60; ++i) {
        cluster.loop.advance({1'700});
        cluster.store.discardHistory();
    }
    CHECK(cluster.workers.starts == 1'100);
    CHECK(cluster.workers.violations.empty());
}

TEST_CASE("ended jobs do not run again after a failed expiry and lost history")
{
    JobCluster cluster(1, 1);
    cluster.loop.advance(startupTime);
    for (int i = 0; i < 5; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(1, 200, {300})}));
    }
    cluster.loop.advance({5'000});
    for (int i = 0; i < 6'000; ++i) {
        cluster.store.refusing = i > 1'500 && i % 10 < 5;
        cluster.loop.advance({100});
    }
    cluster.store.refusing = false;
    cluster.loop.advance(startupTime);
    for (int i = 0; i < 3; ++i) {
        cluster.store.discardHistory();
        cluster.submit("e0", makeJob(jobId(77 + i), {makeStep(1, 200, {300})}));
        cluster.loop.advance({10'000});
    }
    CHECK(cluster.workers.violations.empty());
}
