// Starting and undoing operations on VMs.
#include "fleet/changes.hpp"
#include "fleet/step.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace hibiscusbridge
{

/// The VM's row with the operation, announced.
static VmRow announced(const FleetInput &input, const VmRow &vm, const Operation &operation)
{
    auto after = vm;
    after.state = VmState::Announced;
    after.since = input.now;
    after.operation = operation;
    after.operation->startedBy = std::string(input.actor);
    after.operation->startedAt = input.now;
    return after;
}

static void requireWave(ChangeSet &changes, const View &view, std::string_view wave)
{
    if (const auto it = view.waves.find(wave); it != view.waves.end()) {
        changes.requireRow(wavePrefix, wave, it->second.version);
    }
}

absl::StatusOr<Transaction> startOperations(const FleetInput &input, std::span<const OperationStart> starts)
{
    std::vector<std::string> ids;
    for (const auto &start : starts) {
        ids.push_back(start.vm);
    }
    const auto decision = removalDecision(input.view, ids, input.health);
    if (!decision.allowed) {
        return absl::FailedPreconditionError(decision.reason);
    }
    ChangeSet changes(input.view);
    for (const auto &[id, operation] : starts) {
        const auto &vm = input.view.vms.at(id);
        changes.changeVm(id, announced(input, vm, operation));
        if (!operation.destinationPool.empty()) {
            changes.claimPool(operation.destinationPool);
        }
        requireWave(changes, input.view, operation.wave);
        changes.audit(id, fmt::format("{}-started", toString(operation.kind)), input.actor, operation.reason, input.now);
    }
    changes.requireDocument();
    if (decision.usesSpares) {
        changes.claimSparePools();
    }
    return changes.transaction();
}

absl::StatusOr<Transaction> startSpareMove(const FleetInput &input, std::string_view spare, std::string_view pool, std::string_view wave)
{
    const auto it = input.view.vms.find(spare);
    if (it == input.view.vms.end() || input.health.failed.contains(spare)) {
        return absl::FailedPreconditionError(fmt::format("spare {} is not healthy", spare));
    }
    const auto decision = decideSpareMove(countFleet(input.view, input.health), it->second);
    if (!decision.allowed) {
        return absl::FailedPreconditionError(decision.reason);
    }
    const Operation operation{.kind = OperationKind::Move,
                              .destinationPool = std::string(pool),
                              .wave = std::string(wave),
                              .reason = fmt::format("spare for pool {}", pool)};
    ChangeSet changes(input.view);
    changes.changeVm(spare, announced(input, it->second, operation));
    // The claim on the pool keeps two entries from replacing the same failed VM twice.
    changes.claimPool(pool);
    changes.claimSparePools();
    changes.requireDocument();
    requireWave(changes, input.view, wave);
    for (const auto &[id, vm] : input.view.vms) {
        if (vm.pool == pool && vm.state == VmState::Failed) {
            changes.requireRow(vmPrefix, id, vm.version);
        }
    }
    changes.audit(spare, "move-started", input.actor, operation.reason, input.now);
    return changes.transaction();
}

absl::StatusOr<Transaction> undoOperation(const FleetInput &input, std::string_view vm, std::string_view reason)
{
    const auto it = input.view.vms.find(vm);
    if (it == input.view.vms.end() || it->second.state != VmState::Announced) {
        return absl::FailedPreconditionError(fmt::format("VM {} is not announced; the operation can no longer be taken back", vm));
    }
    auto after = it->second;
    after.state = VmState::Active;
    after.since = input.now;
    after.operation.reset();
    ChangeSet changes(input.view);
    changes.changeVm(vm, after);
    changes.audit(vm, "undone", input.actor, reason, input.now);
    return changes.transaction();
}

absl::StatusOr<Transaction> addVm(const FleetInput &input, std::string_view vm)
{
    const auto it = input.view.document.vms.find(vm);
    const auto line = std::ranges::find(input.platform, vm, &PlatformVm::id);
    const bool live = line != input.platform.end() && line->state == PlatformVmState::Live && !input.health.failed.contains(vm);
    if (it == input.view.document.vms.end() || input.view.vms.contains(vm) || !live) {
        return absl::FailedPreconditionError(fmt::format("VM {} is not both declared and live, or has a row already", vm));
    }
    const auto &declared = it->second;
    const VmRow row{.id = declared.id,
                    .pool = declared.pool,
                    .address = declared.address,
                    .zone = declared.zone,
                    .rack = declared.rack,
                    .slots = declared.slots,
                    .connections = declared.connections,
                    .since = input.now};
    ChangeSet changes(input.view);
    changes.changeVm(vm, row);
    changes.requireDocument();
    changes.audit(vm, "added", input.actor, "declared", input.now);
    return changes.transaction();
}

} // namespace hibiscusbridge
