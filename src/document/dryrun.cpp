// Predicts the effect of a document edit on the fleet.
#include "document/dryrun.hpp"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <set>

namespace hibiscusbridge
{

using Counts = std::map<std::string, std::int64_t, std::less<>>;

static void compareVms(const View &view, const Document &document, DryRun &result, Counts &leaving)
{
    for (const auto &[id, vm] : document.vms) {
        const auto row = view.vms.find(id);
        if (row == view.vms.end()) {
            result.vmsAdded.push_back(id);
        } else if (row->second.pool != vm.pool) {
            result.vmsMoved.push_back({id, row->second.pool, vm.pool});
            ++leaving[row->second.pool];
        }
    }
    for (const auto &[id, row] : view.vms) {
        if (!document.vms.contains(id)) {
            result.vmsRemoved.push_back(id);
            ++leaving[row.pool];
        }
    }
}

static void compareServices(const Document &before, const Document &after, DryRun &result)
{
    for (const auto &[name, service] : after.services) {
        const auto it = before.services.find(name);
        const std::string from = it == before.services.end() ? "" : it->second.pool;
        if (from != service.pool) {
            result.servicesRerouted.push_back({name, from, service.pool});
        }
    }
    for (const auto &[name, service] : before.services) {
        if (!after.services.contains(name)) {
            result.servicesRerouted.push_back({name, service.pool, ""});
        }
    }
}

static bool isTighter(const Pool &before, const Pool &after)
{
    return after.minHealthy > before.minHealthy || after.mayLose < before.mayLose || (after.survivesZone && !before.survivesZone);
}

static void comparePools(const View &view, const Document &document, DryRun &result)
{
    Counts before;
    Counts after;
    for (const auto &[id, row] : view.vms) {
        ++before[row.pool];
    }
    for (const auto &[id, vm] : document.vms) {
        ++after[vm.pool];
    }
    std::set<std::string> names;
    for (const auto *pools : {&view.document.pools, &document.pools}) {
        for (const auto &[name, pool] : *pools) {
            names.insert(name);
        }
    }
    for (const auto &name : names) {
        const auto oldPool = view.document.pools.find(name);
        const auto newPool = document.pools.find(name);
        const bool existed = oldPool != view.document.pools.end();
        const bool remains = newPool != document.pools.end();
        PoolChange change{.pool = name};
        change.bufferBefore = existed ? before[name] - oldPool->second.minHealthy : 0;
        change.bufferAfter = remains ? after[name] - newPool->second.minHealthy : 0;
        change.tighter = existed && remains && isTighter(oldPool->second, newPool->second);
        result.bufferBefore += change.bufferBefore;
        result.bufferAfter += change.bufferAfter;
        if (change.tighter || change.bufferBefore != change.bufferAfter) {
            result.pools.push_back(std::move(change));
        }
    }
}

/// Assumes that all pools change in parallel, and `mayLose` VMs at a time within a pool. Uses the new budget, or the old
/// one if the pool is removed.
static void estimateRollOut(const View &view, const Document &document, const Counts &leaving, Millis perVm, DryRun &result)
{
    Millis longest;
    for (const auto &[name, n] : leaving) {
        const auto newPool = document.pools.find(name);
        const auto oldPool = view.document.pools.find(name);
        std::int64_t atOnce = n;
        if (newPool != document.pools.end()) {
            atOnce = newPool->second.mayLose;
        } else if (oldPool != view.document.pools.end()) {
            atOnce = oldPool->second.mayLose;
        }
        if (atOnce == 0) {
            result.blockedPools.push_back(name);
            continue;
        }
        longest = std::max(longest, perVm * ((n + atOnce - 1) / atOnce));
    }
    if (result.blockedPools.empty()) {
        result.rollOut = longest;
    }
}

DryRun dryRun(const View &view, const Document &document, std::optional<Millis> perVm)
{
    DryRun result;
    Counts leaving;
    compareVms(view, document, result, leaving);
    compareServices(view.document, document, result);
    comparePools(view, document, result);
    if (perVm) {
        estimateRollOut(view, document, leaving, *perVm, result);
    }
    return result;
}

static void appendNames(std::string &out, std::string_view title, const std::vector<std::string> &names)
{
    out += std::string(title) + ": " + std::to_string(names.size());
    for (const auto &it : names) {
        out += " " + it;
    }
    out += '\n';
}

std::string renderDryRun(const DryRun &result)
{
    std::string out;
    appendNames(out, "VMs added", result.vmsAdded);
    appendNames(out, "VMs removed", result.vmsRemoved);
    out += "VMs moved: " + std::to_string(result.vmsMoved.size()) + '\n';
    for (const auto &[id, from, to] : result.vmsMoved) {
        absl::StrAppend(&out, "  ", id, ": ", from, " -> ", to, "\n");
    }
    out += "services rerouted: " + std::to_string(result.servicesRerouted.size()) + '\n';
    for (const auto &[service, from, to] : result.servicesRerouted) {
        out += "  " + service + ": " + (from.empty() ? "(new)" : from) + " -> " + (to.empty() ? "(removed)" : to) + '\n';
    }
    out += "buffer: " + std::to_string(result.bufferBefore) + " -> " + std::to_string(result.bufferAfter) + " VMs\n";
    for (const auto &it : result.pools) {
        out += "  pool " + it.pool + ": " + std::to_string(it.bufferBefore) + " -> " + std::to_string(it.bufferAfter)
               + (it.tighter ? ", stricter budget" : "") + '\n';
    }
    if (!result.blockedPools.empty()) {
        appendNames(out, "roll-out blocked by pools with VMs to remove and mayLose 0", result.blockedPools);
    }
    if (result.rollOut) {
        out += "roll-out: about " + std::to_string(result.rollOut->count / 1000) + " s\n";
    }
    return out;
}

} // namespace hibiscusbridge
