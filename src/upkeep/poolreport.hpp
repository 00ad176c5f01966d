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

struct VmUse {
    int runs = 0;
    /// Runs of subtasks that last; the VM is not moved while there are any.
    int lasting = 0;
    std::int64_t capacityCpu = 0; ///< thousandths of a core

    bool operator==(const VmUse &) const = default;
};

struct PoolReport {
    /// VMs that are kept empty as asked and on which nothing runs.
    std::set<std::string> empty;
    /// VMs that take work or would.
    std::map<std::string, VmUse> vms;
    /// Work handed in per second of late, in thousandths of a core.
    std::int64_t arrivingCpu = 0;
    /// The same a little earlier, to see whether demand rises.
    std::int64_t arrivedBeforeCpu = 0;
    /// CPU that the jobs which can meet their objective need for it, in thousandths of a core.
    std::int64_t urgentCpu = 0;
    /// Work that is queued or running of jobs that are late for certain, in core-milliseconds.
    std::int64_t lateBacklog = 0;
    /// CPU that subtasks that last hold or wait for, in thousandths of a core.
    std::int64_t lastingCpu = 0;
    /// VMs that these subtasks need to keep apart as their jobs ask.
    int lastingVms = 0;
    /// Subtasks that last and have no worker now.
    int lastingWaiting = 0;

    bool operator==(const PoolReport &) const = default;
};

std::string encodeReport(const PoolReport &report);
/// Nothing when the text is no report.
std::optional<PoolReport> decodeReport(std::string_view text);

/// Asks a pool's owner to keep these VMs empty and for its report; nothing when there is no answer.
using AskPool =
    std::function<void(const std::string &pool, const std::set<std::string> &keepEmpty, std::function<void(std::optional<PoolReport>)>)>;

} // namespace hibiscusbridge::jobs
