// Carries out maintenance waves and moves of VMs.
#include "upkeep/fleetowner.hpp"

#include "helpers/json.hpp"
#include "helpers/log.hpp"

#include <cmath>

namespace hibiscusbridge::jobs
{

constexpr const char *waveTable = "waves";
constexpr Millis loadRetryDelay{300};
/// A new fleet whose VMs can't be listed for this long is not divided, since no job is accepted before the division is known.
constexpr Millis maxListDelay{3'000};
/// Older reports are not used for planning.
constexpr Millis maxReportAge{1'500};
/// A pool returns VMs after a surplus of this duration: keeping a VM for this long costs about as much as moving it away
/// and back.
constexpr Millis surplusReleaseDelay{2'500};
/// Weight of one plan in the moving average of the VMs needed. With a plan every 150 ms the time constant is about 20 s.
constexpr double averageWeight = 0.0075;
/// A move is dropped when it is not confirmed, or its VM does not come up, within this time.
constexpr Millis moveTimeout{6'000};

FleetOwner::FleetOwner(std::uint64_t fence, FleetOwnerTimes times, Ports ports)
    : m_fence(fence)
    , m_times(times)
    , m_ports(std::move(ports))
{
}

FleetOwner::~FleetOwner()
{
    *m_alive = false;
}

void FleetOwner::start()
{
    m_startedAt = m_ports.clock.boot();
    load("");
}

void FleetOwner::load(const std::string &from)
{
    m_ports.store.read({waveTable, fleetShard, from, ""}, m_times.storeTimeout, [this, alive = m_alive, from](const ReadResult &result) {
        if (!*alive) {
            return;
        }
        if (result.outcome != ReadOutcome::Answered) {
            return m_ports.timers.after(loadRetryDelay, [this, alive, from] {
                if (*alive) {
                    load(from);
                }
            });
        }
        for (const auto &it : result.rows) {
            const auto json = parseJson(it.value);
            const auto wave = json.is_object() ? numberOf(json, "wave") : 0;
            if (wave <= 0) {
                logEvent(LogLevel::Error, "wave_row_unreadable", {{"key", it.key.key}});
                continue;
            }
            auto &entry = m_waves[wave];
            entry.version = it.version;
            for (auto &vm : textsOf(json, "done")) {
                entry.progress.done.insert(std::move(vm));
            }
            for (auto &vm : textsOf(json, "ordered")) {
                entry.progress.ordered.insert(std::move(vm));
            }
            entry.progress.completed = flagOf(json, "completed");
            entry.statusWritten = true;
        }
        if (result.hasMore && !result.rows.empty()) {
            return load(result.rows.back().key.key + std::string(1, '\x01'));
        }
        m_loaded = true;
        logEvent(LogLevel::Info, "fleet_shard_acquired", {{"fence", m_fence}, {"waves", m_waves.size()}});
        step();
    });
}

void FleetOwner::step()
{
    if (m_ports.mayAct()) {
        for (const auto &[number, wave] : m_ports.waves()) {
            auto &entry = m_waves[number];
            entry.progress.wave = wave;
            if (!entry.statusWritten) {
                entry.statusWritten = true;
                logEvent(LogLevel::Info,
                         "wave_begun",
                         {{"wave", number},
                          {"vms", wave.vms.size()},
                          {"max_at_once", wave.maxAtOnce},
                          {"finish_within_ms", wave.finishWithin.count}});
                writeStatus(number, false);
            }
        }
        for (auto &[number, entry] : m_waves) {
            if (entry.progress.completed && !entry.dirty && !entry.writing && !entry.completionReported) {
                entry.completionReported = true;
                writeStatus(number, true);
            }
        }
        listVms();
    }
    m_ports.timers.after(m_times.stepInterval, [this, alive = m_alive] {
        if (*alive) {
            step();
        }
    });
}

void FleetOwner::listVms()
{
    if (m_listPending) {
        return;
    }
    m_listPending = true;
    const auto requestedAt = m_ports.clock.boot();
    m_ports.vms.list(m_times.callTimeout, [this, alive = m_alive, requestedAt](const VmListResult &result) {
        if (!*alive) {
            return;
        }
        m_listPending = false;
        if (!result.answered) {
            if (m_ports.cells().count == 0 && m_ports.clock.boot() - m_startedAt > maxListDelay) {
                m_ports.vmsCounted(0);
            }
            return logEvent(LogLevel::Warn, "vm_list_failed", {{"error", result.error}});
        }
        m_fleet.vms.clear();
        for (const auto &it : result.vms) {
            m_fleet.vms[it.vm] = it;
        }
        if (m_ports.cells().count == 0) {
            m_ports.vmsCounted(m_fleet.vms.size());
        }
        std::erase_if(m_acceptedAt, [&](const auto &it) {
            const auto listed = m_fleet.vms.find(it.first);
            return it.second < requestedAt && (listed == m_fleet.vms.end() || listed->second.state == VmState::Up);
        });
        std::erase_if(m_activeMoves, [&](const auto &it) {
            const auto &[vm, active] = it;
            const auto listed = m_fleet.vms.find(vm);
            if (listed == m_fleet.vms.end()) {
                return true;
            }
            const bool arrived = listed->second.pool == active.move.to && listed->second.state == VmState::Up;
            return (active.startedAt < requestedAt && arrived) || requestedAt - active.startedAt > moveTimeout;
        });
        m_fleet.inMaintenance.clear();
        for (const auto &[vm, at] : m_acceptedAt) {
            m_fleet.inMaintenance.insert(vm);
        }
        m_fleet.idlePools.clear();
        for (const auto &[vm, listed] : m_fleet.vms) {
            if (m_ports.isIdle(listed.pool)) {
                m_fleet.idlePools.insert(listed.pool);
            }
        }
        if (m_ports.mayAct() && m_ports.cells().count > 0) {
            reconcile();
        }
    });
}

void FleetOwner::reconcile()
{
    std::vector<WaveProgress> waves;
    for (auto &[number, entry] : m_waves) {
        waves.push_back(entry.progress);
        // Unanswered requests, including those of a previous owner, are repeated until they are answered.
        for (const auto &it : entry.progress.ordered) {
            if (!entry.dirty && !entry.writing && !m_pendingMaintenance.contains(it)) {
                requestMaintenance(it, number);
            }
        }
    }
    const auto plan = planMaintenance(waves, m_fleet);
    for (const auto &[vm, number] : plan.removed) {
        logEvent(LogLevel::Info, "wave_vm_gone", {{"wave", number}, {"vm", vm}});
        m_waves[number].progress.done.insert(vm);
    }
    for (const auto number : plan.completed) {
        auto &entry = m_waves[number];
        entry.progress.completed = true;
        logEvent(LogLevel::Info, "wave_completed", {{"wave", number}, {"vms", entry.progress.done.size()}});
        entry.dirty = true;
    }
    for (const auto &[vm, number] : plan.maintain) {
        auto &entry = m_waves[number];
        if (entry.writing) {
            continue;
        }
        entry.progress.ordered.insert(vm);
        entry.dirty = true;
    }
    for (auto &[number, entry] : m_waves) {
        if (entry.dirty && !entry.writing) {
            saveProgress(number);
        }
    }
    m_fleet.draining = plan.drain;
    updateMoves();
    requestReports();
}

std::string FleetOwner::shardOf(const std::string &pool, const std::string &vm) const
{
    const auto cells = m_ports.cells();
    return shardName(cells, pool, cellOf(cells, vm));
}

std::set<std::string> FleetOwner::cordonedVms(const std::string &shard) const
{
    std::set<std::string> names;
    const auto add = [&](const std::string &vm) {
        if (const auto listed = m_fleet.vms.find(vm); listed != m_fleet.vms.end() && shardOf(listed->second.pool, vm) == shard) {
            names.insert(vm);
        }
    };
    for (const auto &it : m_fleet.draining) {
        add(it);
    }
    for (const auto &it : m_plannedMoves) {
        add(it.vm);
    }
    for (const auto &[vm, active] : m_activeMoves) {
        add(vm);
    }
    return names;
}

void FleetOwner::requestReports()
{
    const auto cells = m_ports.cells();
    std::set<std::string> shards;
    for (const auto &pool : m_ports.activePools()) {
        for (int cell = 0; cell < cells.count; ++cell) {
            shards.insert(shardName(cells, pool, cell));
        }
    }
    for (const auto &shard : shards) {
        const auto names = cordonedVms(shard);
        m_ports.requestReport(shard, names, [this, alive = m_alive, shard, names](const std::optional<PoolReport> &report) {
            if (!*alive) {
                return;
            }
            for (const auto &it : names) {
                if (report && report->drained.contains(it)) {
                    m_fleet.drained.insert(it);
                } else {
                    m_fleet.drained.erase(it);
                }
            }
            if (report) {
                auto &received = m_reports[shard];
                received.report = *report;
                received.at = m_ports.clock.boot();
            }
        });
    }
}

/// Number of runs on a VM of the pool; negative when the report does not list the VM.
static int runCount(const PoolReport &report, const std::string &vm)
{
    const auto it = report.vms.find(vm);
    return it != report.vms.end() ? it->second.runs : -1;
}

PoolDemand FleetOwner::demandOf(const std::string &pool, int cell, const MoveSettings &settings)
{
    const auto now = m_ports.clock.boot();
    const auto cells = m_ports.cells();
    auto &received = m_reports[shardName(cells, pool, cell)];
    PoolDemand demand{.report = received.report};
    for (const auto &[vm, listed] : m_fleet.vms) {
        if (cellOf(cells, vm) != cell) {
            continue;
        }
        const auto active = m_activeMoves.find(vm);
        if (active != m_activeMoves.end()) {
            if (active->second.move.to == pool) {
                ++demand.arriving;
            }
            demand.report.vms.erase(vm);
            continue;
        }
        if (m_fleet.draining.contains(vm)) {
            demand.report.vms.erase(vm); // Provides no capacity until its maintenance is complete.
            continue;
        }
        if (listed.pool == pool && listed.state != VmState::Down) {
            demand.vmCpu = listed.capacity.cpuMilli;
            // Returning from maintenance, or up but not yet contacted by the owner of the pool.
            demand.arriving += received.report.vms.contains(vm) ? 0 : 1;
        }
    }
    const int have = static_cast<int>(demand.report.vms.size()) + demand.arriving;
    const int need = neededVms(demand, settings);
    received.averageVms = received.averageVms < 1 ? have : received.averageVms + (need - received.averageVms) * averageWeight;
    demand.averageVms = static_cast<int>(std::lround(received.averageVms));
    const bool surplus = have > wantedVms(demand, settings);
    received.surplusSince = !surplus ? Millis{} : received.surplusSince.count == 0 ? now : received.surplusSince;
    demand.sustainedSurplus = surplus && now - received.surplusSince > surplusReleaseDelay;
    return demand;
}

FleetDemand FleetOwner::demandOf(int cell, const MoveSettings &settings)
{
    const auto cells = m_ports.cells();
    FleetDemand fleet;
    for (const auto &it : m_ports.standbyPools()) {
        fleet.standby[it] = {};
    }
    for (const auto &[vm, listed] : m_fleet.vms) {
        if (cellOf(cells, vm) != cell) {
            continue;
        }
        const bool free = listed.state == VmState::Up && !m_activeMoves.contains(vm);
        if (const auto standby = fleet.standby.find(listed.pool); free && standby != fleet.standby.end()) {
            standby->second.push_back(vm);
        }
        if (!free || m_fleet.draining.contains(vm) || m_fleet.inMaintenance.contains(vm)) {
            fleet.pinned.insert(vm);
        }
    }
    for (const auto &pool : m_ports.activePools()) {
        const auto received = m_reports.find(shardName(cells, pool, cell));
        if (received != m_reports.end() && m_ports.clock.boot() - received->second.at <= maxReportAge) {
            fleet.pools[pool] = demandOf(pool, cell, settings);
        }
    }
    fleet.planned = m_plannedMoves;
    return fleet;
}

/// Starts the moves that demand requires and drops planned moves that it no longer requires. VMs stay in their cell.
void FleetOwner::updateMoves()
{
    const auto cells = m_ports.cells();
    MoveSettings settings;
    settings.maxMoves = std::max(settings.maxMoves, static_cast<int>(m_fleet.vms.size()) / settings.vmsPerMove) / cells.count;
    std::vector<VmMove> planned;
    for (int cell = 0; cell < cells.count; ++cell) {
        const auto moves = planMoves(demandOf(cell, settings), settings);
        planned.insert(planned.end(), moves.begin(), moves.end());
    }
    m_plannedMoves = std::move(planned);
    for (const auto &it : std::vector<VmMove>(m_plannedMoves)) {
        const auto received = m_reports.find(shardOf(it.from, it.vm));
        const bool idle = received != m_reports.end() && runCount(received->second.report, it.vm) == 0;
        if (idle || m_ports.isIdle(it.from) || m_fleet.drained.contains(it.vm)) {
            beginMove(it);
        }
    }
}

void FleetOwner::beginMove(const VmMove &move)
{
    m_activeMoves[move.vm] = {move, m_ports.clock.boot(), false};
    std::erase(m_plannedMoves, move);
    if (m_ports.isIdle(move.from)) {
        return sendMove(move);
    }
    // The pool keeps the VM cordoned once it has answered.
    const auto shard = shardOf(move.from, move.vm);
    m_ports.requestReport(shard, cordonedVms(shard), [this, alive = m_alive, move](const std::optional<PoolReport> &report) {
        if (!*alive) {
            return;
        }
        if (!report || !report->drained.contains(move.vm) || !m_ports.mayAct()) {
            m_activeMoves.erase(move.vm);
            return;
        }
        sendMove(move);
    });
}

void FleetOwner::sendMove(const VmMove &move)
{
    const auto now = m_ports.clock.boot();
    m_ports.vms.move(move.vm,
                     move.to,
                     {m_ports.holder, m_fence},
                     m_times.callTimeout,
                     m_ports.mayAct,
                     [this, alive = m_alive, move, now](VmActionOutcome outcome) {
                         if (*alive) {
                             onMoveResult(move, now, outcome);
                         }
                     });
}

void FleetOwner::onMoveResult(const VmMove &move, Millis sentAt, VmActionOutcome outcome)
{
    logEvent(LogLevel::Info,
             "vm_move",
             {{"vm", move.vm},
              {"from", move.from},
              {"to", move.to},
              {"outcome", nameOf(outcome)},
              {"call_ms", (m_ports.clock.boot() - sentAt).count}});
    switch (outcome) {
    case VmActionOutcome::Accepted:
        m_activeMoves[move.vm] = {move, m_ports.clock.boot(), true};
        break;
    case VmActionOutcome::Fenced:
        m_activeMoves.erase(move.vm);
        return m_ports.superseded("the platform has seen a higher fencing token");
    case VmActionOutcome::Unknown:
        break; // Dropped after moveTimeout unless the VM list shows that the VM has arrived.
    default:
        m_activeMoves.erase(move.vm);
        break;
    }
}

void FleetOwner::saveProgress(std::int64_t wave)
{
    auto &entry = m_waves[wave];
    entry.writing = true;
    entry.dirty = false;
    const auto &progress = entry.progress;
    const Json json{{"wave", wave}, {"done", progress.done}, {"ordered", progress.ordered}, {"completed", progress.completed}};
    const RowKey key{waveTable, fleetShard, std::to_string(wave)};
    RowTransaction tx;
    tx.conditions.push_back(m_ports.condition());
    tx.conditions.push_back({key, entry.version});
    tx.puts.push_back({key, json.dump()});
    m_ports.store.commit(std::move(tx), m_times.storeTimeout, [this, alive = m_alive, wave](const CommitResult &result) {
        if (!*alive) {
            return;
        }
        auto &it = m_waves[wave];
        it.writing = false;
        if (result.outcome == CommitOutcome::Applied) {
            it.version = result.version;
            return;
        }
        it.dirty = true;
        for (const auto &row : result.current) {
            if (row.key.table == waveTable) {
                it.version = row.version;
            } else if (row.version != m_ports.condition().version) {
                return m_ports.superseded("the claim has changed");
            }
        }
        logEvent(LogLevel::Warn, "wave_not_recorded", {{"wave", wave}, {"error", result.error}});
    });
}

/// Requests another report immediately before the maintenance request: the owner of the pool may have changed since the
/// VM was reported as drained.
void FleetOwner::requestMaintenance(const std::string &vm, std::int64_t wave)
{
    const auto listed = m_fleet.vms.find(vm);
    if (listed == m_fleet.vms.end()) {
        return;
    }
    const auto &pool = listed->second.pool;
    m_pendingMaintenance.insert(vm);
    if (m_fleet.idlePools.contains(pool)) {
        return sendMaintenance(vm, wave);
    }
    const auto shard = shardOf(pool, vm);
    auto names = cordonedVms(shard);
    names.insert(vm);
    m_ports.requestReport(shard, names, [this, alive = m_alive, vm, wave](const std::optional<PoolReport> &report) {
        if (!*alive) {
            return;
        }
        if (!report || !report->drained.contains(vm) || !m_ports.mayAct()) {
            m_pendingMaintenance.erase(vm);
            return;
        }
        sendMaintenance(vm, wave);
    });
}

void FleetOwner::sendMaintenance(const std::string &vm, std::int64_t wave)
{
    const auto now = m_ports.clock.boot();
    m_ports.vms.maintain(vm,
                         wave,
                         {m_ports.holder, m_fence},
                         m_times.callTimeout,
                         m_ports.mayAct,
                         [this, alive = m_alive, vm, wave, now](VmActionOutcome outcome) {
                             if (*alive) {
                                 onMaintenanceResult(vm, wave, now, outcome);
                             }
                         });
}

void FleetOwner::onMaintenanceResult(const std::string &vm, std::int64_t wave, Millis sentAt, VmActionOutcome outcome)
{
    logEvent(LogLevel::Info,
             "vm_maintenance",
             {{"vm", vm}, {"wave", wave}, {"outcome", nameOf(outcome)}, {"call_ms", (m_ports.clock.boot() - sentAt).count}});
    auto &entry = m_waves[wave];
    switch (outcome) {
    case VmActionOutcome::Accepted:
        entry.progress.ordered.erase(vm);
        entry.progress.done.insert(vm);
        entry.dirty = true;
        m_acceptedAt[vm] = m_ports.clock.boot();
        m_fleet.inMaintenance.insert(vm);
        m_fleet.drained.erase(vm);
        break;
    case VmActionOutcome::Busy:
        entry.progress.ordered.erase(vm);
        entry.dirty = true;
        break;
    case VmActionOutcome::NotInWave:
    case VmActionOutcome::Rejected:
        entry.progress.ordered.erase(vm);
        entry.progress.done.insert(vm);
        entry.dirty = true;
        break;
    case VmActionOutcome::Fenced:
        m_pendingMaintenance.erase(vm);
        return m_ports.superseded("the platform has seen a higher fencing token");
    case VmActionOutcome::Refused:
    case VmActionOutcome::Unknown:
        m_ports.timers.after(m_times.retryDelay, [this, alive = m_alive, vm] {
            if (*alive) {
                m_pendingMaintenance.erase(vm);
            }
        });
        return;
    }
    m_pendingMaintenance.erase(vm);
}

void FleetOwner::writeStatus(std::int64_t wave, bool completed)
{
    RowTransaction tx;
    tx.conditions.push_back(m_ports.condition());
    tx.puts.push_back(m_ports.waveStatus(wave, completed));
    tx.spansParts = true;
    m_ports.store.commit(std::move(tx), m_times.storeTimeout, [this, alive = m_alive, wave, completed](const CommitResult &result) {
        if (!*alive || result.outcome == CommitOutcome::Applied || result.outcome == CommitOutcome::Conflict) {
            return;
        }
        logEvent(LogLevel::Warn, "wave_status_not_written", {{"wave", wave}, {"error", result.error}});
        m_ports.timers.after(m_times.retryDelay, [this, alive, wave, completed] {
            if (*alive) {
                writeStatus(wave, completed);
            }
        });
    });
}

} // namespace hibiscusbridge::jobs
