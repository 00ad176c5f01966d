// Operations on VMs, one step at a time.
#include "fleet/step.hpp"

#include "fleet/auditentries.hpp"
#include "fleet/changes.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace hibiscusbridge
{

static Step waitFor(std::string reason)
{
    return {.reason = std::move(reason)};
}

static Step commitStep(const ChangeSet &changes, std::string reason)
{
    return {.kind = StepKind::Commit, .transaction = changes.transaction(), .reason = std::move(reason)};
}

static const PlatformVm *platformLine(const FleetInput &input, std::string_view vm)
{
    const auto it = std::ranges::find(input.platform, vm, &PlatformVm::id);
    return it == input.platform.end() ? nullptr : &*it;
}

static bool isLive(const FleetInput &input, std::string_view vm)
{
    const auto *line = platformLine(input, vm);
    return line && line->state == PlatformVmState::Live && !input.health.failed.contains(vm);
}

static VmRow inState(const FleetInput &input, const VmRow &vm, VmState state)
{
    auto after = vm;
    after.state = state;
    after.since = input.now;
    return after;
}

/// Ends the operation of a VM without requests in flight: it is active in `pool`.
static Step activate(const FleetInput &input, const VmRow &vm, std::string_view pool, std::string_view action, std::string reason = {})
{
    auto after = inState(input, withDeclared(input.view, vm), VmState::Active);
    const auto declared = input.view.document.vms.find(vm.id);
    const auto home = vm.declaredPool.empty() ? vm.pool : vm.declaredPool;
    const bool declaredHere = declared != input.view.document.vms.end() && declared->second.pool == pool;
    after.pool = pool;
    // A declaration that changed during the operation still differs from `home` and causes another move.
    after.declaredPool = declaredHere || home == pool ? std::string() : home;
    const bool restarted = vm.state == VmState::Verifying;
    after.maintainedAt = restarted ? input.now : vm.maintainedAt;
    after.operation.reset();
    ChangeSet changes(input.view);
    changes.changeVm(vm.id, after);
    changes.requireDocument();
    if (reason.empty()) {
        reason = fmt::format("{} finished in pool {}", vm.operation ? toString(vm.operation->kind) : "operation", pool);
    }
    changes.audit(vmEntry(input, action, &vm, &after, reason));
    return commitStep(changes, std::move(reason));
}

static Step fail(const FleetInput &input, const VmRow &vm, const std::string &reason)
{
    auto after = inState(input, vm, VmState::Failed);
    after.failures = vm.failures > 0 && vm.state == VmState::Active && input.now - vm.since >= stableTime ? 1 : vm.failures + 1;
    after.operation.reset();
    ChangeSet changes(input.view);
    changes.changeVm(vm.id, after);
    changes.audit(vmEntry(input, "vm.fail", &vm, &after, reason));
    return commitStep(changes, reason);
}

static Step removeRow(const FleetInput &input, const VmRow &vm)
{
    ChangeSet changes(input.view);
    changes.changeVm(vm.id, std::nullopt);
    changes.requireDocument();
    changes.audit(vmEntry(input, "vm.remove", &vm, nullptr, undeclaredReason));
    return commitStep(changes, std::string(undeclaredReason));
}

static Step enter(const FleetInput &input, const VmRow &after, std::string reason)
{
    ChangeSet changes(input.view);
    changes.changeVm(after.id, after);
    return commitStep(changes, std::move(reason));
}

/// No request is in flight to the VM, so its row can take over a changed address.
static Step enterDrained(const FleetInput &input, const VmRow &vm)
{
    const auto after = inState(input, withDeclared(input.view, vm), VmState::Drained);
    ChangeSet changes(input.view);
    changes.changeVm(vm.id, after);
    changes.requireDocument();
    return commitStep(changes, "no request in flight");
}

/// Pool that a repaired VM returns to: the spares when its own pool is complete without it.
static std::string poolAfterRepair(const FleetInput &input, const VmRow &vm)
{
    const auto count = countFleet(input.view, input.health);
    const auto it = count.pools.find(vm.pool);
    if (it == count.pools.end() || it->second.budget.spare) {
        return vm.pool;
    }
    const auto &own = it->second;
    if (own.healthy + own.planned + own.inbound < own.declared) {
        return vm.pool;
    }
    for (const auto &[name, pool] : count.pools) {
        if (pool.budget.spare && pool.healthy + pool.planned + pool.failed < pool.declared) {
            return name;
        }
    }
    return vm.pool;
}

static Step stepFailed(const FleetInput &input, const VmRow &vm, const Confirmations &confirmations)
{
    const bool declared = input.view.document.vms.contains(vm.id);
    if (declared && !vm.operation) {
        auto after = vm;
        after.operation = Operation{.kind = OperationKind::Repair,
                                    .startedBy = std::string(input.actor),
                                    .startedAt = input.now,
                                    .reason = fmt::format("failure {}", vm.failures)};
        ChangeSet changes(input.view);
        changes.changeVm(vm.id, after);
        changes.audit(vmEntry(input, "vm.repair.start", &vm, &after, after.operation->reason));
        return commitStep(changes, after.operation->reason);
    }
    if (!confirmations.drain) {
        return waitFor(fmt::format("repair waits until no request is in flight: {}", confirmations.waitingFor));
    }
    if (!declared) {
        return removeRow(input, vm);
    }
    if (const auto due = vm.since + backOffTime(vm.failures); input.now < due) {
        return waitFor(fmt::format("restart after failure {} in {} s", vm.failures, (due - input.now).count / 1000));
    }
    return enterDrained(input, vm);
}

static Step stepAnnounced(const FleetInput &input, const VmRow &vm, const Confirmations &confirmations)
{
    const auto count = countFleet(input.view, input.health);
    const auto it = count.pools.find(vm.pool);
    const bool isLeaving = vm.operation->reason == leavingReason;
    if (!isLeaving && it != count.pools.end() && it->second.healthy < it->second.budget.minHealthy) {
        const auto reason =
            fmt::format("pool {}: {} healthy VMs, minHealthy is {}", vm.pool, it->second.healthy, it->second.budget.minHealthy);
        return {.kind = StepKind::Commit, .transaction = *undoOperation(input, vm.id, reason), .reason = reason};
    }
    if (!confirmations.announcement) {
        return waitFor(fmt::format("announcement waits for a majority: {}", confirmations.waitingFor));
    }
    ChangeSet changes(input.view);
    changes.changeVm(vm.id, inState(input, vm, VmState::Draining));
    // The majority has to be one of the list in force at the commit.
    changes.requireRow(membersKey, {}, input.view.members.version);
    return commitStep(changes, "announcement confirmed by a majority");
}

static Step startReboot(const FleetInput &input, const VmRow &vm)
{
    const auto *line = platformLine(input, vm.id);
    if (!line) {
        return waitFor("the platform does not list the VM");
    }
    auto after = inState(input, vm, VmState::Rebooting);
    after.operation->bootCountBefore = line->bootCount;
    return enter(input, after, fmt::format("reboot after boot {}", line->bootCount));
}

static Step stepDrained(const FleetInput &input, const VmRow &vm)
{
    const auto &operation = *vm.operation;
    const bool declared = input.view.document.vms.contains(vm.id);
    switch (operation.kind) {
    case OperationKind::Reboot:
    case OperationKind::Repair:
        return startReboot(input, vm);
    case OperationKind::Move: {
        const bool exists = input.view.document.pools.contains(operation.destinationPool);
        return activate(input, vm, exists ? operation.destinationPool : vm.pool, "vm.move.finish");
    }
    case OperationKind::Drain:
        if (!declared) {
            return removeRow(input, vm);
        }
        if (operation.reason == undeclaredReason) {
            return activate(input, vm, vm.pool, "vm.drain.finish", "declared again");
        }
        if (operation.reason == addressReason) {
            return activate(input, vm, vm.pool, "vm.drain.finish");
        }
        if (operation.reason == leavingReason) {
            return isLive(input, vm.id) ? activate(input, vm, vm.pool, "vm.drain.finish", "the platform lists the VM as live again")
                                        : waitFor("drained until the platform lists the VM as live again");
        }
        return waitFor("drained; stays out until an operator returns it");
    }
    return waitFor("unknown kind of operation");
}

static Step stepRebooting(const FleetInput &input, const VmRow &vm)
{
    const auto *line = platformLine(input, vm.id);
    if (line && line->bootCount > vm.operation->bootCountBefore && line->state == PlatformVmState::Live) {
        return enter(input, inState(input, vm, VmState::Verifying), fmt::format("boot {} is live", line->bootCount));
    }
    if (input.now - vm.since > rebootTimeout) {
        return fail(input, vm, fmt::format("not live {} s after the reboot", rebootTimeout.count / 1000));
    }
    return {.kind = StepKind::Reboot, .reason = fmt::format("boot {} is not replaced yet", vm.operation->bootCountBefore)};
}

static Step stepVerifying(const FleetInput &input, const VmRow &vm)
{
    const auto age = input.now - vm.since;
    if (isLive(input, vm.id) && age >= settleTime) {
        const bool repair = vm.operation->kind == OperationKind::Repair;
        return activate(input, vm, repair ? poolAfterRepair(input, vm) : vm.pool, repair ? "vm.repair.finish" : "vm.reboot.finish");
    }
    if (age > verifyTimeout) {
        return fail(input, vm, fmt::format("not healthy {} s after the reboot", verifyTimeout.count / 1000));
    }
    return waitFor(age < settleTime ? "verification still runs" : "the VM is not live and healthy yet");
}

absl::StatusOr<Transaction> undoOperation(const FleetInput &input, std::string_view vm, std::string_view reason)
{
    const auto it = input.view.vms.find(vm);
    if (it == input.view.vms.end()) {
        return absl::FailedPreconditionError(fmt::format("VM {} has no row", vm));
    }
    const auto &before = it->second;
    if (before.state == VmState::Drained && before.operation && before.operation->kind == OperationKind::Drain) {
        if (!input.view.document.vms.contains(vm) || input.health.failed.contains(vm)) {
            return absl::FailedPreconditionError(fmt::format("VM {} is no longer declared, or is reported as failed", vm));
        }
        return activate(input, before, before.pool, "vm.undo", std::string(reason)).transaction;
    }
    if (before.state != VmState::Announced) {
        return absl::FailedPreconditionError(
            fmt::format("VM {} is {}; only an announced operation or a finished drain can be taken back", vm, toString(before.state)));
    }
    auto after = inState(input, before, VmState::Active);
    after.operation.reset();
    ChangeSet changes(input.view);
    changes.changeVm(vm, after);
    changes.audit(vmEntry(input, "vm.undo", &before, &after, reason));
    return changes.transaction();
}

Millis backOffTime(std::uint32_t failures)
{
    // The first failure is restarted at once.
    if (failures <= 1) {
        return {};
    }
    return std::min(backOffLimit, backOffBase * (std::int64_t{1} << std::min(failures - 2, 16U)));
}

Step nextStep(const FleetInput &input, std::string_view id, const Confirmations &confirmations)
{
    const auto it = input.view.vms.find(id);
    if (it == input.view.vms.end()) {
        return waitFor("the VM has no row");
    }
    const auto &vm = it->second;
    const bool shouldRun = vm.state == VmState::Active || vm.state == VmState::Announced || vm.state == VmState::Draining
                           || (vm.state == VmState::Drained && vm.operation && vm.operation->kind != OperationKind::Repair);
    if (shouldRun && input.health.failed.contains(id)) {
        return fail(input, vm, "reported as failed");
    }
    if (vm.state == VmState::Active) {
        return waitFor("no operation");
    }
    if (vm.state == VmState::Failed) {
        return stepFailed(input, vm, confirmations);
    }
    if (!vm.operation) {
        return fail(input, vm, fmt::format("{} without an operation", toString(vm.state)));
    }
    switch (vm.state) {
    case VmState::Announced:
        return stepAnnounced(input, vm, confirmations);
    case VmState::Draining:
        return confirmations.drain ? enterDrained(input, vm) : waitFor(fmt::format("drain waits: {}", confirmations.waitingFor));
    case VmState::Drained:
        return stepDrained(input, vm);
    case VmState::Rebooting:
        return stepRebooting(input, vm);
    default:
        return stepVerifying(input, vm);
    }
}

} // namespace hibiscusbridge
