// Predicts the effect of a document edit on the fleet.
#pragma once

#include "model/view.hpp"

namespace hibiscusbridge
{

struct VmMove {
    std::string id;
    std::string from;
    std::string to;
};

/// `from` is empty for a new service, `to` for one that is removed.
struct ServiceReroute {
    std::string service;
    std::string from;
    std::string to;
};

/// The buffer is the number of VMs minus minHealthy; negative if VMs are missing.
struct PoolChange {
    std::string pool;
    std::int64_t bufferBefore = 0;
    std::int64_t bufferAfter = 0;
    /// The budget became stricter: larger minHealthy, smaller mayLose, or survivesZone newly set.
    bool tighter = false;
};

struct DryRun {
    std::vector<std::string> vmsAdded;
    std::vector<std::string> vmsRemoved;
    /// `from` is the pool in the VM's row, not the previously declared one.
    std::vector<VmMove> vmsMoved;
    std::vector<ServiceReroute> servicesRerouted;
    /// Pools whose buffer or budget changes.
    std::vector<PoolChange> pools;
    std::int64_t bufferBefore = 0;
    std::int64_t bufferAfter = 0;
    /// Estimated duration: that of the slowest pool, whose VMs leave `mayLose` at a time. Present if a time per VM was
    /// given and no pool is blocked.
    std::optional<Millis> rollOut;
    /// Pools that VMs would have to leave although `mayLose` is 0.
    std::vector<std::string> blockedPools;
};

/// Compares the fleet in `view` with `document`, which must be valid. `perVm` is the time to drain and move one VM.
DryRun dryRun(const View &view, const Document &document, std::optional<Millis> perVm);

/// Formats the result as text for operators.
std::string renderDryRun(const DryRun &result);

} // namespace hibiscusbridge
