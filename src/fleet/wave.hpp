// Maintenance waves: which VMs to take out next.
#pragma once

#include "fleet/budget.hpp"

#include <vector>

namespace hibiscusbridge
{

struct WaitingVm {
    std::string vm;
    std::string reason;
};

/// A spare that has to join a pool before the pool can spare a VM.
struct SpareMove {
    std::string vm;
    std::string pool;
};

struct WavePlan {
    std::vector<std::string> remove;
    std::vector<SpareMove> bringIn;
    /// Spares to return to their own pool because the wave cannot go on while they are away: the VMs repaired in their
    /// place may share racks with the pools that rely on them.
    std::vector<SpareMove> restore;
    std::vector<WaitingVm> waiting;
    /// Why no removal may start now; empty while the wave is not held up by a failure.
    std::string pausedBecause;
    /// No VM is left to maintain and none is out for the wave.
    bool finished = false;
};

/// Running operations are those of the view's rows. `now` is the wall clock.
WavePlan planWave(const View &view, const Wave &wave, const FleetHealth &health, Millis now);

/// A healthy spare that may move to the pool, preferably outside the racks that the pool uses; nothing when none may.
const VmRow *findSpare(const View &view, const FleetCount &count, const FleetHealth &health, std::string_view pool);

} // namespace hibiscusbridge
