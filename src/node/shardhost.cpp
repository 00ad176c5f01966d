// Acquires, releases and balances the shards of this entry.
#include "node/shardhost.hpp"

#include "helpers/json.hpp"
#include "helpers/log.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

/// VMs stay cordoned for this long after the last request.
constexpr Millis cordonDuration{2'000};
/// Covers worker clocks that run up to 2 % slow, and the age of the last observed renewal of the previous owner.
constexpr Millis previousLeaseMargin{500};

/// Claim delay on a VM with one core; it is inversely proportional to the CPU. Other entries see a claim after about 10 ms.
/// With an eighth of a core the delay is 240 ms, small compared to the 2 s after which a lease expires.
constexpr double claimDelayMsPerCore = 30;

/// Renewal requests to workers per second that use half of one core, at about 0.15 ms each.
constexpr double renewalsPerSecondPerCore = 3'200;

/// Interval between checks of the balance. A shard stays with an owner for at least `minShardTenure`, so that the cost of a
/// hand-over is recovered.
constexpr Millis balanceInterval{1'000};
constexpr Millis minShardTenure{3'000};

/// Jobs submitted within this time may be missing from the queue length that callers get; an older length is not given to them.
/// Callers are promised that a job is counted 5 s after its acceptance.
constexpr Millis maxQueueCountAge{4'000};

/// Row of the claim table, in the part of the fleet's shard, that holds the number of cells. All entries follow that table.
constexpr const char *cellsKey = "cells";
constexpr Millis layoutWriteTimeout{1'500};

static double cpuOf(const EntrySettings &settings)
{
    return settings.cpuShare * settings.cpuSpeed;
}

static LeaseTimes leaseTimes(const EntrySettings &settings)
{
    LeaseTimes times;
    times.claimDelay = {static_cast<std::int64_t>(claimDelayMsPerCore / cpuOf(settings))};
    return times;
}

ShardHost::ShardHost(const EntrySettings &settings, Ports ports)
    : m_settings(settings)
    , m_ports(std::move(ports))
    , m_queuePools({.store = m_ports.store, .timers = m_ports.timers, .clock = m_ports.clock, .changed = [this] {
                        if (m_configuration) {
                            updateShards();
                        }
                    }})
{
    Leases::Callbacks callbacks;
    callbacks.acquired = [this](const std::string &shard, std::uint64_t fence, bool handedOver) {
        onAcquired(shard, fence, handedOver);
    };
    callbacks.lost = [this](const std::string &shard) {
        onLost(shard);
    };
    callbacks.status = [this](const std::string &shard) {
        const auto it = m_pools.find(shard);
        return it != m_pools.end() ? it->second->status() : std::string();
    };
    callbacks.otherRow = [this](const Row &row) {
        onLayoutRow(row);
    };
    m_leases = std::make_unique<Leases>(m_ports.store,
                                        m_ports.timers,
                                        m_ports.clock,
                                        LeaseHolder{m_settings.name, m_settings.peerAddress, cpuOf(m_settings)},
                                        leaseTimes(m_settings),
                                        std::move(callbacks));
}

ShardHost::~ShardHost()
{
    *m_alive = false;
    m_pools.clear();
    m_fleet.reset();
}

void ShardHost::start()
{
    m_leases->start();
    m_queuePools.start();
    balance();
}

void ShardHost::balance()
{
    const auto now = m_ports.clock.boot();
    // Without the store, ownership is unknown and a claim would fail.
    if (!m_stopping && m_ports.requestShard && now - m_leases->lastAnswerAt() < balanceInterval) {
        const auto others = m_leases->heldByOthers();
        const int held = static_cast<int>(m_leases->held().size());
        if (const auto shard = shardToRequest(cpuOf(m_settings), held, others)) {
            m_ports.requestShard(others.at(*shard).address, *shard, held);
        }
    }
    m_ports.timers.after(balanceInterval, [this, alive = m_alive] {
        if (*alive) {
            balance();
        }
    });
}

bool ShardHost::onShardRequest(const std::string &shard, const std::string &entry, double cpu, int held)
{
    const auto acquired = m_acquiredAt.find(shard);
    if (m_stopping || !m_leases->isSoleOwner(shard) || acquired == m_acquiredAt.end()
        || m_ports.clock.boot() - acquired->second < minShardTenure) {
        return false;
    }
    if (!shouldHandOver(cpuOf(m_settings), static_cast<int>(m_leases->held().size()), cpu, held)) {
        return false;
    }
    m_leases->handOver(shard, entry);
    return true;
}

void ShardHost::stop(std::function<void()> done)
{
    m_stopping = true;
    m_leases->stop(std::move(done));
}

void ShardHost::setConfiguration(Configuration configuration)
{
    if (m_configuration && configuration.version <= m_configuration->version) {
        return;
    }
    logEvent(LogLevel::Info,
             "configuration",
             {{"version", configuration.version},
              {"replaces", m_configuration ? m_configuration->version : 0},
              {"queues", configuration.queues.size()},
              {"pools", configuration.pools.size()}});
    m_configuration = std::move(configuration);
    updateShards();
}

void ShardHost::setWave(const Wave &wave)
{
    m_waves[wave.number] = wave;
}

std::set<std::string> ShardHost::activePools() const
{
    std::set<std::string> pools;
    for (const auto &it : m_configuration->queues) {
        pools.insert(it.pool);
    }
    for (const auto &it : m_queuePools.pools()) {
        if (isPool(it)) {
            pools.insert(it);
        }
    }
    return pools;
}

std::vector<std::string> ShardHost::poolsOf(const Queue &queue) const
{
    std::vector<std::string> pools;
    for (const auto &it : m_queuePools.of(queue)) {
        if (std::find(pools.begin(), pools.end(), it.pool) == pools.end()) {
            pools.push_back(it.pool);
        }
    }
    return pools;
}

void ShardHost::updateShards()
{
    std::set<std::string> shards{fleetShard};
    for (const auto &pool : activePools()) {
        for (int cell = 0; cell < m_cells.count; ++cell) {
            const auto name = shardName(m_cells, pool, cell);
            m_poolShards[name] = {pool, cell};
            shards.insert(name);
        }
    }
    m_leases->setShards(shards);
}

void ShardHost::onLayoutRow(const Row &row)
{
    if (row.key.part != fleetShard || row.key.key != cellsKey || m_cells.count > 0) {
        return;
    }
    const auto json = parseJson(row.value);
    const Cells cells{json.is_object() ? intOf(json, "cells") : 0};
    if (cells.count < 1) {
        return logEvent(LogLevel::Error, "cells_unreadable", {{"version", row.version}});
    }
    logEvent(LogLevel::Info, "cells_known", {{"cells", cells.count}, {"version", row.version}});
    m_cells = cells;
    if (m_configuration) {
        updateShards();
    }
}

/// Stores the number of cells if no entry has done so yet. It never changes afterwards: a job is found by it.
void ShardHost::decideCells(std::size_t vms)
{
    if (m_cells.count > 0 || m_decidingCells) {
        return;
    }
    m_decidingCells = true;
    const RowKey key{claimTable, fleetShard, cellsKey};
    const Json json{{"cells", cellsFor(vms, activePools().size()).count}, {"vms", vms}};
    RowTransaction tx;
    tx.conditions = {m_leases->condition(fleetShard), {key, 0}};
    tx.puts.push_back({key, json.dump()});
    m_ports.store.commit(std::move(tx), layoutWriteTimeout, [this, alive = m_alive](const CommitResult &result) {
        if (!*alive) {
            return;
        }
        m_decidingCells = false;
        // The row itself arrives with the feed of the claim table.
        if (result.outcome != CommitOutcome::Applied) {
            logEvent(LogLevel::Warn, "cells_not_stored", {{"error", result.error}});
        }
    });
}

std::vector<std::string> ShardHost::shardsOf(const std::string &pool, const std::string &job) const
{
    if (m_cells.count == 0) {
        return {};
    }
    std::vector<std::string> shards{shardName(m_cells, pool, cellOf(m_cells, job))};
    if (auto longRunning = shardName(m_cells, pool, longRunningCell(m_cells, pool)); longRunning != shards.front()) {
        shards.push_back(std::move(longRunning));
    }
    return shards;
}

std::vector<WorkerRegistration> ShardHost::workersOf(const PoolShard &shard) const
{
    auto workers = m_directory->workersOf(shard.pool);
    std::erase_if(workers, [&](const WorkerRegistration &it) { return cellOf(m_cells, it.vm.empty() ? it.id : it.vm) != shard.cell; });
    return workers;
}

bool ShardHost::isPool(const std::string &name) const
{
    return std::any_of(m_configuration->pools.begin(), m_configuration->pools.end(), [&](const PoolConfig &it) { return it.name == name; });
}

std::set<std::string> ShardHost::standbyPools() const
{
    std::set<std::string> pools;
    for (const auto &it : m_configuration->pools) {
        if (it.standby) {
            pools.insert(it.name);
        }
    }
    for (const auto &it : activePools()) {
        pools.erase(it);
    }
    return pools;
}

std::optional<PublishedLoad> ShardHost::publishedLoad(const std::string &shard) const
{
    const auto *const owner = m_leases->owner(shard);
    return owner ? decodePublishedLoad(owner->status) : std::nullopt;
}

int ShardHost::queuedJobs(const Queue &queue) const
{
    int queued = m_cells.count > 0 ? 0 : -1;
    for (const auto &[pool, route] : m_queuePools.of(queue)) {
        for (int cell = 0; cell < m_cells.count; ++cell) {
            const auto load = publishedLoad(shardName(m_cells, pool, cell));
            if (!load || m_leases->storeTime() - load->submissionsAsOf > maxQueueCountAge) {
                return -1;
            }
            const auto it = load->queuedByRoute.find(route);
            queued += it != load->queuedByRoute.end() ? it->second : 0;
        }
    }
    return queued;
}

std::unique_ptr<PoolOwner> ShardHost::makePoolOwner(const std::string &shard, std::uint64_t fence, bool handedOver)
{
    PoolTimes times;
    times.maxLease = m_settings.holdMax;
    const auto &lease = m_leases->times();
    // The grants of an expired owner end at most `renewDeadline` after its last renewal, of which `leaseDuration` has already
    // passed.
    times.previousOwnerLease = (handedOver ? times.lease : lease.renewDeadline - lease.leaseDuration) + previousLeaseMargin;
    PoolOwnerTimes ownTimes;
    ownTimes.holdsPerSecond = renewalsPerSecondPerCore * cpuOf(m_settings);
    ownTimes.jobRetention = m_settings.jobStatus + m_settings.jobStatus / 2;
    PoolOwner::Ports ports{
        .store = m_ports.store,
        .limits = storeLimits(),
        .workers = m_ports.workers,
        .advice = m_ports.advice,
        .timers = m_ports.timers,
        .clock = m_ports.clock,
        .isOwner = [this, shard] { return m_leases->holds(shard); },
        .isSoleOwner = [this, shard] { return m_leases->isSoleOwner(shard); },
        .leaseLimit = [this, shard] { return m_leases->expiresAt(shard); },
        .condition = [this, shard] { return m_leases->condition(shard); },
        .registeredWorkers = [this, shard] { return workersOf(m_poolShards.at(shard)); },
        .endedWorkers = [this] { return m_directory->replacedWorkers(); },
        .superseded = [this, shard](const std::string &reason) { m_leases->loseShard(shard, reason); },
        .ackDelayed = m_ports.ackDelayed,
    };
    return std::make_unique<PoolOwner>(shard, fence, times, ownTimes, std::move(ports));
}

Millis ShardHost::oldestUnackedEndAge() const
{
    Millis oldest;
    for (const auto &[shard, owner] : m_pools) {
        oldest = std::max(oldest, owner->oldestUnackedEndAge());
    }
    return oldest;
}

std::unique_ptr<FleetOwner> ShardHost::makeFleetOwner(std::uint64_t fence)
{
    FleetOwner::Ports ports{
        .store = m_ports.store,
        .vms = m_ports.vms,
        .timers = m_ports.timers,
        .clock = m_ports.clock,
        .holder = m_settings.name,
        .mayAct = [this] { return m_leases->isSoleOwner(fleetShard); },
        .condition = [this] { return m_leases->condition(fleetShard); },
        .waves = [this]() -> const std::map<std::int64_t, Wave> & { return m_waves; },
        .isIdle = [this](const std::string &pool) { return !activePools().contains(pool); },
        .standbyPools = [this] { return standbyPools(); },
        .activePools = [this] { return activePools(); },
        .cells = [this] { return m_cells; },
        .vmsCounted = [this](std::size_t vms) { decideCells(vms); },
        .waveStatus = m_ports.waveStatus,
        .requestReport =
            [this](const std::string &shard,
                   const std::set<std::string> &cordonedVms,
                   std::function<void(std::optional<PoolReport>)> done) { requestReport(shard, cordonedVms, std::move(done)); },
        .superseded = [this](const std::string &reason) { m_leases->loseShard(fleetShard, reason); },
    };
    return std::make_unique<FleetOwner>(fence, FleetOwnerTimes{}, std::move(ports));
}

void ShardHost::onAcquired(const std::string &shard, std::uint64_t fence, bool handedOver)
{
    m_acquiredAt[shard] = m_ports.clock.boot();
    if (shard == fleetShard) {
        m_fleet = makeFleetOwner(fence);
        return m_fleet->start();
    }
    if (!m_directory) {
        m_directory = std::make_unique<WorkerDirectory>(
            WorkerDirectory::Ports{.store = m_ports.store,
                                   .timers = m_ports.timers,
                                   .clock = m_ports.clock,
                                   .table = m_ports.workerTable,
                                   .decode = m_ports.decodeWorker,
                                   .isService = [this](const std::string &service) { return isPool(service); },
                                   .changed =
                                       [this] {
                                           for (const auto &[pool, owner] : m_pools) {
                                               owner->onWorkersChanged();
                                           }
                                       }});
    }
    auto &owner = m_pools[shard];
    owner = makePoolOwner(shard, fence, handedOver);
    owner->start();
}

void ShardHost::onLost(const std::string &shard)
{
    // The owner may be on the call stack, so its destruction is deferred.
    if (shard == fleetShard) {
        m_fleet->retire();
        m_ports.timers.after({0}, [fleet = std::shared_ptr<FleetOwner>(std::move(m_fleet))] {});
        return;
    }
    if (auto it = m_pools.extract(shard); !it.empty()) {
        it.mapped()->retire();
        m_ports.timers.after({0}, [pool = std::shared_ptr<PoolOwner>(std::move(it.mapped()))] {});
    }
}

std::optional<PoolReport> ShardHost::report(const std::string &shard, const std::set<std::string> &cordonedVms)
{
    const auto it = m_pools.find(shard);
    return it != m_pools.end() ? it->second->report(cordonedVms, m_ports.clock.boot() + cordonDuration) : std::nullopt;
}

void ShardHost::requestReport(const std::string &shard,
                              const std::set<std::string> &cordonedVms,
                              std::function<void(std::optional<PoolReport>)> done)
{
    if (m_pools.contains(shard)) {
        return done(report(shard, cordonedVms));
    }
    const auto *const owner = m_leases->owner(shard);
    if (!owner || owner->address.empty()) {
        return done(std::nullopt);
    }
    m_ports.requestPeerReport(owner->address, shard, cordonedVms, std::move(done));
}

} // namespace hibiscusbridge::jobs
