// Decides which shards should move to another entry, so that the CPU of all entries is used evenly. Uses no clock or network.
#pragma once

#include <map>
#include <optional>
#include <string>

namespace hibiscusbridge::jobs
{

/// The owner of a shard according to its claim.
struct ShardHolder {
    std::string holder;
    std::string address; ///< peer address of the holder
    double cpu = 0; ///< CPU of the holder in cores
};

/// True if a shard should move from an entry that holds `held` shards to one that holds `requesterHeld`, because it would get
/// about twice as much CPU there or more. Corrects two situations: after fast VMs were lost, slow ones own busy pools; and
/// when entries start one after another, the first ones own several shards.
bool shouldHandOver(double cpu, int held, double requesterCpu, int requesterHeld);

/// Returns the shard that an entry should request from its owner: among the eligible ones, the one with the least CPU.
std::optional<std::string> shardToRequest(double cpu, int held, const std::map<std::string, ShardHolder> &others);

} // namespace hibiscusbridge::jobs
