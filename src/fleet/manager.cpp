// Carries out the operations that this entry owns.
#include "fleet/manager.hpp"

#include "fleet/auditentries.hpp"
#include "fleet/changes.hpp"
#include "helpers/ids.hpp"
#include "helpers/log.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace hibiscusbridge
{

constexpr Millis tickInterval{1'000};
/// The list has a line for every VM; read each second by every entry it alone exceeded the budget for control traffic.
constexpr Millis listInterval{3'000};
/// Interval of the one entry that looks for VMs that the platform takes away.
constexpr Millis leavingListInterval{5'000};
constexpr std::string_view leavingSubject = "leaving-vms";
/// An older view may show a VM as out of service that has returned; shorter than `settleTime`.
constexpr Millis maxViewAge{3'000};
constexpr Millis perhapsDoneTime{10'000};
constexpr Millis rebootRepeatTime{60'000};
/// Bounds the size of one transaction.
constexpr std::size_t maxStartsPerCommit = 32;

FleetManager::FleetManager(std::string id, FleetPorts ports)
    : m_id(std::move(id))
    , m_ports(std::move(ports))
{
}

void FleetManager::start()
{
    m_ports.timers.after(tickInterval, [this, alive = std::weak_ptr(m_alive)] {
        if (alive.expired()) {
            return;
        }
        tick();
        start();
    });
}

std::string FleetManager::waitReason(std::string_view vm) const
{
    const auto it = m_reasons.find(vm);
    return it == m_reasons.end() ? std::string() : it->second;
}

/// Whether the next step of an operation on the VM depends on the platform's list.
static bool needsList(const VmRow &vm)
{
    const bool restarts = vm.operation && (vm.operation->kind == OperationKind::Reboot || vm.operation->kind == OperationKind::Repair);
    const bool isLeaving = vm.operation && vm.operation->reason == leavingReason;
    return (isLeaving && vm.state == VmState::Drained)
           || (restarts && (vm.state == VmState::Drained || vm.state == VmState::Rebooting || vm.state == VmState::Verifying));
}

bool FleetManager::needsPlatformList() const
{
    const auto &view = m_ports.view();
    const bool restarts = std::ranges::any_of(view.vms, [&](const auto &it) { return needsList(it.second) && owns("vm/" + it.first); });
    return restarts || std::ranges::any_of(view.document.vms, [&](const auto &it) {
               return !view.vms.contains(it.first) && owns("vm/" + it.first);
           });
}

void FleetManager::updatePlatformList()
{
    const bool looksForLeaving = owns(leavingSubject);
    if (!looksForLeaving && !needsPlatformList()) {
        // An old list would show a boot count from before an earlier reboot.
        m_platform.clear();
        m_listedAt.reset();
        return;
    }
    const auto now = m_ports.clock.boot();
    const auto interval = looksForLeaving && !needsPlatformList() ? leavingListInterval : listInterval;
    if (m_listedAt && now - *m_listedAt < interval) {
        return;
    }
    m_listedAt = now;
    m_ports.vms.list([this, alive = std::weak_ptr(m_alive)](absl::StatusOr<std::vector<PlatformVm>> list) {
        if (alive.expired() || !m_listedAt) {
            return;
        }
        if (list.ok()) {
            m_platform = std::move(*list);
        } else {
            m_listedAt = Millis{};
        }
    });
}

void FleetManager::tick()
{
    m_members = m_ports.liveMembers();
    updatePlatformList();
    act();
}

void FleetManager::act()
{
    if (m_ports.viewAge() > maxViewAge) {
        return;
    }
    m_reasons.clear();
    const auto health = m_ports.health();
    const FleetInput input{.view = m_ports.view(), .health = health, .platform = m_platform, .actor = m_id, .now = m_ports.clock.wall()};
    stepVms(input);
    drainLeaving(input);
    refillPools(input);
    stepWaves(input);
}

bool FleetManager::owns(std::string_view subject) const
{
    return ownsSubject(m_id, m_members, subject);
}

bool FleetManager::isPending(const std::string &subject)
{
    const auto it = m_pending.find(subject);
    if (it == m_pending.end()) {
        return false;
    }
    const auto &pending = it->second;
    const bool seen = pending.version > 0 && m_ports.view().version >= pending.version;
    if (!seen && m_ports.clock.boot() < pending.until) {
        return true;
    }
    m_pending.erase(it);
    return false;
}

void FleetManager::commit(const std::string &subject, Transaction transaction)
{
    m_pending[subject] = {.until = m_ports.clock.boot() + perhapsDoneTime};
    m_ports.table.commit(std::move(transaction), [this, subject, alive = std::weak_ptr(m_alive)](absl::StatusOr<std::uint64_t> version) {
        if (alive.expired()) {
            return;
        }
        if (version.ok()) {
            m_pending[subject].version = *version;
            return;
        }
        logEvent(LogLevel::Info, "fleet_commit_failed", {{"subject", subject}, {"error", std::string(version.status().message())}});
        // Otherwise perhaps done: stays pending until the time is over, and then the preconditions decide.
        if (absl::IsAborted(version.status()) || absl::IsUnavailable(version.status())) {
            m_pending.erase(subject);
        }
    });
}

void FleetManager::reboot(const std::string &vm)
{
    const auto now = m_ports.clock.boot();
    if (const auto it = m_rebootSentAt.find(vm); it != m_rebootSentAt.end() && now - it->second < rebootRepeatTime) {
        return;
    }
    m_rebootSentAt[vm] = now;
    m_ports.vms.reboot(vm, [vm](const absl::Status &status) {
        logEvent(LogLevel::Info, "reboot", {{"vm", vm}, {"result", std::string(status.ok() ? "accepted" : status.message())}});
    });
}

void FleetManager::stepVms(const FleetInput &input)
{
    for (const auto &[id, vm] : input.view.vms) {
        const auto subject = "vm/" + id;
        if (!owns(subject) || isPending(subject)) {
            continue;
        }
        auto step = nextStep(input, id, m_ports.confirmations(vm));
        m_reasons[id] = step.reason;
        if (step.kind == StepKind::Commit) {
            m_rebootSentAt.erase(id);
            commit(subject, std::move(step.transaction));
        } else if (step.kind == StepKind::Reboot) {
            reboot(id);
        } else if (vm.state == VmState::Active) {
            reconcileVm(input, vm);
        }
    }
    for (const auto &[id, vm] : input.view.document.vms) {
        const auto subject = "vm/" + id;
        if (input.view.vms.contains(id) || !owns(subject) || isPending(subject)) {
            continue;
        }
        if (auto transaction = addVm(input, id); transaction.ok()) {
            commit(subject, std::move(*transaction));
        }
    }
}

/// The pool that an active VM should move to, or empty.
static std::string wantedPool(const FleetInput &input, const VmRow &vm)
{
    const auto declared = input.view.document.vms.find(vm.id);
    const auto &home = vm.declaredPool.empty() ? vm.pool : vm.declaredPool;
    if (declared->second.pool != home) {
        return declared->second.pool == vm.pool ? std::string() : declared->second.pool;
    }
    if (home == vm.pool) {
        return {};
    }
    // A VM away from home returns when its own pool lacks a VM, and a borrowed spare also when the pool is complete
    // without it and no wave needs it there.
    const auto count = countFleet(input.view, input.health);
    const auto &pool = count.pools.at(vm.pool);
    const auto own = count.pools.find(home);
    if (own == count.pools.end()) {
        return {};
    }
    if (!own->second.budget.spare && own->second.healthy + own->second.planned + own->second.inbound < own->second.declared) {
        return home;
    }
    const bool waveRuns = std::ranges::any_of(input.view.waves, [](const auto &it) { return it.second.state == WaveState::Running; });
    return pool.healthy + pool.planned > pool.declared && !waveRuns ? home : std::string();
}

void FleetManager::reconcileVm(const FleetInput &input, const VmRow &vm)
{
    Operation operation;
    const auto declared = input.view.document.vms.find(vm.id);
    if (declared == input.view.document.vms.end()) {
        operation = {.kind = OperationKind::Drain, .reason = std::string(undeclaredReason)};
    } else if (auto update = updateProperties(input, vm.id)) {
        return commit("vm/" + vm.id, std::move(*update));
    } else if (declared->second.address != vm.address) {
        operation = {.kind = OperationKind::Drain, .reason = std::string(addressReason)};
    } else if (auto pool = wantedPool(input, vm); !pool.empty()) {
        operation = {.kind = OperationKind::Move, .destinationPool = pool, .reason = fmt::format("declared in pool {}", pool)};
    } else {
        return;
    }
    startOne(input, {vm.id, operation});
}

void FleetManager::startOne(const FleetInput &input, const OperationStart &start)
{
    auto transaction = startOperations(input, std::span(&start, 1));
    if (!transaction.ok()) {
        m_reasons[start.vm] = std::string(transaction.status().message());
        return;
    }
    commit("vm/" + start.vm, std::move(*transaction));
}

void FleetManager::drainLeaving(const FleetInput &input)
{
    for (const auto &line : input.platform) {
        const auto it = input.view.vms.find(line.id);
        if (line.state != PlatformVmState::Leaving || it == input.view.vms.end() || it->second.state != VmState::Active) {
            continue;
        }
        if (!isPending("vm/" + line.id)) {
            startOne(input, {line.id, {.kind = OperationKind::Drain, .reason = std::string(leavingReason)}});
        }
    }
}

void FleetManager::refillPools(const FleetInput &input)
{
    const auto count = countFleet(input.view, input.health);
    for (const auto &[name, pool] : count.pools) {
        const auto subject = "pool/" + name;
        const bool lacks = pool.failed > 0 && pool.healthy + pool.planned + pool.inbound < pool.declared;
        if (pool.budget.spare || !lacks || !owns(subject) || isPending(subject)) {
            continue;
        }
        const auto *spare = findSpare(input.view, count, input.health, name);
        if (!spare) {
            continue;
        }
        if (auto transaction = startSpareMove(input, spare->id, name, {}); transaction.ok()) {
            commit(subject, std::move(*transaction));
        }
    }
}

void FleetManager::stepWaves(const FleetInput &input)
{
    for (const auto &[id, wave] : input.view.waves) {
        const auto subject = "wave/" + id;
        if (wave.state == WaveState::Finished || !owns(subject) || isPending(subject)) {
            continue;
        }
        const auto plan = planWave(input.view, wave, input.health, input.now);
        for (const auto &it : plan.waiting) {
            m_reasons[it.vm] = it.reason;
        }
        if (plan.finished) {
            finishWave(input, wave);
        } else {
            startWavePlan(input, wave, plan);
        }
    }
}

void FleetManager::startWavePlan(const FleetInput &input, const Wave &wave, const WavePlan &plan)
{
    const auto subject = "wave/" + wave.id;
    // Removals first: the next pass sees them and decides about spares again.
    std::vector<OperationStart> starts;
    for (const auto &vm : plan.remove) {
        if (starts.size() < maxStartsPerCommit) {
            starts.push_back({vm, {.kind = OperationKind::Reboot, .wave = wave.id, .reason = "wave " + wave.id}});
        }
    }
    if (!starts.empty()) {
        if (auto transaction = startOperations(input, starts); transaction.ok()) {
            commit(subject, std::move(*transaction));
        }
    } else if (!plan.bringIn.empty()) {
        const auto &move = plan.bringIn.front();
        if (auto transaction = startSpareMove(input, move.vm, move.pool, wave.id); transaction.ok()) {
            commit(subject, std::move(*transaction));
        }
    } else if (!plan.restore.empty()) {
        const auto &move = plan.restore.front();
        const OperationStart start{move.vm, {.kind = OperationKind::Move, .destinationPool = move.pool, .reason = "returns to the spares"}};
        if (auto transaction = startOperations(input, std::span(&start, 1)); transaction.ok()) {
            commit(subject, std::move(*transaction));
        }
    }
}

void FleetManager::finishWave(const FleetInput &input, const Wave &wave)
{
    auto after = wave;
    after.state = WaveState::Finished;
    ChangeSet changes(input.view);
    changes.requireRow(wavePrefix, wave.id, wave.version);
    changes.audit(waveEntry(input, "wave.finish", wave, after));
    auto transaction = changes.transaction();
    transaction.writes.push_back({std::string(wavePrefix) + wave.id, encodeWave(after)});
    commit("wave/" + wave.id, std::move(transaction));
}

} // namespace hibiscusbridge
