// Carries out maintenance waves while this entry owns the fleet's shard.
#pragma once

#include "ports/store.hpp"
#include "ports/timer.hpp"
#include "ports/vms.hpp"
#include "upkeep/maintenance.hpp"
#include "upkeep/moves.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hibiscusbridge::jobs
{

inline constexpr const char *fleetShard = "~fleet";

struct FleetOwnerTimes {
    /// Waves are looked at this often; also the age of the VM list.
    Millis stepInterval{150};
    Millis callTimeout{1'500};
    Millis storeTimeout{1'500};
    /// An order that was not answered is repeated after this time.
    Millis retryDelay{600};
};

class FleetOwner
{
public:
    struct Ports {
        StorePort store;
        VmPort vms;
        TimerPort timers;
        Clock clock;
        std::string holder;
        std::function<bool()> mayAct;
        std::function<RowCondition()> condition;
        std::function<const std::map<std::int64_t, Wave> &()> waves;
        /// Pools that have no queue.
        std::function<bool(const std::string &pool)> isIdle;
        std::function<bool(const std::string &pool)> isStandby;
        /// Pools with a queue.
        std::function<std::set<std::string>()> activePools;
        std::function<RowPut(std::int64_t wave, bool completed)> waveStatus;
        RequestReport requestReport;
        std::function<void(const std::string &reason)> superseded;
    };

    FleetOwner(std::uint64_t fence, FleetOwnerTimes times, Ports ports);
    ~FleetOwner();
    void start();
    /// Does nothing from now on; the object may be destroyed later.
    void retire()
    {
        *m_alive = false;
    }

private:
    struct WaveEntry {
        WaveProgress progress;
        std::uint64_t version = 0;
        bool statusWritten = false;
        bool writing = false;
        bool dirty = false;
        bool completionReported = false;
    };

    void load();
    void step();
    void listVms();
    void reconcile();
    void requestReports();
    void updateMoves();
    void beginMove(const VmMove &move);
    void sendMove(const VmMove &move);
    void onMoveResult(const VmMove &move, Millis sentAt, VmActionOutcome outcome);
    std::set<std::string> cordonedVms(const std::string &pool) const;
    void saveProgress(std::int64_t wave);
    void requestMaintenance(const std::string &vm, std::int64_t wave);
    void sendMaintenance(const std::string &vm, std::int64_t wave);
    void onMaintenanceResult(const std::string &vm, std::int64_t wave, Millis sentAt, VmActionOutcome outcome);
    void writeStatus(std::int64_t wave, bool completed);

    std::uint64_t m_fence;
    FleetOwnerTimes m_times;
    Ports m_ports;
    std::map<std::int64_t, WaveEntry> m_waves;
    FleetView m_fleet;
    /// When the maintenance of a VM was accepted.
    std::map<std::string, Millis> m_acceptedAt;
    std::set<std::string> m_pendingMaintenance;
    /// Reports of pools, and when they came.
    struct ReceivedReport {
        PoolReport report;
        Millis at;
        /// Since when the pool has had more VMs than it needs; 0 while it has not.
        Millis surplusSince;
        /// VMs needed on the mean of late; negative before the first plan.
        double averageVms = -1;
    };
    std::map<std::string, ReceivedReport> m_reports;
    /// Moves that wait for their VM to be empty.
    std::vector<VmMove> m_plannedMoves;
    /// Moves that were ordered, by VM, and when.
    struct ActiveMove {
        VmMove move;
        Millis orderedAt;
        bool accepted = false;
    };
    std::map<std::string, ActiveMove> m_activeMoves;
    bool m_loaded = false;
    bool m_listPending = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge::jobs
