// Plans moves of VMs between pools according to demand. Pure computation: no clock and no I/O.
#pragma once

#include "upkeep/poolreport.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

struct MoveSettings {
    /// Target time for completing the work of jobs that are already late.
    std::int64_t lateBacklogDrainMs = 5'000;
    /// Target time for completing the work of expired jobs on VMs that no other work needs.
    std::int64_t expiredBacklogDrainMs = 10'000;
    /// Capacity kept above the expected need, in percent. An idle VM costs about one fifteenth of what a missing VM costs
    /// over the same time.
    std::int64_t headroomPercent = 40;
    /// Extrapolation of a rise in arriving work over the duration of a move, in percent of the rise.
    std::int64_t trendPercent = 150;
    /// Difference from its share that a pool keeps while VMs are scarce, in percent of the share.
    int scarcitySlackPercent = 10;
    /// VMs that a pool keeps in addition to those required by its long-running subtasks.
    int spareVms = 1;
    /// Limit on planned moves: `maxMoves`, or one per `vmsPerMove` VMs of the fleet if that is more.
    int maxMoves = 24;
    int vmsPerMove = 4;
};

/// Demand and capacity of one pool, as input for the plan.
struct PoolDemand {
    PoolReport report;
    /// VMs that are being moved into the pool or are returning to it.
    int arriving = 0;
    /// CPU of a VM that joins the pool, in thousandths of a core.
    std::int64_t vmCpu = 0;
    /// Moving average of the VMs needed; the pool returns VMs to standby pools only above this number.
    int averageVms = 0;
    /// The pool has had surplus VMs for long enough to return some.
    bool sustainedSurplus = false;
    /// Forecast need, in thousandths of a core; 0 when there is no forecast.
    std::int64_t expectedCpu = 0;
};

struct VmMove {
    std::string vm;
    std::string from;
    std::string to;

    bool operator==(const VmMove &) const = default;
};

struct FleetDemand {
    std::map<std::string, PoolDemand> pools;
    /// Available VMs of standby pools, by pool.
    std::map<std::string, std::vector<std::string>> standby;
    /// VMs that must not be moved: already moving, down, in maintenance, or draining for maintenance.
    std::set<std::string> pinned;
    /// Moves from the previous plan that have not started; preferred when they are still useful.
    std::vector<VmMove> planned;
};

/// Number of VMs that the pool needs for its present work that still has value and the work that arrives.
int neededVms(const PoolDemand &pool, const MoveSettings &settings);

/// The same with the work of expired jobs, so that every accepted job is completed. Includes all present VMs that they can use: with
/// a need that follows the backlog down, the last jobs would take ever longer.
int wantedVms(const PoolDemand &pool, const MoveSettings &settings);

/// Share of the fleet's VMs that each pool gets. While all needs can be met, that is what each needs, and what is left is divided among
/// the pools with expired jobs. Otherwise the VMs of long-running subtasks come first, and the rest is divided so that every pool gets
/// the same part of what it needs beyond them. Designed for surges in several pools at once, in which the pool with the largest backlog
/// would otherwise take all VMs and keep them.
std::map<std::string, int> divideVms(const FleetDemand &fleet, const MoveSettings &settings);

/// Returns the moves to carry out. Pools with fewer VMs than their share receive VMs of standby pools first, then VMs of pools with
/// more than their share. A pool with a sustained surplus returns VMs to a standby pool.
std::vector<VmMove> planMoves(const FleetDemand &fleet, const MoveSettings &settings);

} // namespace hibiscusbridge::jobs
