// Audit log: JSON encoding, table keys and queries.
#include "audit/audit.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

/// Number of digits of the timestamp (in ms) in a key; sufficient for about 300 years.
constexpr std::size_t keyTimeDigits = 13;
/// Length of the first timestamp prefix that is read. Keys that share 5 of 13 digits lie within the same 28 hours.
constexpr std::size_t newestPrefixLength = 5;
/// Clock skew tolerated by queries: records from entries whose clock is ahead by less than this are still found.
constexpr Millis maxClockSkew{60'000};

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
    // Reasons may contain untrusted text that is not valid UTF-8.
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

/// Returns key prefixes that together cover all timestamps up to `now`, newest first: the most recent 28 to 56 hours as two
/// ranges, followed by ranges of increasing length.
static std::vector<std::string> keyPrefixesNewestFirst(Millis now)
{
    auto digits = std::to_string(std::max(now + maxClockSkew, Millis{0}).count);
    digits.insert(0, keyTimeDigits - std::min(keyTimeDigits, digits.size()), '0');
    std::vector<std::string> prefixes{std::string(auditPrefix) + digits.substr(0, newestPrefixLength)};
    for (auto length = newestPrefixLength; length > 0; --length) {
        const auto start = std::string(auditPrefix) + digits.substr(0, length - 1);
        for (char digit = digits[length - 1]; digit > '0'; --digit) {
            prefixes.push_back(start + static_cast<char>(digit - 1));
        }
    }
    return prefixes;
}

namespace
{

/// State of one query, which reads range by range until it has found enough entries.
struct AuditQuery {
    TablePort table;
    std::string subject;
    std::size_t limit = 0;
    AuditCallback callback;
    std::vector<std::string> prefixes;
    std::size_t next = 0;
    std::vector<AuditEntry> entries;
};

} // namespace

static void readNextRange(const std::shared_ptr<AuditQuery> &audit)
{
    if (audit->entries.size() >= audit->limit || audit->next == audit->prefixes.size()) {
        audit->callback(std::move(audit->entries));
        return;
    }
    audit->table.read({.prefix = audit->prefixes[audit->next++]}, [audit](absl::StatusOr<ReadResult> result) {
        if (!result.ok()) {
            audit->callback(result.status());
            return;
        }
        auto part = selectAudit(result->rows, audit->subject, audit->limit - audit->entries.size());
        std::ranges::move(audit->entries, std::back_inserter(part));
        audit->entries = std::move(part);
        readNextRange(audit);
    });
}

void readAudit(const TablePort &table, std::string subject, std::size_t limit, Millis now, AuditCallback callback)
{
    readNextRange(std::make_shared<AuditQuery>(AuditQuery{.table = table,
                                                          .subject = std::move(subject),
                                                          .limit = limit,
                                                          .callback = std::move(callback),
                                                          .prefixes = keyPrefixesNewestFirst(now)}));
}

} // namespace hibiscusbridge
