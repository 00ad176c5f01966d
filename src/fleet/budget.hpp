// Availability budgets: whether VMs may be taken out of service now.
#pragma once

#include "model/view.hpp"

#include <set>
#include <span>
#include <string>

namespace hibiscusbridge
{

/// VMs that probes, request outcomes or the platform's list report as failed, whatever their rows say.
struct FleetHealth {
    std::set<std::string, std::less<>> failed;
};

struct RemovalDecision {
    bool allowed = false;
    /// The budget holds only because shared spares cover a failure. The commit then has to write the ledgers of the
    /// spare pools, so that two decisions cannot count on the same spares.
    bool usesSpares = false;
    /// For operators; holds the figures of a refusal.
    std::string reason;
};

/// Counts of one pool.
struct PoolCount {
    Pool budget;
    std::uint32_t healthy = 0;
    std::uint32_t planned = 0;
    std::uint32_t failed = 0;
    /// VMs of other pools that an operation is moving here.
    std::uint32_t inbound = 0;
    std::uint32_t declared = 0;
    /// Healthy VMs by failure domain ("rack r1", "zone z1"); zones only when the pool has to survive one.
    std::map<std::string, std::uint32_t, std::less<>> domains;
};

/// Counts of the whole fleet; lets a planner try removals one after the other.
struct FleetCount {
    std::map<std::string, PoolCount, std::less<>> pools;
    /// Healthy spares by rack and by zone.
    std::map<std::string, std::uint32_t, std::less<>> sparesIn;
    /// Spares beyond the minHealthy of their own pools.
    std::uint32_t spares = 0;
    /// VMs that the pools lack now, and in addition when the domain fails.
    std::uint32_t lacking = 0;
    std::map<std::string, std::uint32_t, std::less<>> lackingIn;

    /// Spares needed for the worst single failure.
    std::uint32_t reserve() const;
};

/// True while a planned operation holds the VM out of service; exactly these VMs are in the ledgers.
bool isPlannedOut(const VmRow &vm);

FleetCount countFleet(const View &view, const FleetHealth &health);

/// Takes an active VM out of the counts. `destination` is the pool it moves to, or empty.
void countRemoval(FleetCount &count, const VmRow &vm, std::string_view destination = {});

/// Whether the VMs may go together. `count` does not contain the removal yet.
RemovalDecision decideRemoval(const FleetCount &count, std::span<const VmRow *const> vms);

/// Whether a spare may move to a pool that lacks VMs: only the spare pool's own budget is checked.
RemovalDecision decideSpareMove(const FleetCount &count, const VmRow &spare);

RemovalDecision removalDecision(const View &view, std::span<const std::string> vms, const FleetHealth &health);

} // namespace hibiscusbridge
