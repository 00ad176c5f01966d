// Operations on VMs, one step at a time. Every function is pure: it turns a view into the next transaction.
#pragma once

#include "fleet/budget.hpp"
#include "ports/vm.hpp"

#include <absl/status/statusor.h>
#include <optional>
#include <span>

namespace hibiscusbridge
{

/// What the entries have confirmed about one VM, for the version of its row in the view.
struct Confirmations {
    /// A majority of members holds a view in which the VM is announced.
    bool announcement = false;
    /// No entry has a request in flight to the VM, and none will send one.
    bool drain = false;
    /// For the reason of a wait: which entry is missing.
    std::string waitingFor;
};

/// Everything that decisions read. The references outlive the call.
struct FleetInput {
    const View &view;
    const FleetHealth &health;
    std::span<const PlatformVm> platform;
    /// Entry or operator that acts.
    std::string_view actor;
    /// Wall clock.
    Millis now;
};

enum class StepKind {
    Wait,
    Commit,
    /// Ask the platform to reboot the VM.
    Reboot,
};

struct Step {
    StepKind kind = StepKind::Wait;
    Transaction transaction;
    std::string reason;
};

struct OperationStart {
    std::string vm;
    Operation operation;
};

/// Reason of a drain that the document caused; the VM's row goes away when it is drained.
inline constexpr std::string_view undeclaredReason = "no longer declared";
/// Reason of a drain that ends when the platform lists the VM as live again.
inline constexpr std::string_view leavingReason = "the platform lists the VM as leaving";
/// Reason of a drain that ends at once; the row gets the declared address while no request is in flight.
inline constexpr std::string_view addressReason = "declared address changed";
/// A reboot sent before a process was suspended may arrive this much later; the VM must not be active by then.
inline constexpr Millis settleTime{10'000};
inline constexpr Millis rebootTimeout{600'000};
inline constexpr Millis verifyTimeout{300'000};
inline constexpr Millis backOffBase{60'000};
inline constexpr Millis backOffLimit{14'400'000};
/// A failure this long after the last change of state does not count as flapping.
inline constexpr Millis stableTime{21'600'000};

/// Starts planned operations together, in one transaction. kFailedPrecondition with the reason when the budget refuses.
absl::StatusOr<Transaction> startOperations(const FleetInput &input, std::span<const OperationStart> starts);

/// Moves a spare to a pool; `refill` when the pool has a failed VM to replace.
absl::StatusOr<Transaction> startSpareMove(const FleetInput &input, std::string_view spare, std::string_view pool, std::string_view wave);

/// Takes back an announced operation or brings back a VM that a drain holds out. kFailedPrecondition in any other state,
/// and for a drained VM that is not declared or is reported as failed.
absl::StatusOr<Transaction> undoOperation(const FleetInput &input, std::string_view vm, std::string_view reason);

/// Adds the row of a declared VM that the platform lists as live.
absl::StatusOr<Transaction> addVm(const FleetInput &input, std::string_view vm);

/// The row with the declared address, zone, rack, slots and connections.
VmRow withDeclared(const View &view, VmRow vm);

/// Updates zone, rack, slots and connections of a VM to those declared; nothing when they are equal. The address changes
/// only while the VM is drained.
std::optional<Transaction> updateProperties(const FleetInput &input, std::string_view vm);

Step nextStep(const FleetInput &input, std::string_view vm, const Confirmations &confirmations);

/// Time before a VM that failed `failures` times in a row is restarted.
Millis backOffTime(std::uint32_t failures);

} // namespace hibiscusbridge
