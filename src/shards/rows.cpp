// Keys of the rows in which jobs are stored.
#include "shards/rows.hpp"

#include "helpers/ids.hpp"

namespace hibiscusbridge::jobs
{

constexpr std::uint64_t submissionTables = 64;
constexpr std::string_view cancellationSuffix = "/cancel";

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

RowKey progressKey(std::string_view shard, std::string_view job)
{
    return {progressTable, std::string(shard), std::string(job)};
}

std::string_view cancelledJob(std::string_view key)
{
    return key.ends_with(cancellationSuffix) ? key.substr(0, key.size() - cancellationSuffix.size()) : std::string_view();
}

} // namespace hibiscusbridge::jobs
