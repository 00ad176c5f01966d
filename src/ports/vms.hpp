// VMs of the fleet as the platform lists them, and the platform's actions on them.
#pragma once

#include "jobs/job.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

enum class VmState {
    Up,
    Moving,
    InMaintenance,
    Down,
};

struct ListedVm {
    std::string vm;
    std::string pool;
    VmState state = VmState::Down;
    std::string zone;
    std::vector<std::string> labels;
    Resources capacity;
    std::string workerId;
};

struct VmListResult {
    bool answered = false;
    std::vector<ListedVm> vms;
    std::string error;
};

enum class VmActionOutcome {
    /// Begun, or already done.
    Accepted,
    /// A holder with a higher fencing token has acted on the VM.
    Fenced,
    /// The VM is not up or is leaving.
    Busy,
    NotInWave,
    /// No such VM, or a pool for other VMs.
    Rejected,
    /// Not done: too many calls, or the platform is unavailable.
    Refused,
    /// No answer; it may have been or may yet be carried out.
    Unknown,
};

const char *nameOf(VmActionOutcome outcome);

struct VmActionHolder {
    std::string name;
    std::uint64_t fence = 0;
};

/// Each callback runs exactly once, never from within the call. `maySend` is checked right before the call leaves.
struct VmPort {
    /// Reads all pages.
    std::function<void(Millis timeout, std::function<void(VmListResult)>)> list;
    std::function<void(std::string vm,
                       std::string pool,
                       VmActionHolder,
                       Millis timeout,
                       std::function<bool()> maySend,
                       std::function<void(VmActionOutcome)>)>
        move;
    std::function<void(std::string vm,
                       std::int64_t wave,
                       VmActionHolder,
                       Millis timeout,
                       std::function<bool()> maySend,
                       std::function<void(VmActionOutcome)>)>
        maintain;
};

} // namespace hibiscusbridge::jobs
