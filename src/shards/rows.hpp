// Keys of the rows in which jobs are stored.
#pragma once

#include "ports/store.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusbridge::jobs
{

/// Table of the shard's submissions and cancellations, which any entry may write. Shards share a limited number of tables,
/// because the store allows 100 tables; more than one table is used because a feed delivers a whole table.
std::string submissionTable(std::string_view shard);
/// Submissions have a separate part, so that a burst of them does not delay the owner's progress records.
std::string submissionPart(std::string_view shard);
/// Table of job progress, written by the owner of the shard.
inline constexpr const char *progressTable = "progress";

RowKey submissionKey(std::string_view shard, std::string_view job);
RowKey cancellationKey(std::string_view shard, std::string_view job);
/// Takes the place of a submission, so that one that is still under way can't be stored.
struct Tombstone {
    /// Unix milliseconds.
    Millis writtenAt;
    /// The job was cancelled before it was stored. Otherwise it is stored in another pool.
    bool cancelled = false;
};

std::string encodeTombstone(const Tombstone &tombstone);
/// Returns nullopt if the text is not a tombstone.
std::optional<Tombstone> decodeTombstone(std::string_view text);

/// Part 0 is the first row of the job's record.
RowKey progressKey(std::string_view shard, std::string_view job, std::size_t part = 0);
/// Returns the job id in the key of a progress row. The keys of a record are in the order of its parts.
std::string_view progressJob(std::string_view key);
/// Returns the job id in the key of a cancellation; empty for the key of a submission.
std::string_view cancelledJob(std::string_view key);

} // namespace hibiscusbridge::jobs
