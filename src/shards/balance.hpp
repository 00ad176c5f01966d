// Which shards should change their owner, so that the processors of the entries are used evenly. Without clocks or network.
#pragma once

#include <map>
#include <optional>
#include <string>

namespace hibiscusbridge::jobs
{

/// A shard's owner as its claim tells.
struct ShardHolder {
    std::string holder;
    std::string address; ///< peer address of the holder
    double cpu = 0; ///< processor of the holder in cores
};

/// True when a shard should go from an entry that holds `held` shards to one that holds `requesterHeld`: the latter would have at
/// least about twice the processor for it. Answers the loss of fast VMs, after which slow ones own busy pools, and starts one
/// after the other, after which one entry owns several.
bool shouldHandOver(double cpu, int held, double requesterCpu, int requesterHeld);

/// The shard that an entry should ask for; the one with the least processor for it first.
std::optional<std::string> shardToRequest(double cpu, int held, const std::map<std::string, ShardHolder> &others);

} // namespace hibiscusbridge::jobs
