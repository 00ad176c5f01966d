// What a pool sends to a worker that gets more orders than its connections carry at a time.
#include "scheduling/pool.hpp"
#include "unit/jobcluster.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <set>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr int manySubtasks = 1'000;

/// A pool with one worker that has room for thousands of small subtasks.
struct WideWorker {
    Pool pool{"pool", 7, {}};
    Millis now{100'000};
    RenewResult list{.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .incarnationStart = 5};

    WideWorker()
    {
        pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .incarnationStart = 5, .capacity = {32'000, 65'536, 0}}}, now);
        pool.onHold("w", pool.fenceAt("w"), list, now, now, now);
    }

    void add(const std::string &id, int subtasks, bool gang = false, int priority = 0)
    {
        JobSpec spec = makeJob(id, {makeStep(subtasks, 10, {4'000})});
        spec.steps[0].need.memoryMb = 10;
        spec.steps[0].gang = gang;
        spec.policy.priority = priority;
        pool.addJob(spec, std::nullopt, now, now);
    }

    /// Places and records all that fits. Returns the starts to send.
    std::vector<StartOrder> place()
    {
        pool.schedule(now, now, true);
        pool.takeRecords(1'000);
        return pool.onRecordsCommitted(now).starts;
    }

    void accept(std::span<const StartOrder> starts)
    {
        for (const auto &it : starts) {
            pool.onStart(it, {.outcome = OrderOutcome::Accepted, .workerClock = {1'000}}, now);
        }
    }
};

int countOf(std::span<const StartOrder> starts, const std::string &job)
{
    return static_cast<int>(std::count_if(starts.begin(), starts.end(), [&](const auto &it) { return it.subtask.job == job; }));
}

} // namespace

TEST_CASE("a small job does not wait for all starts of a large one on the same worker")
{
    // Guards against thousands of orders that wait for the few connections of a worker.
    WideWorker test;
    test.add(jobId(1), manySubtasks);
    auto starts = test.place();
    CHECK_FALSE(starts.empty());
    CHECK(starts.size() < 100);
    CHECK(test.pool.hasOrdersHeldBack());
    test.add(jobId(2), 5);
    CHECK(test.place().empty());
    test.accept(starts);
    starts = test.pool.dueOrders(test.now).starts;
    CHECK(countOf(starts, jobId(2)) == 5);
    int started = countOf(starts, jobId(1));
    while (!starts.empty()) {
        test.accept(starts);
        starts = test.pool.dueOrders(test.now).starts;
        started += countOf(starts, jobId(1));
    }
    CHECK(test.pool.load(test.now).runs == manySubtasks + 5);
    CHECK_FALSE(test.pool.hasOrdersHeldBack());
    CHECK(started > manySubtasks / 2);
}

TEST_CASE("starts of a more urgent queue go before others that wait, and a gang goes whole")
{
    const bool gang = GENERATE(false, true);
    CAPTURE(gang);
    WideWorker test;
    test.add(jobId(1), manySubtasks, false, 1);
    const auto first = test.place();
    test.add(jobId(2), 20, gang, gang ? 2 : 0);
    test.place();
    test.accept(first);
    const auto starts = test.pool.dueOrders(test.now).starts;
    REQUIRE(starts.size() > 20);
    CHECK(countOf(std::span(starts).first(20), jobId(2)) == 20);
}

TEST_CASE("a cancelled job sends neither starts nor stops for subtasks that were never sent")
{
    WideWorker test;
    test.add(jobId(1), manySubtasks);
    const auto sent = test.place();
    test.accept(sent);
    test.pool.cancelJob(jobId(1), test.now, test.now);
    std::set<int> stopped;
    for (int i = 0; i < 100; ++i) {
        const auto orders = test.pool.dueOrders(test.now);
        CHECK(orders.starts.empty());
        for (const auto &it : orders.stops) {
            stopped.insert(it.subtask.index);
            test.pool.onStop(it, {.outcome = OrderOutcome::Accepted, .workerClock = {1'000}}, test.now);
        }
    }
    CHECK(stopped.size() == sent.size());
    CHECK(test.pool.load(test.now).runs == static_cast<int>(sent.size()));
}

TEST_CASE("paces that the worker refuses and runs that the pool does not know leave room for starts and renewals")
{
    WideWorker test;
    auto filler = makeJob(jobId(1), {makeStep(100, 10, {60'000})});
    filler.steps[0].usesSpareCpu = true;
    test.pool.addJob(filler, std::nullopt, test.now, test.now);
    auto serving = makeJob(jobId(2), {makeStep(1, 10, {60'000})});
    serving.steps[0].longRunning = true;
    serving.steps[0].tailLatencyTarget = {100};
    test.pool.addJob(serving, std::nullopt, test.now, test.now);
    for (auto starts = test.place(); !starts.empty(); starts = test.pool.dueOrders(test.now).starts) {
        test.accept(starts);
        for (const auto &it : starts) {
            test.list.running.push_back({.subtask = it.subtask, .run = it.run, .progressPercent = 100, .metric = 500});
        }
    }
    REQUIRE(test.list.running.size() == 101);
    for (int i = 0; i < 300; ++i) {
        test.list.running.push_back({.subtask = {jobId(3), 0, 0, i}, .run = 1});
    }
    test.pool.onHold("w", test.pool.fenceAt("w"), test.list, test.now, test.now, test.now);
    test.now += Millis{1'500};
    test.pool.schedule(test.now, test.now, true);
    std::size_t stops = 0;
    for (int i = 0; i < 5; ++i) {
        const auto orders = test.pool.dueOrders(test.now);
        CHECK_FALSE(orders.paces.empty());
        CHECK(orders.paces.size() < 32);
        stops += orders.stops.size();
        for (const auto &it : orders.paces) {
            test.pool.onPace(it, {.outcome = OrderOutcome::Unhealthy});
        }
    }
    CHECK(stops < 256);
}

TEST_CASE("an order that got no connection does not count as an attempt")
{
    // Otherwise a later refusal would be taken for one of a run that may be on the worker, which then waits for two lists.
    WideWorker test;
    test.add(jobId(1), 1);
    auto starts = test.place();
    REQUIRE(starts.size() == 1);
    test.pool.onStart(starts[0], {.outcome = OrderOutcome::NotSent}, test.now);
    test.now += Millis{500};
    starts = test.pool.dueOrders(test.now).starts;
    REQUIRE(starts.size() == 1);
    test.pool.onStart(starts[0], {.outcome = OrderOutcome::NoCapacity}, test.now);
    CHECK(test.pool.load(test.now).runs == 0);
}

TEST_CASE("the orders to a worker with thousands of runs are found in time that grows with their number")
{
    // Guards against an owner that stands still: looking through all runs of a worker for each run that it lists, or for each start,
    // takes time that grows with the square of their number.
    const auto timeFor = [](int subtasks) {
        WideWorker test;
        test.add(jobId(1), subtasks);
        for (auto starts = test.place(); !starts.empty(); starts = test.pool.dueOrders(test.now).starts) {
            for (const auto &it : starts) {
                CHECK(test.pool.mayStillSend(it));
                test.list.running.push_back({.subtask = it.subtask, .run = it.run});
            }
            test.accept(starts);
        }
        REQUIRE(static_cast<int>(test.list.running.size()) == subtasks);
        const auto begin = std::clock();
        for (int i = 0; i < 20; ++i) {
            test.pool.onHold("w", test.pool.fenceAt("w"), test.list, test.now, test.now, test.now);
        }
        return std::clock() - begin;
    };
    // 8 times the runs take 64 times as long with a search for each.
    const auto few = timeFor(400);
    const auto many = timeFor(3'200);
    CHECK(many < few * 30);
}
