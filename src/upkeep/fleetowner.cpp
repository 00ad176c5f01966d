// Carries out maintenance waves.
#include "upkeep/fleetowner.hpp"

#include "helpers/log.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace hibiscusbridge::jobs
{

using Json = nlohmann::json;

constexpr const char *waveTable = "waves";
constexpr Millis loadRetry{300};
/// A report older than this says nothing about demand now.
constexpr Millis reportAge{1'500};
/// A pool with more VMs than it needs for this long gives some back: a VM in a pool for this time costs about as much as
/// moving it away and back.
constexpr Millis giveBackAfter{2'500};
/// Weight of one more plan in the usual need; with a plan each step it forgets within about 20 s.
constexpr double usualWeight = 0.0075;
/// A move that was not answered, or whose VM did not come up, is forgotten after this time.
constexpr Millis moveGivenUp{6'000};

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
    load();
}

void FleetOwner::load()
{
    m_ports.store.read({waveTable, fleetShard, "", ""}, m_times.storeTimeout, [this, alive = m_alive](const ReadResult &result) {
        if (!*alive) {
            return;
        }
        if (result.outcome != ReadOutcome::Answered) {
            return m_ports.timers.after(loadRetry, [this, alive] {
                if (*alive) {
                    load();
                }
            });
        }
        for (const auto &it : result.rows) {
            const auto json = Json::parse(it.value, nullptr, false);
            if (!json.is_object() || !json.contains("wave")) {
                logEvent(LogLevel::Error, "wave_row_unreadable", {{"key", it.key.key}});
                continue;
            }
            auto &entry = m_waves[json["wave"].get<std::int64_t>()];
            entry.version = it.version;
            entry.progress.done = json.value("done", std::set<std::string>());
            entry.progress.ordered = json.value("ordered", std::set<std::string>());
            entry.progress.completed = json.value("completed", false);
            entry.statusWritten = true;
        }
        m_loaded = true;
        logEvent(LogLevel::Info, "fleet_taken_over", {{"fence", m_fence}, {"waves", m_waves.size()}});
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
            if (entry.progress.completed && !entry.dirty && !entry.writing && !entry.completionTold) {
                entry.completionTold = true;
                writeStatus(number, true);
            }
        }
        readList();
    }
    m_ports.timers.after(m_times.step, [this, alive = m_alive] {
        if (*alive) {
            step();
        }
    });
}

void FleetOwner::readList()
{
    if (m_listing) {
        return;
    }
    m_listing = true;
    const auto askedAt = m_ports.clock.boot();
    m_ports.vms.list(m_times.callTimeout, [this, alive = m_alive, askedAt](const VmListResult &result) {
        if (!*alive) {
            return;
        }
        m_listing = false;
        if (!result.answered) {
            return logEvent(LogLevel::Warn, "vm_list_failed", {{"error", result.error}});
        }
        m_fleet.vms.clear();
        for (const auto &it : result.vms) {
            m_fleet.vms[it.vm] = it;
        }
        std::erase_if(m_acceptedAt, [&](const auto &it) {
            const auto listed = m_fleet.vms.find(it.first);
            return it.second < askedAt && (listed == m_fleet.vms.end() || listed->second.state == VmState::Up);
        });
        std::erase_if(m_moving, [&](const auto &it) {
            const auto &[vm, moving] = it;
            const auto listed = m_fleet.vms.find(vm);
            if (listed == m_fleet.vms.end()) {
                return true;
            }
            const bool arrived = listed->second.pool == moving.move.to && listed->second.state == VmState::Up;
            return (moving.orderedAt < askedAt && arrived) || askedAt - moving.orderedAt > moveGivenUp;
        });
        m_fleet.away.clear();
        for (const auto &[vm, at] : m_acceptedAt) {
            m_fleet.away.insert(vm);
        }
        m_fleet.idlePools.clear();
        for (const auto &[vm, listed] : m_fleet.vms) {
            if (m_ports.isIdle(listed.pool)) {
                m_fleet.idlePools.insert(listed.pool);
            }
        }
        if (m_ports.mayAct()) {
            act();
        }
    });
}

void FleetOwner::act()
{
    std::vector<WaveProgress> waves;
    for (auto &[number, entry] : m_waves) {
        waves.push_back(entry.progress);
        // Orders of a former owner, or of ours without an answer, are repeated until they are answered.
        for (const auto &it : entry.progress.ordered) {
            if (!entry.dirty && !entry.writing && !m_calling.contains(it)) {
                order(it, number);
            }
        }
    }
    const auto plan = planMaintenance(waves, m_fleet);
    for (const auto &[vm, number] : plan.gone) {
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
            record(number);
        }
    }
    m_fleet.emptying = plan.empty;
    planMovesNow();
    askPools();
}

std::set<std::string> FleetOwner::keptEmpty(const std::string &pool) const
{
    std::set<std::string> names;
    const auto add = [&](const std::string &vm) {
        if (const auto listed = m_fleet.vms.find(vm); listed != m_fleet.vms.end() && listed->second.pool == pool) {
            names.insert(vm);
        }
    };
    for (const auto &it : m_fleet.emptying) {
        add(it);
    }
    for (const auto &it : m_planned) {
        add(it.vm);
    }
    for (const auto &[vm, moving] : m_moving) {
        add(vm);
    }
    return names;
}

void FleetOwner::askPools()
{
    for (const auto &pool : m_ports.busyPools()) {
        const auto names = keptEmpty(pool);
        m_ports.askPool(pool, names, [this, alive = m_alive, pool, names](const std::optional<PoolReport> &report) {
            if (!*alive) {
                return;
            }
            for (const auto &it : names) {
                if (report && report->empty.contains(it)) {
                    m_fleet.empty.insert(it);
                } else {
                    m_fleet.empty.erase(it);
                }
            }
            if (report) {
                auto &known = m_reports[pool];
                known.report = *report;
                known.at = m_ports.clock.boot();
            }
        });
    }
}

/// Runs on a VM of the pool; negative when the report does not name it.
static int runsOn(const PoolReport &report, const std::string &vm)
{
    const auto it = report.vms.find(vm);
    return it != report.vms.end() ? it->second.runs : -1;
}

/// Begins the moves that demand asks for and gives up planned ones that it does not ask for any more.
void FleetOwner::planMovesNow()
{
    const auto now = m_ports.clock.boot();
    MoveSettings settings;
    settings.maxMoves = std::max(settings.maxMoves, static_cast<int>(m_fleet.vms.size()) / settings.moveShare);
    FleetDemand fleet;
    for (const auto &[vm, listed] : m_fleet.vms) {
        const bool free = listed.state == VmState::Up && !m_moving.contains(vm);
        if (m_ports.isIdle(listed.pool) && m_ports.isStandby(listed.pool)) {
            auto &vms = fleet.standby[listed.pool];
            if (free) {
                vms.push_back(vm);
            }
        }
        if (!free || m_fleet.emptying.contains(vm) || m_fleet.away.contains(vm)) {
            fleet.pinned.insert(vm);
        }
    }
    for (auto &[pool, known] : m_reports) {
        if (now - known.at > reportAge || !m_ports.busyPools().contains(pool)) {
            continue;
        }
        auto &demand = fleet.pools[pool];
        demand.report = known.report;
        for (const auto &[vm, listed] : m_fleet.vms) {
            const auto moving = m_moving.find(vm);
            if (moving != m_moving.end()) {
                if (moving->second.move.to == pool) {
                    ++demand.arriving;
                }
                demand.report.vms.erase(vm);
                continue;
            }
            if (m_fleet.emptying.contains(vm)) {
                demand.report.vms.erase(vm); // Does no work until its maintenance is over.
                continue;
            }
            if (listed.pool == pool && listed.state != VmState::Down) {
                demand.vmCpu = listed.capacity.cpuMilli;
                // On its way back from maintenance, or up and not heard by the pool's owner yet.
                demand.arriving += known.report.vms.contains(vm) ? 0 : 1;
            }
        }
        const int have = static_cast<int>(demand.report.vms.size()) + demand.arriving;
        const int need = neededVms(demand, settings);
        known.usualVms = known.usualVms < 1 ? have : known.usualVms + (need - known.usualVms) * usualWeight;
        demand.usualVms = static_cast<int>(std::lround(known.usualVms));
        const bool surplus = have > need;
        known.surplusSince = !surplus ? Millis{} : known.surplusSince.count == 0 ? now : known.surplusSince;
        demand.idleLong = surplus && now - known.surplusSince > giveBackAfter;
    }
    fleet.planned = m_planned;
    m_planned = planMoves(fleet, settings);
    for (const auto &it : std::vector<VmMove>(m_planned)) {
        const auto known = m_reports.find(it.from);
        const bool idle = known != m_reports.end() && runsOn(known->second.report, it.vm) == 0;
        if (idle || m_ports.isIdle(it.from) || m_fleet.empty.contains(it.vm)) {
            beginMove(it);
        }
    }
}

void FleetOwner::beginMove(const VmMove &move)
{
    m_moving[move.vm] = {move, m_ports.clock.boot(), false};
    std::erase(m_planned, move);
    if (m_ports.isIdle(move.from)) {
        return sendMove(move);
    }
    // The pool keeps the VM empty from its answer on.
    m_ports.askPool(move.from, keptEmpty(move.from), [this, alive = m_alive, move](const std::optional<PoolReport> &report) {
        if (!*alive) {
            return;
        }
        if (!report || !report->empty.contains(move.vm) || !m_ports.mayAct()) {
            m_moving.erase(move.vm);
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
                             onMoved(move, now, outcome);
                         }
                     });
}

void FleetOwner::onMoved(const VmMove &move, Millis sentAt, VmActionOutcome outcome)
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
        m_moving[move.vm] = {move, m_ports.clock.boot(), true};
        break;
    case VmActionOutcome::Fenced:
        m_moving.erase(move.vm);
        return m_ports.superseded("the platform has seen a higher fencing token");
    case VmActionOutcome::Unknown:
        break; // Given up when the list has shown the VM in its old place for long enough.
    default:
        m_moving.erase(move.vm);
        break;
    }
}

void FleetOwner::record(std::int64_t wave)
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

/// Asks the pool once more right before the order: its owner may have changed since it reported the VM as empty.
void FleetOwner::order(const std::string &vm, std::int64_t wave)
{
    const auto listed = m_fleet.vms.find(vm);
    if (listed == m_fleet.vms.end()) {
        return;
    }
    const auto &pool = listed->second.pool;
    m_calling.insert(vm);
    if (m_fleet.idlePools.contains(pool)) {
        return maintain(vm, wave);
    }
    auto names = keptEmpty(pool);
    names.insert(vm);
    m_ports.askPool(pool, names, [this, alive = m_alive, vm, wave](const std::optional<PoolReport> &report) {
        if (!*alive) {
            return;
        }
        if (!report || !report->empty.contains(vm) || !m_ports.mayAct()) {
            m_calling.erase(vm);
            return;
        }
        maintain(vm, wave);
    });
}

void FleetOwner::maintain(const std::string &vm, std::int64_t wave)
{
    const auto now = m_ports.clock.boot();
    m_ports.vms.maintain(vm,
                         wave,
                         {m_ports.holder, m_fence},
                         m_times.callTimeout,
                         m_ports.mayAct,
                         [this, alive = m_alive, vm, wave, now](VmActionOutcome outcome) {
                             if (*alive) {
                                 onOrdered(vm, wave, now, outcome);
                             }
                         });
}

void FleetOwner::onOrdered(const std::string &vm, std::int64_t wave, Millis sentAt, VmActionOutcome outcome)
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
        m_fleet.away.insert(vm);
        m_fleet.empty.erase(vm);
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
        m_calling.erase(vm);
        return m_ports.superseded("the platform has seen a higher fencing token");
    case VmActionOutcome::Refused:
    case VmActionOutcome::Unknown:
        m_ports.timers.after(m_times.repeat, [this, alive = m_alive, vm] {
            if (*alive) {
                m_calling.erase(vm);
            }
        });
        return;
    }
    m_calling.erase(vm);
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
        m_ports.timers.after(m_times.repeat, [this, alive, wave, completed] {
            if (*alive) {
                writeStatus(wave, completed);
            }
        });
    });
}

} // namespace hibiscusbridge::jobs
