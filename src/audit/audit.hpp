// The audit log: who changed what, when and why.
#pragma once

#include "helpers/millis.hpp"
#include "ports/table.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hibiscusbridge
{

inline constexpr std::string_view auditPrefix = "audit/";

/// One change. It is written in the transaction of the change it explains.
struct AuditEntry {
    /// Unique; part of the key.
    std::string id;
    /// Wall clock of the entry that made the change.
    Millis at;
    /// Team, operator or entry.
    std::string actor;
    /// Such as `document.submit` or `vm.drain`.
    std::string action;
    /// Such as `vm/<id>` or `section/<name>`.
    std::string subject;
    std::string reason;
    /// State of the subject, as text for operators.
    std::string before;
    std::string after;
    /// Numbers that the decision was based on.
    std::map<std::string, double> figures;
};

std::string encodeAudit(const AuditEntry &entry);
/// Nothing for malformed input.
std::optional<AuditEntry> parseAudit(std::string_view text);

/// `audit/<wall time in ms, padded with zeros>-<id>`: keys sort by time.
std::string auditKey(const AuditEntry &entry);

/// Adds the entry to a transaction.
void addAudit(Transaction &transaction, const AuditEntry &entry);

/// The newest `limit` entries about `subject` (all subjects when empty) among the rows, newest last.
std::vector<AuditEntry> selectAudit(const std::vector<Row> &rows, std::string_view subject, std::size_t limit);

using AuditCallback = std::function<void(absl::StatusOr<std::vector<AuditEntry>>)>;

/// Reads the newest `limit` entries about `subject`, newest last. `now` is the wall clock. Goes back in time by parts, so
/// that recent entries do not need the whole log. Fails as reads of the table do.
void readAudit(const TablePort &table, std::string subject, std::size_t limit, Millis now, AuditCallback callback);

} // namespace hibiscusbridge
