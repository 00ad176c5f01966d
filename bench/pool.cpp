// Cost of the scheduler of one pool: a simulated day's load without I/O, in steps of one scheduling pass.
#include "scheduling/pool.hpp"
#include "helpers/log.hpp"

#include <benchmark/benchmark.h>
#include <cstdio>
#include <random>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis start{100'000};
constexpr std::int64_t incarnation = 5;
constexpr Millis runTime{800};
/// Time between two passes: 3 ms and one more for 25 workers, as in the pool owner.
constexpr std::int64_t passDelayMs = 3;
constexpr std::int64_t workersPerDelayMs = 25;
constexpr std::size_t rowsPerCommit = 48;

/// A pool whose workers execute all orders and end each run after its time.
struct LoadedPool {
    Pool pool{"pool", 7, {}};
    Millis now = start;
    std::vector<WorkerRegistration> entries;
    std::map<std::string, RenewResult> lists;
    std::multimap<Millis, std::pair<std::string, RunReport>> ends;
    std::mt19937 random{1};
    int jobs = 0;
    std::int64_t starts = 0;
    std::int64_t renewals = 0;

    explicit LoadedPool(int workers)
    {
        for (int i = 0; i < workers; ++i) {
            const auto id = "i-" + std::to_string(100'000 + i);
            entries.push_back({.id = id, .service = "pool", .address = "10.0.0.1:1", .vm = "m-" + id, .incarnationStart = incarnation});
            entries.back().capacity = {32'000, 64'000, 0};
            entries.back().labels = {"a", "r" + std::to_string(i / 20)};
            lists[id].outcome = OrderOutcome::Accepted;
            lists[id].incarnationStart = incarnation;
        }
        pool.setWorkers(entries, now);
        for (const auto &it : entries) {
            renew(it.id);
        }
    }

    void renew(const std::string &id)
    {
        auto &list = lists[id];
        list.workerClock = {now.count - 99'000};
        pool.onHoldSent(id, now);
        pool.onHold(id, pool.fenceAt(id), list, now, now, now);
        list.ended.clear();
        ++renewals;
    }

    void addJob()
    {
        char id[17];
        std::snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(++jobs));
        JobSpec spec{.id = id, .route = "route", .payload = std::string(300, 'x')};
        spec.policy = {.maxAttempts = 4, .stretch = 1.6, .latencyTarget = {600}};
        spec.steps = {{.count = 8, .need = {4'500, 4'600, 0}, .estimate = runTime},
                      {.count = 8, .need = {4'500, 4'600, 0}, .estimate = runTime}};
        spec.steps[1].after = {0};
        spec.acceptedAt = now;
        pool.addJob(spec, std::nullopt, now, now);
    }

    /// One pass of the owner after `elapsed`.
    void step(Millis elapsed, double jobsPerSecond)
    {
        now += elapsed;
        std::poisson_distribution<int> arrivals(jobsPerSecond * static_cast<double>(elapsed.count) / 1'000);
        for (int n = arrivals(random); n > 0; --n) {
            addJob();
        }
        std::set<std::string> changed;
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto &[id, run] = ends.begin()->second;
            auto &list = lists[id];
            std::erase_if(list.running, [&run = run](const RunReport &it) { return it.subtask == run.subtask; });
            list.ended.push_back({.number = ++m_endNumbers[id], .subtask = run.subtask, .run = run.run, .end = RunEnd::Done});
            changed.insert(id);
            ends.erase(ends.begin());
        }
        for (const auto &id : changed) {
            renew(id);
        }
        pool.schedule(now, now, true);
        benchmark::DoNotOptimize(pool.dueOrders(now));
        while (pool.hasUnsavedChanges()) {
            benchmark::DoNotOptimize(pool.takeRecords(rowsPerCommit));
            for (const auto &it : pool.onRecordsCommitted(now).starts) {
                ++starts;
                pool.onStart(it, {.outcome = OrderOutcome::Accepted, .workerClock = {now.count - 99'000}}, now);
                const RunReport run{.subtask = it.subtask, .run = it.run, .progressPercent = 10};
                lists[it.worker.id].running.push_back(run);
                ends.emplace(now + runTime, std::make_pair(it.worker.id, run));
            }
        }
    }

private:
    std::map<std::string, std::int64_t> m_endNumbers;
};

} // namespace

/// Arguments: workers, and jobs a second in percent of what the workers can run.
static void passes(benchmark::State &state)
{
    const auto workers = static_cast<int>(state.range(0));
    LoadedPool load(workers);
    const Millis elapsed{passDelayMs + workers / workersPerDelayMs};
    // A worker of 32 cores runs 7 subtasks of 4.5 cores at a time, and a job has 16.
    const double jobsPerSecond = workers * 7 / 0.8 / 16 * static_cast<double>(state.range(1)) / 100;
    for (int i = 0; i < 2'000 / elapsed.count; ++i) {
        load.step(elapsed, jobsPerSecond);
    }
    const auto startsBefore = load.starts;
    const auto from = load.now;
    while (state.KeepRunning()) {
        load.step(elapsed, jobsPerSecond);
    }
    const auto seconds = static_cast<double>((load.now - from).count) / 1'000;
    state.counters["starts/s"] = static_cast<double>(load.starts - startsBefore) / seconds;
    // Processor time of the scheduler for one second of the pool.
    state.counters["core"] = benchmark::Counter(seconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    state.counters["us/start"] = benchmark::Counter(static_cast<double>(load.starts - startsBefore) / 1e6,
                                                    benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(passes)->ArgsProduct({{30, 60, 150, 500}, {30, 90, 150}})->Iterations(400)->Unit(benchmark::kMicrosecond);

int main(int argc, char **argv)
{
    setupLog("error", "bench");
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
}
