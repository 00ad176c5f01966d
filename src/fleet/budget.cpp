// Availability budgets: whether VMs may be taken out of service now.
#include "fleet/budget.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace hibiscusbridge
{

static std::uint32_t missing(std::uint32_t wanted, std::uint32_t present)
{
    return wanted > present ? wanted - present : 0;
}

static std::vector<std::string> domainsOf(const VmRow &vm, bool withZone)
{
    std::vector<std::string> names{"rack " + vm.rack};
    if (withZone) {
        names.push_back("zone " + vm.zone);
    }
    return names;
}

static std::uint32_t lackingNow(const PoolCount &pool)
{
    return pool.budget.spare ? 0 : missing(pool.budget.minHealthy, pool.healthy + pool.inbound);
}

/// VMs lacking after the failure of a domain that holds `lost` healthy VMs of the pool.
static std::uint32_t lackingAfter(const PoolCount &pool, std::uint32_t lost)
{
    return pool.budget.spare ? 0 : missing(pool.budget.minHealthy + lost, pool.healthy + pool.inbound);
}

static void addLacking(FleetCount &count, const PoolCount &pool)
{
    count.lacking += lackingNow(pool);
    for (const auto &[domain, lost] : pool.domains) {
        count.lackingIn[domain] += lackingAfter(pool, lost) - lackingNow(pool);
    }
}

static void subtractLacking(FleetCount &count, const PoolCount &pool)
{
    count.lacking -= lackingNow(pool);
    for (const auto &[domain, lost] : pool.domains) {
        count.lackingIn[domain] -= lackingAfter(pool, lost) - lackingNow(pool);
    }
}

/// Spares left for a failure of the domain; the failure also takes the spares in it.
static std::uint32_t sparesOutside(const FleetCount &count, const std::string &domain)
{
    const auto it = count.sparesIn.find(domain);
    return missing(count.spares, it == count.sparesIn.end() ? 0 : it->second);
}

std::uint32_t FleetCount::reserve() const
{
    std::uint32_t most = 0;
    for (const auto &[domain, n] : lackingIn) {
        most = std::max(most, n);
    }
    return lacking + most;
}

bool isPlannedOut(const VmRow &vm)
{
    const bool out = vm.state != VmState::Active && vm.state != VmState::Failed;
    return out && !(vm.operation && vm.operation->kind == OperationKind::Repair);
}

static void countVm(FleetCount &count, const VmRow &vm, const FleetHealth &health)
{
    auto &pool = count.pools[vm.pool];
    if (isPlannedOut(vm)) {
        ++pool.planned;
        if (vm.operation && vm.operation->kind == OperationKind::Move && vm.operation->destinationPool != vm.pool) {
            ++count.pools[vm.operation->destinationPool].inbound;
        }
        return;
    }
    if (vm.state != VmState::Active || health.failed.contains(vm.id)) {
        ++pool.failed;
        return;
    }
    ++pool.healthy;
    for (auto &domain : domainsOf(vm, pool.budget.survivesZone)) {
        ++pool.domains[domain];
    }
    if (pool.budget.spare) {
        for (auto &domain : domainsOf(vm, true)) {
            ++count.sparesIn[domain];
        }
    }
}

FleetCount countFleet(const View &view, const FleetHealth &health)
{
    FleetCount count;
    for (const auto &[name, pool] : view.document.pools) {
        count.pools[name].budget = pool;
    }
    for (const auto &[id, vm] : view.document.vms) {
        ++count.pools[vm.pool].declared;
    }
    for (const auto &[id, vm] : view.vms) {
        countVm(count, vm, health);
    }
    for (const auto &[name, pool] : count.pools) {
        addLacking(count, pool);
        count.spares += pool.budget.spare ? missing(pool.healthy, pool.budget.minHealthy) : 0;
    }
    return count;
}

void countRemoval(FleetCount &count, const VmRow &vm, std::string_view destination)
{
    auto &pool = count.pools[vm.pool];
    subtractLacking(count, pool);
    const auto sparesBefore = missing(pool.healthy, pool.budget.minHealthy);
    --pool.healthy;
    ++pool.planned;
    for (const auto &domain : domainsOf(vm, pool.budget.survivesZone)) {
        --pool.domains[domain];
    }
    addLacking(count, pool);
    if (pool.budget.spare) {
        count.spares -= sparesBefore - missing(pool.healthy, pool.budget.minHealthy);
        for (const auto &domain : domainsOf(vm, true)) {
            --count.sparesIn[domain];
        }
    }
    if (!destination.empty() && destination != vm.pool) {
        auto &target = count.pools[std::string(destination)];
        subtractLacking(count, target);
        ++target.inbound;
        addLacking(count, target);
    }
}

/// The part of the rule that spares cannot cover; empty when it holds.
static std::string ownBudgetViolation(const PoolCount &after, const std::string &name)
{
    if (after.planned > after.budget.mayLose) {
        return fmt::format("pool {}: {} VMs would be out for planned work, mayLose is {}", name, after.planned, after.budget.mayLose);
    }
    if (after.healthy < after.budget.minHealthy) {
        return fmt::format("pool {}: {} healthy VMs would remain ({} planned out, {} failed), minHealthy is {}",
                           name,
                           after.healthy,
                           after.planned,
                           after.failed,
                           after.budget.minHealthy);
    }
    return {};
}

/// Checks every single failure that concerns the pool after the removal.
static RemovalDecision checkFailures(const FleetCount &after, const PoolCount &pool, const std::string &name)
{
    RemovalDecision decision{.allowed = true};
    const auto check = [&](const std::string &domain, std::uint32_t lost) {
        const auto needed = after.lacking + (after.lackingIn.contains(domain) ? after.lackingIn.at(domain) : 0);
        const auto available = sparesOutside(after, domain);
        const auto own = lackingAfter(pool, lost);
        decision.usesSpares = decision.usesSpares || own > 0 || pool.budget.spare;
        if (!decision.allowed || needed <= available || (own == 0 && !pool.budget.spare)) {
            return;
        }
        decision.allowed = false;
        decision.reason = fmt::format(
            "pool {}: if {} fails, {} of {} healthy VMs are lost ({} planned out, {} failed, minHealthy {}); all pools together "
            "would then need {} spares and {} are available",
            name,
            domain,
            lost,
            pool.healthy,
            pool.planned,
            pool.failed,
            pool.budget.minHealthy,
            needed,
            available);
    };
    // Fewer spares concern every domain, not only those that hold a spare.
    if (pool.budget.spare) {
        for (const auto &[domain, n] : after.lackingIn) {
            check(domain, n > 0 && pool.domains.contains(domain) ? pool.domains.at(domain) : 0);
        }
        return decision;
    }
    for (const auto &[domain, lost] : pool.domains) {
        check(domain, lost);
    }
    return decision;
}

RemovalDecision decideRemoval(const FleetCount &count, std::span<const VmRow *const> vms)
{
    for (const auto *vm : vms) {
        if (vm->state != VmState::Active || vm->operation) {
            return {.reason = fmt::format("VM {} is {}, only an active VM can be taken out", vm->id, toString(vm->state))};
        }
    }
    // Most refusals need only the pool's own figures; this avoids copying the counts of the whole fleet for them.
    if (vms.size() == 1 && count.pools.contains(vms[0]->pool)) {
        auto pool = count.pools.at(vms[0]->pool);
        pool.healthy -= pool.healthy > 0 ? 1 : 0;
        ++pool.planned;
        if (auto violation = ownBudgetViolation(pool, vms[0]->pool); !violation.empty()) {
            return {.reason = std::move(violation)};
        }
    }
    auto after = count;
    std::set<std::string> touched;
    for (const auto *vm : vms) {
        if (after.pools[vm->pool].healthy == 0) {
            return {.reason = fmt::format("pool {}: no healthy VM is left", vm->pool)};
        }
        countRemoval(after, *vm);
        touched.insert(vm->pool);
    }
    RemovalDecision decision{.allowed = true};
    for (const auto &name : touched) {
        const auto &pool = after.pools.at(name);
        if (auto violation = ownBudgetViolation(pool, name); !violation.empty()) {
            return {.reason = std::move(violation)};
        }
        auto part = checkFailures(after, pool, name);
        if (!part.allowed) {
            return part;
        }
        decision.usesSpares = decision.usesSpares || part.usesSpares;
    }
    return decision;
}

RemovalDecision decideSpareMove(const FleetCount &count, const VmRow &spare)
{
    const auto it = count.pools.find(spare.pool);
    if (it == count.pools.end() || !it->second.budget.spare || spare.state != VmState::Active || spare.operation) {
        return {.reason = fmt::format("VM {} is not an active spare", spare.id)};
    }
    auto after = it->second;
    if (after.healthy == 0) {
        return {.reason = fmt::format("pool {}: no healthy VM is left", spare.pool)};
    }
    --after.healthy;
    ++after.planned;
    auto violation = ownBudgetViolation(after, spare.pool);
    const bool allowed = violation.empty();
    return {.allowed = allowed, .usesSpares = true, .reason = std::move(violation)};
}

RemovalDecision removalDecision(const View &view, std::span<const std::string> vms, const FleetHealth &health)
{
    std::vector<const VmRow *> rows;
    for (const auto &id : std::set<std::string>(vms.begin(), vms.end())) {
        const auto it = view.vms.find(id);
        if (it == view.vms.end()) {
            return {.reason = fmt::format("VM {} has no row", id)};
        }
        if (health.failed.contains(id)) {
            return {.reason = fmt::format("VM {} is reported as failed; repair comes first", id)};
        }
        rows.push_back(&it->second);
    }
    return decideRemoval(countFleet(view, health), rows);
}

} // namespace hibiscusbridge
