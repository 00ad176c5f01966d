// What a pool's owner tells the owner of the fleet.
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
    /// Runs of subtasks that last; the VM is not moved while there are any.
    int longRunning = 0;
    std::int64_t capacityCpu = 0; ///< thousandths of a core

    bool operator==(const VmUsage &) const = default;
};

struct PoolReport {
    /// VMs that are kept empty as asked and on which nothing runs.
    std::set<std::string> drained;
    /// VMs that take work or would.
    std::map<std::string, VmUsage> vms;
    /// Work handed in per second of late, in thousandths of a core.
    std::int64_t arrivingCpu = 0;
    /// The same a little earlier, to see whether demand rises.
    std::int64_t previousArrivingCpu = 0;
    /// CPU that the jobs which can meet their objective need for it, in thousandths of a core.
    std::int64_t urgentCpu = 0;
    /// Work that is queued or running of jobs that are late for certain, in core-milliseconds.
    std::int64_t lateBacklog = 0;
    /// CPU that subtasks that last hold or wait for, in thousandths of a core.
    std::int64_t longRunningCpu = 0;
    /// VMs that these subtasks need to keep apart as their jobs ask.
    int longRunningVms = 0;
    /// Subtasks that last and have no worker now.
    int longRunningWaiting = 0;

    bool operator==(const PoolReport &) const = default;
};

std::string encodeReport(const PoolReport &report);
/// Nothing when the text is no report.
std::optional<PoolReport> decodeReport(std::string_view text);

/// Asks a pool's owner to keep these VMs empty and for its report; nothing when there is no answer.
using RequestReport =
    std::function<void(const std::string &pool, const std::set<std::string> &cordonedVms, std::function<void(std::optional<PoolReport>)>)>;

} // namespace hibiscusbridge::jobs
