// Carries out maintenance waves and moves of VMs while this entry owns the fleet shard.
#pragma once

#include "model/cells.hpp"
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
    /// Interval between reconciliations, and so between reads of the VM list.
    Millis stepInterval{150};
    Millis callTimeout{1'500};
    Millis storeTimeout{1'500};
    /// Delay before an unanswered request is repeated.
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
        /// Whether the pool has no queue.
        std::function<bool(const std::string &pool)> isIdle;
        /// Standby pools without a queue.
        std::function<std::set<std::string>()> standbyPools;
        /// Pools with a queue.
        std::function<std::set<std::string>()> activePools;
        std::function<Cells()> cells;
        /// Called with each list of VMs while the number of cells is not known.
        std::function<void(std::size_t vms)> vmsCounted;
        std::function<RowPut(std::int64_t wave, bool completed)> waveStatus;
        RequestReport requestReport;
        std::function<void(const std::string &reason)> superseded;
    };

    FleetOwner(std::uint64_t fence, FleetOwnerTimes times, Ports ports);
    ~FleetOwner();
    void start();
    /// Disables all pending callbacks; the object may be destroyed later.
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

    /// Reads the stored progress of the waves from this key on.
    void load(const std::string &from);
    void step();
    void listVms();
    void reconcile();
    void requestReports();
    void updateMoves();
    FleetDemand demandOf(int cell, const MoveSettings &settings);
    PoolDemand demandOf(const std::string &pool, int cell, const MoveSettings &settings);
    /// Shard of the pool to which the VM belongs.
    std::string shardOf(const std::string &pool, const std::string &vm) const;
    void beginMove(const VmMove &move);
    void sendMove(const VmMove &move);
    void onMoveResult(const VmMove &move, Millis sentAt, VmActionOutcome outcome);
    /// VMs of the shard that its owner has to keep cordoned.
    std::set<std::string> cordonedVms(const std::string &shard) const;
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
    /// Boot time at which the maintenance of a VM was accepted.
    std::map<std::string, Millis> m_acceptedAt;
    /// VMs with an unanswered maintenance request.
    std::set<std::string> m_pendingMaintenance;
    /// Latest report of a pool's shard with its time of receipt.
    struct ReceivedReport {
        PoolReport report;
        Millis at;
        /// Start of the present surplus of VMs; 0 without a surplus.
        Millis surplusSince;
        /// Moving average of the VMs needed; negative before the first plan.
        double averageVms = -1;
    };
    std::map<std::string, ReceivedReport> m_reports;
    /// Moves that wait for their VM to drain.
    std::vector<VmMove> m_plannedMoves;
    /// Moves that were requested, by VM, with the boot time of the request or of its acceptance.
    struct ActiveMove {
        VmMove move;
        Millis startedAt;
        bool accepted = false;
    };
    std::map<std::string, ActiveMove> m_activeMoves;
    bool m_loaded = false;
    Millis m_startedAt;
    bool m_listPending = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge::jobs
