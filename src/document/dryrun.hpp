// What an edit of the document would do to the fleet.
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

/// Buffer: VMs above minHealthy; negative when VMs are missing.
struct PoolChange {
    std::string pool;
    std::int64_t bufferBefore = 0;
    std::int64_t bufferAfter = 0;
    /// Larger minHealthy, smaller mayLose, or survivesZone newly asked for.
    bool tighter = false;
};

struct DryRun {
    std::vector<std::string> vmsAdded;
    std::vector<std::string> vmsRemoved;
    /// From the pool that the VM's row names now.
    std::vector<VmMove> vmsMoved;
    std::vector<ServiceReroute> servicesRerouted;
    /// Pools whose buffer or budget changes.
    std::vector<PoolChange> pools;
    std::int64_t bufferBefore = 0;
    std::int64_t bufferAfter = 0;
    /// Longest time of a pool whose VMs leave `mayLose` at a time; present when a time per VM was given and every pool
    /// with leaving VMs may lose some.
    std::optional<Millis> rollOut;
    /// Pools that VMs would have to leave although they may lose none.
    std::vector<std::string> blockedPools;
};

/// Compares the fleet of `view` with `document`, which must be valid. `perVm` is the time to drain and move one VM.
DryRun dryRun(const View &view, const Document &document, std::optional<Millis> perVm);

/// Lines for operators.
std::string renderDryRun(const DryRun &result);

} // namespace hibiscusbridge
