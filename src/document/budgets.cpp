// Checks that the declared VMs can satisfy the pools' availability budgets.
#include "document/budgets.hpp"

namespace hibiscusbridge
{

using Counts = std::map<std::string, std::uint64_t, std::less<>>;

/// VMs that fail together: those of one rack or one zone.
struct FailureDomain {
    Counts vmsByPool;
    std::uint64_t spares = 0;
};

using FailureDomains = std::map<std::string, FailureDomain, std::less<>>;

/// The failure that leaves a pool furthest below its budget.
struct WorstFailure {
    std::string domain;
    std::uint64_t left = 0;
    /// VMs missing in all affected pools together.
    std::uint64_t missing = 0;
    std::uint64_t spares = 0;
};

static bool isSpare(const Document &document, const std::string &pool)
{
    const auto it = document.pools.find(pool);
    return it != document.pools.end() && it->second.spare;
}

static std::uint64_t countOf(const Counts &counts, const std::string &pool)
{
    const auto it = counts.find(pool);
    return it == counts.end() ? 0 : it->second;
}

static FailureDomains groupVms(const Document &document, bool byZone)
{
    FailureDomains domains;
    for (const auto &[id, vm] : document.vms) {
        auto &domain = domains[byZone ? "zone " + vm.zone : "rack " + vm.rack + " of zone " + vm.zone];
        ++domain.vmsByPool[vm.pool];
        domain.spares += isSpare(document, vm.pool) ? 1 : 0;
    }
    return domains;
}

/// Finds, per pool, the worst failure that the remaining spares cannot compensate.
static std::map<std::string, WorstFailure> worstFailures(const Document &document, const Counts &total, bool byZone)
{
    std::uint64_t allSpares = 0;
    for (const auto &[pool, n] : total) {
        allSpares += isSpare(document, pool) ? n : 0;
    }
    std::map<std::string, WorstFailure> worst;
    for (const auto &[name, domain] : groupVms(document, byZone)) {
        const auto spares = allSpares - domain.spares;
        std::uint64_t missing = 0;
        std::map<std::string, std::uint64_t> leftByPool;
        for (const auto &[poolName, lost] : domain.vmsByPool) {
            const auto it = document.pools.find(poolName);
            if (it == document.pools.end() || it->second.spare || it->second.survivesZone != byZone) {
                continue;
            }
            const auto left = countOf(total, poolName) - lost;
            // A pool that is below minHealthy without any failure is reported separately.
            if (left < it->second.minHealthy && countOf(total, poolName) >= it->second.minHealthy) {
                missing += it->second.minHealthy - left;
                leftByPool.emplace(poolName, left);
            }
        }
        if (missing <= spares) {
            continue;
        }
        for (const auto &[poolName, left] : leftByPool) {
            const auto [it, inserted] = worst.try_emplace(poolName, WorstFailure{name, left, missing, spares});
            if (!inserted && left < it->second.left) {
                it->second = {name, left, missing, spares};
            }
        }
    }
    return worst;
}

static void checkFailures(const Document &document, const Counts &total, bool byZone, std::vector<BudgetProblem> &problems)
{
    for (const auto &[name, it] : worstFailures(document, total, byZone)) {
        problems.push_back({byZone ? Severity::Error : Severity::Warning,
                            name,
                            byZone ? "survivesZone" : "minHealthy",
                            "losing " + it.domain + " leaves pool '" + name + "' " + std::to_string(it.left) + " VMs of minHealthy "
                                + std::to_string(document.pools.find(name)->second.minHealthy) + "; all affected pools need "
                                + std::to_string(it.missing) + " VMs and " + std::to_string(it.spares)
                                + " spares remain; spread the VMs, add spares or lower minHealthy"});
    }
}

std::vector<BudgetProblem> checkBudgets(const Document &document)
{
    Counts total;
    for (const auto &[id, vm] : document.vms) {
        ++total[vm.pool];
    }
    std::vector<BudgetProblem> problems;
    for (const auto &[name, pool] : document.pools) {
        const auto n = countOf(total, name);
        const std::string has = "pool '" + name + "' has " + std::to_string(n) + " VMs";
        if (pool.minHealthy > n) {
            problems.push_back({Severity::Error,
                                name,
                                "minHealthy",
                                has + ", fewer than minHealthy " + std::to_string(pool.minHealthy) + "; declare more VMs or lower it"});
        } else if (pool.minHealthy > 0 && std::uint64_t{pool.minHealthy} + pool.mayLose > n) {
            problems.push_back({Severity::Error,
                                name,
                                "mayLose",
                                has + ", fewer than minHealthy " + std::to_string(pool.minHealthy) + " plus mayLose "
                                    + std::to_string(pool.mayLose) + "; planned work would violate the budget"});
        }
    }
    checkFailures(document, total, false, problems);
    checkFailures(document, total, true, problems);
    return problems;
}

} // namespace hibiscusbridge
