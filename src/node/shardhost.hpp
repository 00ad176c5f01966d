// The shards that this entry owns, with what they share: claims, the list of workers, the configuration.
#pragma once

#include "config/entrysettings.hpp"
#include "model/queues.hpp"
#include "ports/store.hpp"
#include "ports/timer.hpp"
#include "ports/vms.hpp"
#include "ports/workers.hpp"
#include "shards/leases.hpp"
#include "shards/poolowner.hpp"
#include "shards/publishedload.hpp"
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
        /// Table in which workers register, and the decoding of its rows.
        std::string workerTable;
        WorkerDirectory::Decode decodeWorker;
        std::function<RowPut(std::int64_t wave, bool completed)> waveStatus;
        /// Asks the entry at this peer address for the report of a pool that it owns.
        std::function<void(const std::string &address,
                           const std::string &pool,
                           const std::set<std::string> &cordonedVms,
                           std::function<void(std::optional<PoolReport>)>)>
            requestPeerReport;
        /// Asks the entry at this peer address to hand a shard over to us, who hold `held` shards.
        std::function<void(const std::string &address, const std::string &shard, int held)> requestShard;
    };

    ShardHost(const EntrySettings &settings, Ports ports);
    ~ShardHost();
    ShardHost(const ShardHost &) = delete;
    ShardHost &operator=(const ShardHost &) = delete;

    void start();
    /// Older versions than the one in force are ignored.
    void setConfiguration(Configuration configuration);
    void setWave(const Wave &wave);
    /// Null while no configuration is known.
    const Configuration *configuration() const
    {
        return m_configuration ? &*m_configuration : nullptr;
    }
    /// The report of a pool that this entry owns; nothing for others.
    std::optional<PoolReport> report(const std::string &pool, const std::set<std::string> &cordonedVms);
    /// Another entry asks for a shard. Returns whether it is handed over.
    bool onShardRequest(const std::string &shard, const std::string &entry, double cpu, int held);
    /// Queued jobs as the pool's owner last published; negative when not known.
    int queuedJobs(const Queue &queue) const;
    /// What a pool's owner last published of its load; nothing when not known.
    std::optional<PublishedLoad> publishedLoad(const std::string &pool) const;
    const Leases &leases() const
    {
        return *m_leases;
    }
    /// Hands over every shard; `done` runs when the store has answered or given up.
    void stop(std::function<void()> done);

private:
    void updateShards();
    /// Asks for a shard of a busier entry from time to time.
    void balance();
    void onAcquired(const std::string &shard, std::uint64_t fence, bool handedOver);
    void onLost(const std::string &shard);
    std::unique_ptr<PoolOwner> makePoolOwner(const std::string &pool, std::uint64_t fence, bool handedOver);
    std::unique_ptr<FleetOwner> makeFleetOwner(std::uint64_t fence);
    void requestReport(const std::string &pool,
                       const std::set<std::string> &cordonedVms,
                       std::function<void(std::optional<PoolReport>)> done);
    bool isStandby(const std::string &name) const;
    std::set<std::string> activePools() const;

    EntrySettings m_settings;
    Ports m_ports;
    std::optional<Configuration> m_configuration;
    std::map<std::int64_t, Wave> m_waves;
    std::unique_ptr<WorkerDirectory> m_directory;
    std::unique_ptr<Leases> m_leases;
    /// Boot clock: when each shard was acquired.
    std::map<std::string, Millis> m_acquiredAt;
    bool m_stopping = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<std::string, std::unique_ptr<PoolOwner>> m_pools;
    std::unique_ptr<FleetOwner> m_fleet;
};

} // namespace hibiscusbridge::jobs
