// Plans moves of VMs between pools.
#include "upkeep/moves.hpp"

#include <algorithm>
#include <cstdlib>

namespace hibiscusbridge::jobs
{

static std::int64_t averageVmCpu(const PoolDemand &pool)
{
    std::int64_t sum = 0;
    for (const auto &[vm, use] : pool.report.vms) {
        sum += use.capacityCpu;
    }
    return pool.report.vms.empty() ? pool.vmCpu : sum / static_cast<std::int64_t>(pool.report.vms.size());
}

/// VMs for the CPU given in thousandths of a core, but at least those that the spread of long-running subtasks requires.
static int vmsFor(const PoolDemand &pool, std::int64_t cpu, std::int64_t vmCpu, const MoveSettings &settings)
{
    const int minimum = pool.report.longRunningVms + settings.spareVms;
    const int vms = vmCpu > 0 ? static_cast<int>((cpu + vmCpu - 1) / vmCpu) : 0;
    return std::max(vms, minimum) + pool.report.longRunningWaiting;
}

/// VMs that the pool needs whatever else the fleet needs: those of its long-running subtasks.
static int minimumVms(const PoolDemand &pool, const MoveSettings &settings)
{
    return vmsFor(pool, pool.report.longRunningCpu, averageVmCpu(pool), settings);
}

/// CPU for the work that still has value, in thousandths of a core.
static std::int64_t neededCpu(const PoolDemand &pool, const MoveSettings &settings)
{
    const auto rise = std::max<std::int64_t>(pool.report.arrivingCpu - pool.report.previousArrivingCpu, 0);
    const auto arriving = pool.report.arrivingCpu + rise * settings.trendPercent / 100;
    const auto backlog = pool.report.urgentCpu + pool.report.lateBacklog * 1000 / settings.lateBacklogDrainMs;
    const auto work = std::max({arriving, backlog, pool.expectedCpu});
    return pool.report.longRunningCpu + work * (100 + settings.headroomPercent) / 100;
}

int neededVms(const PoolDemand &pool, const MoveSettings &settings)
{
    return vmsFor(pool, neededCpu(pool, settings), averageVmCpu(pool), settings);
}

static int vmCount(const PoolDemand &pool)
{
    return static_cast<int>(pool.report.vms.size()) + pool.arriving;
}

int wantedVms(const PoolDemand &pool, const MoveSettings &settings)
{
    const auto vmCpu = averageVmCpu(pool);
    const auto needed = neededCpu(pool, settings);
    const auto usable = pool.report.expiredRunnableCpu;
    const auto drain = std::min(pool.report.expiredBacklog * 1000 / settings.expiredBacklogDrainMs, usable);
    const int useful = vmsFor(pool, needed + usable, vmCpu, settings);
    return std::max(vmsFor(pool, needed + drain, vmCpu, settings), std::min(vmCount(pool), useful));
}

std::map<std::string, int> divideVms(const FleetDemand &fleet, const MoveSettings &settings)
{
    int supply = 0;
    for (const auto &[pool, vms] : fleet.standby) {
        supply += static_cast<int>(vms.size());
    }
    int minimum = 0;
    int needed = 0;
    int expired = 0;
    for (const auto &[name, pool] : fleet.pools) {
        supply += vmCount(pool);
        minimum += minimumVms(pool, settings);
        needed += neededVms(pool, settings);
        expired += wantedVms(pool, settings) - neededVms(pool, settings);
    }
    const int left = std::clamp(supply - needed, 0, expired);
    std::map<std::string, int> shares;
    for (const auto &[name, pool] : fleet.pools) {
        const int need = neededVms(pool, settings);
        const int least = minimumVms(pool, settings);
        const bool scarce = needed > supply && needed > minimum;
        const int above = scarce ? std::max(supply - minimum, 0) * (need - least) / (needed - minimum) : need - least;
        const int forExpired = wantedVms(pool, settings) - need;
        shares[name] = least + above + (expired > 0 ? left * forExpired / expired : 0);
    }
    return shares;
}

namespace
{

struct Balance {
    std::string pool;
    /// VMs above the need; negative for a deficit.
    int surplus = 0;
    /// VMs missing for work that still has value; part of the deficit.
    int urgentDeficit = 0;
    /// Part of the surplus that also exceeds the average need; only these VMs return to standby pools.
    int surplusOverAverage = 0;
    bool sustainedSurplus = false;
    /// VMs that may be moved, ordered by number of runs.
    std::vector<std::string> movable;
};

std::vector<std::string> movableVms(const PoolReport &report, const std::set<std::string> &pinned)
{
    std::vector<std::pair<int, std::string>> vms;
    for (const auto &[vm, use] : report.vms) {
        if (use.longRunning == 0 && !pinned.contains(vm)) {
            vms.emplace_back(use.runs, vm);
        }
    }
    std::sort(vms.begin(), vms.end());
    std::vector<std::string> names;
    names.reserve(vms.size());
    for (auto &[runs, vm] : vms) {
        names.push_back(std::move(vm));
    }
    return names;
}

} // namespace

std::vector<VmMove> planMoves(const FleetDemand &fleet, const MoveSettings &settings)
{
    const auto shares = divideVms(fleet, settings);
    std::vector<Balance> balances;
    balances.reserve(fleet.pools.size());
    for (const auto &[name, pool] : fleet.pools) {
        const int have = vmCount(pool);
        // Small differences from the share are not worth the time that a VM is out of service while it moves.
        const int share = shares.at(name);
        const int slack = share < wantedVms(pool, settings) ? share * settings.scarcitySlackPercent / 100 : 0;
        const int difference = have - share;
        const int surplus = std::abs(difference) > slack ? difference : 0;
        balances.push_back({name,
                            surplus,
                            std::min(neededVms(pool, settings) - have, -surplus),
                            std::min(surplus, have - pool.averageVms),
                            pool.sustainedSurplus,
                            movableVms(pool.report, fleet.pinned)});
    }
    std::vector<std::pair<std::string, std::string>> standby; // pool, VM
    for (const auto &[pool, vms] : fleet.standby) {
        for (const auto &vm : vms) {
            if (!fleet.pinned.contains(vm)) {
                standby.emplace_back(pool, vm);
            }
        }
    }
    std::vector<VmMove> moves;
    const auto isFull = [&] {
        return static_cast<int>(moves.size()) >= settings.maxMoves;
    };
    // Prefers a VM that is already draining for the same pool, so that the plan does not oscillate.
    const auto takeVm = [&](std::vector<std::string> &movable, const std::string &to) {
        for (const auto &it : fleet.planned) {
            const auto found = std::find(movable.begin(), movable.end(), it.vm);
            if (it.to == to && found != movable.end()) {
                std::string vm = *found;
                movable.erase(found);
                return vm;
            }
        }
        std::string vm = movable.front();
        movable.erase(movable.begin());
        return vm;
    };
    std::sort(balances.begin(), balances.end(), [](const Balance &a, const Balance &b) { return a.surplus < b.surplus; });
    // Returns false if there is no VM for the pool.
    const auto addVm = [&](Balance &deficient) {
        if (!standby.empty()) {
            moves.push_back({standby.back().second, standby.back().first, deficient.pool});
            standby.pop_back();
        } else {
            auto donor = std::max_element(balances.begin(), balances.end(), [](const Balance &a, const Balance &b) {
                return std::make_pair(!a.movable.empty(), a.surplus) < std::make_pair(!b.movable.empty(), b.surplus);
            });
            if (donor->surplus <= 0 || donor->movable.empty()) {
                return false;
            }
            moves.push_back({takeVm(donor->movable, deficient.pool), donor->pool, deficient.pool});
            --donor->surplus;
            --donor->surplusOverAverage;
        }
        ++deficient.surplus;
        --deficient.urgentDeficit;
        return true;
    };
    for (auto &it : balances) {
        while (it.urgentDeficit > 0 && !isFull() && addVm(it)) { }
    }
    for (auto &it : balances) {
        while (it.surplus < 0 && !isFull() && addVm(it)) { }
    }
    const auto standbyPool = fleet.standby.begin();
    for (auto &it : balances) {
        while (standbyPool != fleet.standby.end() && it.sustainedSurplus && it.surplus > 0 && it.surplusOverAverage > 0
               && !it.movable.empty() && !isFull()) {
            moves.push_back({takeVm(it.movable, standbyPool->first), it.pool, standbyPool->first});
            --it.surplus;
            --it.surplusOverAverage;
        }
    }
    return moves;
}

} // namespace hibiscusbridge::jobs
