// Plans maintenance waves: which VMs are emptied and which are maintained now. Without clocks or network.
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
    /// Their maintenance has begun, or they are not to be had any more.
    std::set<std::string> done;
    /// Recorded as being ordered; the order may have been carried out.
    std::set<std::string> ordered;
    bool completed = false;
};

struct FleetView {
    std::map<std::string, ListedVm> vms;
    /// VMs that their pools report as empty, or whose pools have no jobs.
    std::set<std::string> drained;
    /// VMs whose maintenance was accepted and that have not been listed as up since.
    std::set<std::string> inMaintenance;
    /// VMs that were being emptied after the last plan.
    std::set<std::string> draining;
    /// Pools that are switched off and have no jobs.
    std::set<std::string> idlePools;
};

struct MaintenancePlan {
    std::set<std::string> drain;
    /// VM and wave.
    std::vector<std::pair<std::string, std::int64_t>> maintain;
    std::vector<std::int64_t> completed;
    /// VMs of a wave that have gone for good.
    std::vector<std::pair<std::string, std::int64_t>> removed;
};

/// At most `maxAtOnce` VMs of a wave are ordered or away at one time; as many are being emptied ahead, and of one pool
/// no more than a third of its VMs at a time.
MaintenancePlan planMaintenance(const std::vector<WaveProgress> &waves, const FleetView &fleet);

} // namespace hibiscusbridge::jobs
