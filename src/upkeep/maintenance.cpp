// Plans maintenance waves.
#include "upkeep/maintenance.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

/// Share of a pool that is away or being drained at one time: one in this many VMs, at least one.
constexpr int poolDivisor = 3;
/// VMs drained ahead for each one that may be maintained, since emptying takes about as long as maintenance.
constexpr int drainAheadFactor = 2;

static void planWave(const WaveProgress &progress, const FleetView &fleet, std::map<std::string, int> &poolBudget, MaintenancePlan &plan)
{
    const auto &wave = progress.wave;
    int inProgress = static_cast<int>(progress.ordered.size());
    for (const auto &it : wave.vms) {
        const auto listed = fleet.vms.find(it);
        const bool listedInMaintenance = listed != fleet.vms.end() && listed->second.state == VmState::InMaintenance;
        if (!progress.ordered.contains(it) && (listedInMaintenance || fleet.inMaintenance.contains(it))) {
            ++inProgress;
        }
    }
    std::vector<const ListedVm *> candidates;
    bool unfinished = false;
    for (const auto &it : wave.vms) {
        if (progress.done.contains(it)) {
            continue;
        }
        const auto listed = fleet.vms.find(it);
        if (listed == fleet.vms.end()) {
            plan.removed.emplace_back(it, wave.number);
            continue;
        }
        unfinished = true;
        if (progress.ordered.contains(it)) {
            plan.drain.insert(it); // Stays empty until the order is answered.
        } else if (listed->second.state == VmState::Up) {
            candidates.push_back(&listed->second);
        }
    }
    if (!unfinished && progress.ordered.empty() && plan.removed.empty()) {
        plan.completed.push_back(wave.number);
        return;
    }
    // VMs that are empty already come first, then the ones that are being drained.
    std::stable_sort(candidates.begin(), candidates.end(), [&](const ListedVm *a, const ListedVm *b) {
        const auto rank = [&](const ListedVm *vm) {
            return fleet.drained.contains(vm->vm) ? 0 : fleet.draining.contains(vm->vm) ? 1 : 2;
        };
        return rank(a) < rank(b);
    });
    int drainBudget = std::max(wave.maxAtOnce * drainAheadFactor, 1);
    for (const auto *const it : candidates) {
        auto &budget = poolBudget[it->pool];
        if (drainBudget == 0 || (budget <= 0 && !fleet.idlePools.contains(it->pool))) {
            continue;
        }
        --drainBudget;
        --budget;
        plan.drain.insert(it->vm);
        const bool readyForMaintenance =
            fleet.idlePools.contains(it->pool) || (fleet.drained.contains(it->vm) && fleet.draining.contains(it->vm));
        if (readyForMaintenance && inProgress < wave.maxAtOnce) {
            ++inProgress;
            plan.maintain.emplace_back(it->vm, wave.number);
        }
    }
}

MaintenancePlan planMaintenance(const std::vector<WaveProgress> &waves, const FleetView &fleet)
{
    MaintenancePlan plan;
    std::map<std::string, int> poolSize;
    std::map<std::string, int> poolUnavailable;
    for (const auto &[name, vm] : fleet.vms) {
        ++poolSize[vm.pool];
        poolUnavailable[vm.pool] += vm.state == VmState::Up ? 0 : 1;
    }
    std::map<std::string, int> poolBudget;
    for (const auto &[pool, n] : poolSize) {
        poolBudget[pool] = std::max(n / poolDivisor, 1) - poolUnavailable[pool];
    }
    for (const auto &it : waves) {
        if (!it.completed) {
            planWave(it, fleet, poolBudget, plan);
        }
    }
    return plan;
}

} // namespace hibiscusbridge::jobs
