// Plans maintenance waves: which VMs to drain and which to maintain now. Pure computation: no clock and no I/O.
#pragma once

#include "model/queues.hpp"
#include "ports/vms.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

/// Progress of one wave.
struct WaveProgress {
    Wave wave;
    /// VMs whose maintenance has started or is no longer possible.
    std::set<std::string> done;
    /// VMs recorded before the maintenance request was sent; the platform may already have accepted the request.
    std::set<std::string> ordered;
    bool completed = false;
};

struct FleetView {
    std::map<std::string, ListedVm> vms;
    /// VMs that their pools report as cordoned and without runs.
    std::set<std::string> drained;
    /// VMs whose maintenance was accepted and that have not been listed as up since then.
    std::set<std::string> inMaintenance;
    /// VMs that the previous plan drains.
    std::set<std::string> draining;
    /// Pools without a queue: switched off and without jobs.
    std::set<std::string> idlePools;
};

struct MaintenancePlan {
    std::set<std::string> drain;
    /// VM and wave number.
    std::vector<std::pair<std::string, std::int64_t>> maintain;
    std::vector<std::int64_t> completed;
    /// VMs of a wave that the platform no longer lists, with the wave number.
    std::vector<std::pair<std::string, std::int64_t>> removed;
};

/// At most `maxAtOnce` VMs of a wave are requested or in maintenance at one time. Further VMs are drained in advance, but
/// at most a third of the VMs of a pool is unavailable or draining at one time.
MaintenancePlan planMaintenance(const std::vector<WaveProgress> &waves, const FleetView &fleet);

} // namespace hibiscusbridge::jobs
