// The routing view: everything under `view/` of the platform's table at one commit version.
#pragma once

#include "helpers/millis.hpp"
#include "model/document.hpp"
#include "ports/table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

inline constexpr std::string_view viewPrefix = "view/";
inline constexpr std::string_view vmPrefix = "view/vm/";
inline constexpr std::string_view poolPrefix = "view/pool/";
inline constexpr std::string_view sectionPrefix = "view/doc/";
inline constexpr std::string_view wavePrefix = "view/wave/";
inline constexpr std::string_view documentVersionKey = "view/docversion";
inline constexpr std::string_view membersKey = "view/members";

/// Only an Active VM receives new work. Order of a planned operation: Announced, Draining, Drained, Rebooting, Verifying.
enum class VmState {
    Active,
    Announced,
    Draining,
    Drained,
    Rebooting,
    Verifying,
    Failed,
};

enum class OperationKind {
    Drain,
    Reboot,
    Move,
    Repair,
};

/// A planned operation on one VM; part of the VM's row, so that any entry can go on with it.
struct Operation {
    OperationKind kind = OperationKind::Drain;
    /// Pool that the VM belongs to afterwards; empty to stay.
    std::string destinationPool;
    /// Wave that the operation is part of; empty for none.
    std::string wave;
    /// Entry or operator that started it.
    std::string startedBy;
    /// Wall clock.
    Millis startedAt;
    std::string reason;
    /// `PlatformVm::bootCount` before the reboot; the reboot is done when the list shows a larger one.
    std::uint64_t bootCountBefore = 0;
};

struct VmRow {
    std::string id;
    std::string pool;
    /// IP number and port.
    std::string address;
    std::string zone;
    std::string rack;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    VmState state = VmState::Active;
    /// Wall clock of the last change of `state`.
    Millis since;
    /// Wall clock of the last finished maintenance; 0 for never.
    Millis maintainedAt;
    /// Present exactly while the state is neither Active nor Failed without repair.
    std::optional<Operation> operation;
    /// Declared pool that `pool` stands for; differs from `pool` while a spare serves another pool. Empty: the same.
    std::string declaredPool;
    /// Failures without a stable period between them; repair backs off by it.
    std::uint32_t failures = 0;
    /// Commit version of the row; not part of the stored value.
    std::uint64_t version = 0;
};

/// VMs of one pool that planned operations hold out; written with each of them, so that two decisions about one pool
/// cannot both commit.
struct PoolLedger {
    std::string pool;
    std::vector<std::string> out;
    std::uint64_t version = 0;
};

struct Member {
    std::string id;
    /// Grows with each start of the process; a restarted entry is a new member.
    std::uint64_t incarnation = 0;
    /// Address for messages between entries.
    std::string address;
    std::string zone;
};

/// The member entries. Changes one member at a time.
struct MemberList {
    std::vector<Member> members;
    std::uint64_t version = 0;
};

enum class WaveState {
    Running,
    Paused,
    Finished,
};

/// A maintenance wave: reboots every VM of its pools whose last maintenance is older than `startedAt`.
struct Wave {
    std::string id;
    /// Empty for all pools.
    std::vector<std::string> pools;
    WaveState state = WaveState::Running;
    std::string startedBy;
    /// Wall clock.
    Millis startedAt;
    std::string reason;
    std::uint64_t version = 0;
};

/// A section as stored: its text and the commit version that accepted it.
struct StoredSection {
    std::string name;
    std::string text;
    std::string submissionId;
    std::uint64_t version = 0;
};

/// Invariant: rows reflect commit `version` and no later one; versions only grow.
struct View {
    std::uint64_t version = 0;
    std::map<std::string, VmRow, std::less<>> vms;
    std::map<std::string, PoolLedger, std::less<>> ledgers;
    std::map<std::string, Wave, std::less<>> waves;
    std::map<std::string, StoredSection, std::less<>> sections;
    std::uint64_t documentVersion = 0;
    MemberList members;
    /// Parsed from `sections`; the last document that parsed.
    Document document;
    /// Every row as read, for passing on to peers.
    std::map<std::string, Row, std::less<>> rows;
};

std::string_view toString(VmState state);
std::string_view toString(OperationKind kind);
std::string_view toString(WaveState state);

/// JSON values of rows. A parse function returns nothing for malformed input.
std::string encodeVm(const VmRow &vm);
std::optional<VmRow> parseVm(std::string_view text);
std::string encodeLedger(const PoolLedger &ledger);
std::optional<PoolLedger> parseLedger(std::string_view text);
std::string encodeMembers(const MemberList &list);
std::optional<MemberList> parseMembers(std::string_view text);
std::string encodeWave(const Wave &wave);
std::optional<Wave> parseWave(std::string_view text);
std::string encodeSection(const StoredSection &section);
std::optional<StoredSection> parseSection(std::string_view text);

/// Applies rows that changed up to `version`. Rows not newer than those held are skipped; nothing happens when
/// `version` is older than the view's. Returns the keys of malformed rows, which keep their former value.
std::vector<std::string> applyRows(View &view, std::uint64_t version, const std::vector<Row> &rows);

} // namespace hibiscusbridge
