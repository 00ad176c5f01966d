// Report on demand and capacity that the owner of a pool sends to the owner of the fleet shard.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hibiscusbridge::jobs
{

struct VmUsage {
    int runs = 0;
    /// Runs of long-running subtasks; the VM is not moved while there are any.
    int longRunning = 0;
    std::int64_t capacityCpu = 0; ///< thousandths of a core

    bool operator==(const VmUsage &) const = default;
};

struct PoolReport {
    /// VMs that are cordoned as requested and have no runs.
    std::set<std::string> drained;
    /// VMs whose workers are registered, reachable and not draining.
    std::map<std::string, VmUsage> vms;
    /// Recent rate of submitted work, in thousandths of a core.
    std::int64_t arrivingCpu = 0;
    /// The same rate over the preceding window, to detect rising demand.
    std::int64_t previousArrivingCpu = 0;
    /// CPU required by the jobs that can still meet their objective, in thousandths of a core.
    std::int64_t urgentCpu = 0;
    /// Queued and running work of jobs that miss their objective but still have value, in core-milliseconds.
    std::int64_t lateBacklog = 0;
    /// The same for expired jobs, which have been accepted and so must be completed, after all other work.
    std::int64_t expiredBacklog = 0;
    /// CPU of the subtasks of expired jobs that may run now, in thousandths of a core.
    std::int64_t expiredRunnableCpu = 0;
    /// CPU reserved or requested by long-running subtasks, in thousandths of a core.
    std::int64_t longRunningCpu = 0;
    /// VMs that the long-running subtasks need to satisfy the spread constraints of their jobs.
    int longRunningVms = 0;
    /// Long-running subtasks that are not assigned to a worker.
    int longRunningWaiting = 0;

    bool operator==(const PoolReport &) const = default;
};

std::string encodeReport(const PoolReport &report);
/// Returns nothing when the text is not a valid report.
std::optional<PoolReport> decodeReport(std::string_view text);

/// Requests the report of a pool's shard from its owner, which also cordons the given VMs. Yields nothing on failure or time-out.
using RequestReport =
    std::function<void(const std::string &shard, const std::set<std::string> &cordonedVms, std::function<void(std::optional<PoolReport>)>)>;

} // namespace hibiscusbridge::jobs
