// Interface of the platform's inventory of fleet VMs and its actions on them.
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
    /// Started, or already done.
    Accepted,
    /// The VM has already been acted on with a higher fencing token.
    Fenced,
    /// The VM is not up or is leaving.
    Busy,
    NotInWave,
    /// The VM does not exist, or the pool does not take VMs of this kind.
    Rejected,
    /// Not carried out: rate limit exceeded, or the platform is unavailable.
    Refused,
    /// No response; the action may have been carried out or may still be.
    Unknown,
};

const char *nameOf(VmActionOutcome outcome);

struct VmActionHolder {
    std::string name;
    std::uint64_t fence = 0;
};

/// Each callback runs exactly once, and never from within the call. `maySend` is checked immediately before the request
/// is sent.
struct VmPort {
    /// Fetches all pages of the list.
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
