// Compares the CPU per shard of the entries.
#include "shards/balance.hpp"

namespace hibiscusbridge::jobs
{

/// Minimum ratio of the CPU per shard after and before a hand-over. A hand-over stops scheduling in the pool for about 0.1 s,
/// so small gains are ignored. Less than 2, so that one of two shards moves to an idle entry of the same speed.
constexpr double minHandOverGain = 1.9;

bool shouldHandOver(double cpu, int held, double requesterCpu, int requesterHeld)
{
    return held > 0 && requesterCpu / (requesterHeld + 1) >= minHandOverGain * cpu / held;
}

std::optional<std::string> shardToRequest(double cpu, int held, const std::map<std::string, ShardHolder> &others)
{
    std::map<std::string, int> shardsOf;
    for (const auto &[shard, it] : others) {
        ++shardsOf[it.holder];
    }
    std::optional<std::string> chosen;
    double least = 0;
    for (const auto &[shard, it] : others) {
        const int n = shardsOf[it.holder];
        if (shouldHandOver(it.cpu, n, cpu, held) && (!chosen || it.cpu / n < least)) {
            chosen = shard;
            least = it.cpu / n;
        }
    }
    return chosen;
}

} // namespace hibiscusbridge::jobs
