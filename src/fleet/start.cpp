// Starting and undoing operations on VMs.
#include "fleet/auditentries.hpp"
#include "fleet/changes.hpp"
#include "fleet/step.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <tuple>

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
    // The platform takes a leaving VM away whatever the budget says; work sent to it would be lost.
    const bool isLeaving = std::ranges::all_of(starts, [](const auto &it) { return it.operation.reason == leavingReason; });
    if (!decision.allowed && !isLeaving) {
        return absl::FailedPreconditionError(decision.reason);
    }
    ChangeSet changes(input.view);
    const auto count = countFleet(input.view, input.health);
    for (const auto &[id, operation] : starts) {
        const auto &vm = input.view.vms.at(id);
        const auto after = announced(input, vm, operation);
        changes.changeVm(id, after);
        if (!operation.destinationPool.empty()) {
            changes.claimPool(operation.destinationPool);
        }
        requireWave(changes, input.view, operation.wave);
        auto entry = vmEntry(input, fmt::format("vm.{}.start", toString(operation.kind)), &vm, &after, operation.reason);
        entry.figures = poolFigures(count, vm.pool);
        changes.audit(entry);
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
    const auto count = countFleet(input.view, input.health);
    const auto decision = decideSpareMove(count, it->second);
    if (!decision.allowed) {
        return absl::FailedPreconditionError(decision.reason);
    }
    const Operation operation{.kind = OperationKind::Move,
                              .destinationPool = std::string(pool),
                              .wave = std::string(wave),
                              .reason = fmt::format("spare for pool {}", pool)};
    ChangeSet changes(input.view);
    const auto after = announced(input, it->second, operation);
    changes.changeVm(spare, after);
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
    auto entry = vmEntry(input, "vm.move.start", &it->second, &after, operation.reason);
    entry.figures = poolFigures(count, it->second.pool);
    changes.audit(entry);
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
    const auto row = withDeclared(input.view, {.id = std::string(vm), .pool = it->second.pool, .since = input.now});
    ChangeSet changes(input.view);
    changes.changeVm(vm, row);
    changes.requireDocument();
    changes.audit(vmEntry(input, "vm.add", nullptr, &row, "declared"));
    return changes.transaction();
}

VmRow withDeclared(const View &view, VmRow vm)
{
    if (const auto it = view.document.vms.find(vm.id); it != view.document.vms.end()) {
        vm.address = it->second.address;
        vm.zone = it->second.zone;
        vm.rack = it->second.rack;
        vm.slots = it->second.slots;
        vm.connections = it->second.connections;
    }
    return vm;
}

static std::string propertiesText(const VmRow &vm)
{
    return fmt::format("zone {}, rack {}, {} slots, {} connections", vm.zone, vm.rack, vm.slots, vm.connections);
}

std::optional<Transaction> updateProperties(const FleetInput &input, std::string_view vm)
{
    const auto it = input.view.vms.find(vm);
    if (it == input.view.vms.end()) {
        return std::nullopt;
    }
    const auto &before = it->second;
    const auto declared = input.view.document.vms.find(vm);
    const auto properties = [](const auto &of) {
        return std::tie(of.zone, of.rack, of.slots, of.connections);
    };
    if (declared == input.view.document.vms.end() || properties(before) == properties(declared->second)) {
        return std::nullopt;
    }
    auto after = withDeclared(input.view, before);
    after.address = before.address;
    ChangeSet changes(input.view);
    changes.changeVm(vm, after);
    // Decisions about the pool count its VMs by rack and zone.
    changes.claimPool(before.pool);
    changes.requireDocument();
    auto entry = vmEntry(input, "vm.update", &before, &after, "declared properties changed");
    entry.before = propertiesText(before);
    entry.after = propertiesText(after);
    changes.audit(entry);
    return changes.transaction();
}

} // namespace hibiscusbridge
