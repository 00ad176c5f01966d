// Audit log: records who changed what, when and why.
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

/// Record of one change, written in the same transaction as the change itself.
struct AuditEntry {
    /// Unique; part of the key.
    std::string id;
    /// Wall-clock time at the entry that made the change.
    Millis at;
    /// The team, operator or entry that made the change.
    std::string actor;
    /// For example `document.submit` or `vm.drain`.
    std::string action;
    /// For example `vm/<id>` or `section/<name>`.
    std::string subject;
    std::string reason;
    /// Human-readable state of the subject before and after the change.
    std::string before;
    std::string after;
    /// Numeric inputs of the decision.
    std::map<std::string, double> figures;
};

std::string encodeAudit(const AuditEntry &entry);
/// Returns std::nullopt for malformed input.
std::optional<AuditEntry> parseAudit(std::string_view text);

/// Returns `audit/<wall-clock ms, zero-padded>-<id>`, so that keys sort by time.
std::string auditKey(const AuditEntry &entry);

/// Adds the write of the entry to a transaction.
void addAudit(Transaction &transaction, const AuditEntry &entry);

/// Returns the newest `limit` entries about `subject` (all subjects if empty) among the rows, newest last.
std::vector<AuditEntry> selectAudit(const std::vector<Row> &rows, std::string_view subject, std::size_t limit);

using AuditCallback = std::function<void(absl::StatusOr<std::vector<AuditEntry>>)>;

/// Reads the newest `limit` entries about `subject` (all subjects if empty), newest last. `now` is the wall-clock time. Reads
/// time ranges backwards from `now`, so that recent entries do not require a scan of the whole log. Returns the error of a
/// failed table read.
void readAudit(const TablePort &table, std::string subject, std::size_t limit, Millis now, AuditCallback callback);

} // namespace hibiscusbridge
