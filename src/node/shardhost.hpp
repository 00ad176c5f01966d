// Shards owned by this entry and the state they share: leases, worker directory and configuration.
#pragma once

#include "config/entrysettings.hpp"
#include "model/cells.hpp"
#include "model/queues.hpp"
#include "ports/store.hpp"
#include "ports/timer.hpp"
#include "ports/vms.hpp"
#include "ports/workers.hpp"
#include "shards/leases.hpp"
#include "shards/poolowner.hpp"
#include "shards/publishedload.hpp"
#include "shards/queuepools.hpp"
#include "shards/workerdirectory.hpp"
#include "upkeep/fleetowner.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hibiscusbridge::jobs
{

class ShardHost
{
public:
    struct Ports {
        StorePort store;
        WorkerPort workers;
        VmPort vms;
        AdvicePort advice;
        TimerPort timers;
        Clock clock;
        /// Table in which workers register, and the decoder of its rows.
        std::string workerTable;
        WorkerDirectory::Decode decodeWorker;
        std::function<RowPut(std::int64_t wave, bool completed)> waveStatus;
        /// Requests the report of a pool's shard from the entry that owns it, at this peer address.
        std::function<void(const std::string &address,
                           const std::string &shard,
                           const std::set<std::string> &cordonedVms,
                           std::function<void(std::optional<PoolReport>)>)>
            requestPeerReport;
        /// Requests the hand-over of a shard from the entry at this peer address. `held` is the number of shards that this
        /// entry owns.
        std::function<void(const std::string &address, const std::string &shard, int held)> requestShard;
        /// Called once a second for each pool with an end that waits long for its acknowledgement.
        std::function<void(const OldestUnackedEnd &)> ackDelayed = [](const OldestUnackedEnd &) {
        };
    };

    ShardHost(const EntrySettings &settings, Ports ports);
    ~ShardHost();
    ShardHost(const ShardHost &) = delete;
    ShardHost &operator=(const ShardHost &) = delete;

    void start();
    /// Ignores a version that is not newer than the current one.
    void setConfiguration(Configuration configuration);
    void setWave(const Wave &wave);
    /// Null until a configuration has been received.
    StoreLimits storeLimits() const
    {
        return {.rowBytes = static_cast<std::size_t>(m_settings.storeRowBytes)};
    }
    const Configuration *configuration() const
    {
        return m_configuration ? &*m_configuration : nullptr;
    }
    /// Returns the report of a pool's shard that this entry owns, and nothing for other shards. Cordons the given VMs.
    std::optional<PoolReport> report(const std::string &shard, const std::set<std::string> &cordonedVms);
    /// Handles the request of another entry for a shard. Returns whether the shard is handed over.
    bool onShardRequest(const std::string &shard, const std::string &entry, double cpu, int held);
    /// The pools that jobs of the queues were accepted for.
    QueuePools &queuePools()
    {
        return m_queuePools;
    }
    /// The pools of `QueuePools::of`, each once.
    std::vector<std::string> poolsOf(const Queue &queue) const;
    /// Number of queued jobs last published by the owners of the pool's shards; negative when unknown.
    int queuedJobs(const Queue &queue) const;
    /// Load last published by the shard's owner; nothing when unknown.
    std::optional<PublishedLoad> publishedLoad(const std::string &shard) const;
    /// The count is 0 until the division of the fleet is known; no job can be accepted before.
    const Cells &cells() const
    {
        return m_cells;
    }
    /// Shards of the pool to which a job of this id may belong: the shard of jobs that end, then the shard of long-running jobs if it
    /// is another one. Empty while the division of the fleet is not known.
    std::vector<std::string> shardsOf(const std::string &pool, const std::string &job) const;
    /// The longest time that a listed end has waited for its acknowledgement in any pool of this entry; 0 if none waits.
    Millis oldestUnackedEndAge() const;
    const Leases &leases() const
    {
        return *m_leases;
    }
    /// Releases every shard; `done` runs when the store has answered or the call has failed.
    void stop(std::function<void()> done);

private:
    /// One cell of one pool.
    struct PoolShard {
        std::string pool;
        int cell = 0;
    };

    void updateShards();
    void onLayoutRow(const Row &row);
    void decideCells(std::size_t vms);
    std::vector<WorkerRegistration> workersOf(const PoolShard &shard) const;
    /// Periodically requests a shard from an entry with less CPU per shard.
    void balance();
    void onAcquired(const std::string &shard, std::uint64_t fence, bool handedOver);
    void onLost(const std::string &shard);
    std::unique_ptr<PoolOwner> makePoolOwner(const std::string &shard, std::uint64_t fence, bool handedOver);
    std::unique_ptr<FleetOwner> makeFleetOwner(std::uint64_t fence);
    void requestReport(const std::string &shard,
                       const std::set<std::string> &cordonedVms,
                       std::function<void(std::optional<PoolReport>)> done);
    bool isPool(const std::string &name) const;
    std::set<std::string> standbyPools() const;
    /// Pools that have a queue, or had one for which jobs were accepted: those jobs are still run.
    std::set<std::string> activePools() const;

    EntrySettings m_settings;
    Ports m_ports;
    std::optional<Configuration> m_configuration;
    std::map<std::int64_t, Wave> m_waves;
    Cells m_cells;
    bool m_decidingCells = false;
    QueuePools m_queuePools;
    /// Shards of the pools that have a queue or had one.
    std::map<std::string, PoolShard> m_poolShards;
    std::unique_ptr<WorkerDirectory> m_directory;
    std::unique_ptr<Leases> m_leases;
    /// Boot time at which each shard was acquired.
    std::map<std::string, Millis> m_acquiredAt;
    bool m_stopping = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<std::string, std::unique_ptr<PoolOwner>> m_pools;
    std::unique_ptr<FleetOwner> m_fleet;
};

} // namespace hibiscusbridge::jobs
