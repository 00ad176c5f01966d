// The audit log: codec, key and reader.
#include "audit/audit.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

/// Digits of a wall time in a key; enough for 300 years.
constexpr std::size_t keyTimeDigits = 13;

std::string encodeAudit(const AuditEntry &entry)
{
    const json object{
        {"id", entry.id},
        {"atMs", entry.at.count},
        {"actor", entry.actor},
        {"action", entry.action},
        {"subject", entry.subject},
        {"reason", entry.reason},
        {"before", entry.before},
        {"after", entry.after},
        {"figures", entry.figures},
    };
    // Reasons may quote text from outside that is not valid UTF-8.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<AuditEntry> parseAudit(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        return AuditEntry{
            .id = object.at("id"),
            .at = {object.at("atMs")},
            .actor = object.at("actor"),
            .action = object.at("action"),
            .subject = object.at("subject"),
            .reason = object.at("reason"),
            .before = object.at("before"),
            .after = object.at("after"),
            .figures = object.at("figures"),
        };
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string auditKey(const AuditEntry &entry)
{
    auto time = std::to_string(std::max<std::int64_t>(entry.at.count, 0));
    time.insert(0, keyTimeDigits - std::min(keyTimeDigits, time.size()), '0');
    return std::string(auditPrefix) + time + '-' + entry.id;
}

void addAudit(Transaction &transaction, const AuditEntry &entry)
{
    transaction.writes.push_back({auditKey(entry), encodeAudit(entry)});
}

std::vector<AuditEntry> selectAudit(const std::vector<Row> &rows, std::string_view subject, std::size_t limit)
{
    std::vector<const Row *> newestFirst;
    for (const auto &row : rows) {
        if (row.value) {
            newestFirst.push_back(&row);
        }
    }
    std::sort(newestFirst.begin(), newestFirst.end(), [](const Row *a, const Row *b) { return a->key > b->key; });
    std::vector<AuditEntry> entries;
    for (const auto *row : newestFirst) {
        if (entries.size() >= limit) {
            break;
        }
        auto entry = parseAudit(*row->value);
        if (entry && (subject.empty() || entry->subject == subject)) {
            entries.push_back(std::move(*entry));
        }
    }
    std::reverse(entries.begin(), entries.end());
    return entries;
}

void readAudit(const TablePort &table, std::string subject, std::size_t limit, AuditCallback callback)
{
    table.read({.prefix = std::string(auditPrefix)}, [subject = std::move(subject), limit, callback](absl::StatusOr<ReadResult> result) {
        if (!result.ok()) {
            callback(result.status());
            return;
        }
        callback(selectAudit(result->rows, subject, limit));
    });
}

} // namespace hibiscusbridge
