// Keys of the rows in which jobs are stored.
#include "shards/rows.hpp"

#include "helpers/ids.hpp"
#include "helpers/json.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

constexpr std::uint64_t submissionTables = 64;
constexpr std::string_view cancellationSuffix = "/cancel";
constexpr char partSeparator = '/';
/// A job has up to 5,000 subtasks, and a part has at least one of them.
constexpr std::size_t partDigits = 4;

std::string submissionTable(std::string_view shard)
{
    return "jobs-" + std::to_string(stableHash(shard) % submissionTables);
}

std::string submissionPart(std::string_view shard)
{
    return "jobs/" + std::string(shard);
}

RowKey submissionKey(std::string_view shard, std::string_view job)
{
    return {submissionTable(shard), submissionPart(shard), std::string(job)};
}

RowKey cancellationKey(std::string_view shard, std::string_view job)
{
    return {submissionTable(shard), submissionPart(shard), std::string(job) + std::string(cancellationSuffix)};
}

RowKey progressKey(std::string_view shard, std::string_view job, std::size_t part)
{
    std::string key(job);
    if (part > 0) {
        auto digits = std::to_string(part);
        digits.insert(0, partDigits - std::min(digits.size(), partDigits), '0');
        key += partSeparator + digits;
    }
    return {progressTable, std::string(shard), std::move(key)};
}

// A stored job is a JSON array.
std::string encodeTombstone(const Tombstone &tombstone)
{
    return Json{{"tombstone", tombstone.cancelled ? "cancelled" : "stored-elsewhere"}, {"written_at", tombstone.writtenAt.count}}.dump();
}

std::optional<Tombstone> decodeTombstone(std::string_view text)
{
    if (!text.starts_with('{')) {
        return std::nullopt;
    }
    const auto json = parseJson(text);
    if (!json.is_object() || !json.contains("tombstone")) {
        return std::nullopt;
    }
    return Tombstone{.writtenAt = {numberOf(json, "written_at")}, .cancelled = textOf(json, "tombstone") == "cancelled"};
}

std::string_view progressJob(std::string_view key)
{
    return key.substr(0, key.find(partSeparator));
}

std::string_view cancelledJob(std::string_view key)
{
    return key.ends_with(cancellationSuffix) ? key.substr(0, key.size() - cancellationSuffix.size()) : std::string_view();
}

} // namespace hibiscusbridge::jobs
