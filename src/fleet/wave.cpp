// Maintenance waves: which VMs to take out next.
#include "fleet/wave.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <tuple>

namespace hibiscusbridge
{

static bool inWave(const Wave &wave, std::string_view pool)
{
    return wave.pools.empty() || std::ranges::find(wave.pools, pool) != wave.pools.end();
}

static std::string failureHoldingUp(const FleetCount &count, const Wave &wave)
{
    for (const auto &[name, pool] : count.pools) {
        const auto present = pool.healthy + pool.planned + pool.inbound;
        if (pool.failed > 0 && present < pool.declared && inWave(wave, name)) {
            return fmt::format(
                "pool {}: {} failed VMs are not replaced yet ({} of {} VMs present)", name, pool.failed, present, pool.declared);
        }
    }
    return {};
}

/// Work still to do in each pool and VMs out in each rack; both decide the order.
struct WaveProgress {
    std::map<std::string, std::uint32_t, std::less<>> remaining;
    std::map<std::string, std::uint32_t, std::less<>> outInRack;
    std::uint32_t out = 0;
};

static std::vector<const VmRow *> candidatesOf(const View &view, const Wave &wave, WaveProgress &progress)
{
    std::vector<const VmRow *> candidates;
    for (const auto &[id, vm] : view.vms) {
        if (vm.state != VmState::Active) {
            ++progress.outInRack[vm.rack];
        }
        if (vm.operation && vm.operation->wave == wave.id) {
            ++progress.out;
        }
        if (vm.state == VmState::Active && inWave(wave, vm.pool) && vm.maintainedAt < wave.startedAt && view.document.vms.contains(id)) {
            candidates.push_back(&vm);
            ++progress.remaining[vm.pool];
        }
    }
    return candidates;
}

/// The pool with the most rounds left first, as it decides the roll-out time. Racks with VMs out come before others: a
/// rack that is partly out can lose fewer VMs to a failure, so the removal needs fewer spares.
static void sortCandidates(std::vector<const VmRow *> &candidates, const FleetCount &count, const WaveProgress &progress)
{
    const auto rank = [&](const VmRow *vm) {
        const auto &pool = count.pools.at(vm->pool);
        const auto rounds = progress.remaining.at(vm->pool) / std::max(1U, pool.budget.mayLose);
        const auto it = progress.outInRack.find(vm->rack);
        const bool rackStarted = it != progress.outInRack.end() && it->second > 0;
        return std::tuple(!rackStarted, -static_cast<std::int64_t>(rounds), vm->rack, vm->id);
    };
    std::ranges::stable_sort(candidates, {}, rank);
}

const VmRow *findSpare(const View &view, const FleetCount &count, const FleetHealth &health, std::string_view pool)
{
    std::set<std::string> racks;
    for (const auto &[id, vm] : view.vms) {
        if (vm.pool == pool) {
            racks.insert(vm.rack);
        }
    }
    const VmRow *best = nullptr;
    for (const auto &[id, vm] : view.vms) {
        if (vm.pool == pool || health.failed.contains(id) || !decideSpareMove(count, vm).allowed) {
            continue;
        }
        if (!best || (racks.contains(best->rack) && !racks.contains(vm.rack))) {
            best = &vm;
        }
    }
    return best;
}

/// Whether a spare helps: the pool is at minHealthy, and either nothing of it is out or time counts more than the move.
static bool worthASpare(const PoolCount &pool, const Weights &weights)
{
    if (pool.budget.spare || pool.inbound > 0 || pool.planned >= pool.budget.mayLose || pool.healthy > pool.budget.minHealthy) {
        return false;
    }
    return pool.planned == 0 || weights.rollOutTime > weights.moves + weights.bufferCost;
}

/// The first spare that serves another pool and may leave it.
static std::vector<SpareMove> spareToRestore(const View &view, const FleetCount &count, const FleetHealth &health)
{
    for (const auto &[id, vm] : view.vms) {
        const auto home = count.pools.find(vm.declaredPool);
        const bool borrowed = home != count.pools.end() && home->second.budget.spare && vm.declaredPool != vm.pool;
        const auto *row = &vm;
        if (borrowed && !health.failed.contains(id) && decideRemoval(count, std::span(&row, 1)).allowed) {
            return {{id, vm.declaredPool}};
        }
    }
    return {};
}

WavePlan planWave(const View &view, const Wave &wave, const FleetHealth &health, Millis now)
{
    WavePlan plan;
    WaveProgress progress;
    auto count = countFleet(view, health);
    auto candidates = candidatesOf(view, wave, progress);
    plan.finished = candidates.empty() && progress.out == 0;
    plan.pausedBecause = failureHoldingUp(count, wave);
    if (plan.pausedBecause.empty() && wave.state != WaveState::Running) {
        plan.pausedBecause = fmt::format("wave {} is {}", wave.id, toString(wave.state));
    }
    if (plan.pausedBecause.empty() && now < wave.startedAt) {
        plan.pausedBecause = fmt::format("wave {} starts in {} s", wave.id, (wave.startedAt - now).count / 1000);
    }
    sortCandidates(candidates, count, progress);
    const auto &weights = view.document.weights;
    for (const auto *vm : candidates) {
        if (std::ranges::find(plan.bringIn, vm->id, &SpareMove::vm) != plan.bringIn.end()) {
            plan.waiting.push_back({vm->id, "joins another pool as a spare first"});
            continue;
        }
        if (!plan.pausedBecause.empty() || health.failed.contains(vm->id)) {
            plan.waiting.push_back({vm->id, plan.pausedBecause.empty() ? "reported as failed; repair comes first" : plan.pausedBecause});
            continue;
        }
        const auto decision = decideRemoval(count, std::span(&vm, 1));
        if (!decision.allowed) {
            plan.waiting.push_back({vm->id, decision.reason});
            const auto &pool = count.pools.at(vm->pool);
            const auto *spare = worthASpare(pool, weights) ? findSpare(view, count, health, vm->pool) : nullptr;
            const bool unused = spare && std::ranges::find(plan.remove, spare->id) == plan.remove.end()
                                && std::ranges::find(plan.bringIn, spare->id, &SpareMove::vm) == plan.bringIn.end();
            if (unused) {
                plan.bringIn.push_back({spare->id, vm->pool});
                countRemoval(count, *spare, vm->pool);
            }
            continue;
        }
        auto after = count;
        countRemoval(after, *vm);
        const auto added = after.reserve() > count.reserve() ? after.reserve() - count.reserve() : 0;
        const bool first = progress.out + plan.remove.size() == 0;
        if (!first && added * weights.bufferCost > weights.rollOutTime) {
            plan.waiting.push_back({vm->id,
                                    fmt::format("pool {}: would reserve {} more spares ({} now); bufferCost {} outweighs rollOutTime {}",
                                                vm->pool,
                                                added,
                                                count.reserve(),
                                                weights.bufferCost,
                                                weights.rollOutTime)});
            continue;
        }
        plan.remove.push_back(vm->id);
        count = std::move(after);
    }
    const bool stuck = plan.pausedBecause.empty() && !plan.waiting.empty() && plan.remove.empty() && plan.bringIn.empty();
    const bool quiet = std::ranges::none_of(count.pools, [](const auto &it) { return it.second.planned > 0; });
    if (stuck && quiet) {
        plan.restore = spareToRestore(view, count, health);
    }
    return plan;
}

} // namespace hibiscusbridge
