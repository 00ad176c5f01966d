// Compares the processors that entries have for their shards.
#include "shards/balance.hpp"

namespace hibiscusbridge::jobs
{

/// A hand-over costs the pool some 0.1 s without decisions, so small differences are left alone. Below two, so that one of two
/// shards moves to an idle entry of the same speed.
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
