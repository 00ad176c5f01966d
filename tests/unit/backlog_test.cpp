// Closed loop of pool reports, move plans and VMs that work off a backlog.
#include "jobs/codec.hpp"
#include "scheduling/order.hpp"
#include "scheduling/pool.hpp"
#include "upkeep/moves.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis step{150};
constexpr Millis moveTime{2'000};
constexpr std::int64_t vmCpu = 32'000;

JobSpec wideJob(int number, Millis acceptedAt)
{
    JobSpec spec{.id = "job" + std::to_string(number), .route = "route", .acceptedAt = acceptedAt};
    spec.steps = {{.count = 12, .need = {3'500, 100, 0}, .estimate = {1'000}}};
    return spec;
}

/// Report of a pool with jobs that were accepted `age` ago.
PoolReport reportOf(int jobs, int vms, Millis age)
{
    const Millis now{100'000};
    Pool pool("pool", 7, {});
    std::vector<WorkerRegistration> entries;
    for (int i = 0; i < vms; ++i) {
        const auto id = "w" + std::to_string(i);
        entries.push_back({.id = id, .service = "pool", .address = id, .vm = id, .incarnationStart = 5, .capacity = {vmCpu, 64'000, 0}});
    }
    pool.setWorkers(entries, now);
    for (const auto &it : entries) {
        const RenewResult list{.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .incarnationStart = 5};
        pool.onHold(it.id, pool.fenceAt(it.id), list, now, now, now);
    }
    for (int i = 0; i < jobs; ++i) {
        const auto spec = wideJob(i, now - age);
        pool.addJob(spec, emptyRecord(spec), now, now);
    }
    return pool.report(now);
}

/// A pool with a backlog, an idle pool and a standby pool. The VMs of the backlog's pool are always at work.
struct Fleet {
    int vms = 0;
    int idleVms = 0;
    int standbyVms = 0;
    std::vector<Millis> arrivals;

    FleetDemand demand(const PoolReport &report) const
    {
        FleetDemand fleet;
        fleet.pools["busy"] = {.report = report, .arriving = static_cast<int>(arrivals.size()), .vmCpu = vmCpu, .sustainedSurplus = true};
        fleet.pools["idle"] = {.vmCpu = vmCpu};
        for (int i = 0; i < idleVms; ++i) {
            fleet.pools["idle"].report.vms["i" + std::to_string(i)] = {.capacityCpu = vmCpu};
        }
        fleet.standby["standby"] = {};
        for (int i = 0; i < standbyVms; ++i) {
            fleet.standby["standby"].push_back("s" + std::to_string(i));
        }
        return fleet;
    }

    int &countOf(const std::string &pool)
    {
        return pool == "busy" ? vms : pool == "idle" ? idleVms : standbyVms;
    }

    void apply(const std::vector<VmMove> &moves, Millis now)
    {
        for (const auto &it : moves) {
            --countOf(it.from);
            if (it.to == "busy") {
                arrivals.push_back(now + moveTime);
            } else {
                ++countOf(it.to);
            }
        }
        vms += static_cast<int>(std::erase_if(arrivals, [now](const Millis &at) { return at <= now; }));
    }
};

/// Time until all jobs are completed, or `limit`.
Millis timeToComplete(Fleet fleet, int jobs, Millis age, Millis limit)
{
    const auto workOfJob = estimatedWork(wideJob(0, {})) * 1'000;
    auto work = jobs * workOfJob;
    Millis now;
    for (; work > 0 && now < limit; now += step) {
        const auto open = static_cast<int>((work + workOfJob - 1) / workOfJob);
        fleet.apply(planMoves(fleet.demand(reportOf(open, fleet.vms, age + now)), {}), now);
        work -= fleet.vms * vmCpu * step.count;
    }
    return now;
}

} // namespace

TEST_CASE("accepted jobs that have lost their value are completed while VMs of other pools are idle or on standby")
{
    const Millis limit{20'000};
    CHECK(timeToComplete({.vms = 4, .standbyVms = 60}, 300, {30'000}, limit).count < limit.count);
    CHECK(timeToComplete({.vms = 4, .idleVms = 60}, 300, {30'000}, limit).count < limit.count);
}

TEST_CASE("a pool returns no VM to standby that its expired jobs can use")
{
    const auto moves = planMoves(Fleet{.vms = 20}.demand(reportOf(40, 20, {30'000})), {});
    CHECK(moves.empty());
}
