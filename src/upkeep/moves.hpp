// Plans moves of VMs between pools as demand rises and falls. Without clocks or network.
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
    /// Work of jobs that are late already should be done within this time.
    std::int64_t lateBacklogDrainMs = 5'000;
    /// Room kept above the expected need, in percent. A VM that idles for a second costs about a fifteenth of what its
    /// work is worth when it is lacking.
    std::int64_t headroomPercent = 40;
    /// A rise in arriving work is expected to go on for this share, in percent, by the time that a VM has moved.
    std::int64_t trendPercent = 150;
    /// VMs that a pool keeps beyond those that its lasting subtasks need.
    int spareVms = 1;
    /// Moves that may be planned at one time: this many, or one in `vmsPerMove` of the fleet's VMs.
    int maxMoves = 24;
    int vmsPerMove = 4;
};

/// A pool as the plan sees it.
struct PoolDemand {
    PoolReport report;
    /// VMs that are on their way into the pool.
    int arriving = 0;
    /// CPU of a VM that joins, in thousandths of a core.
    std::int64_t vmCpu = 0;
    /// VMs that the pool has needed on the mean; it gives none below that back to standby pools.
    int averageVms = 0;
    /// The pool has had more VMs than it needs for long enough to give some back.
    bool sustainedSurplus = false;
    /// Need expected soon, in thousandths of a core; 0 for none.
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
    /// VMs of standby pools that are up, by pool.
    std::map<std::string, std::vector<std::string>> standby;
    /// VMs that must stay where they are: ordered, away, or about to be maintained.
    std::set<std::string> pinned;
    /// Moves that were planned before and have not begun; kept when they still make sense.
    std::vector<VmMove> planned;
};

/// VMs that the pool needs for what it has and what arrives.
int neededVms(const PoolDemand &pool, const MoveSettings &settings);

/// The moves that should be under way. Pools that lack VMs get those of standby pools first, then idle VMs of pools that
/// have more than they need; a pool that has had too many for long gives idle ones back to a standby pool.
std::vector<VmMove> planMoves(const FleetDemand &fleet, const MoveSettings &settings);

} // namespace hibiscusbridge::jobs
