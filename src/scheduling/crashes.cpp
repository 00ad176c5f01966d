// Attribution of worker crashes to subtasks.
#include "scheduling/crashes.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

/// Crashes that a subtask proven to be the cause has had at least.
constexpr int minCrashesOfCause = 2;
/// A subtask with this many crashes is not started again, proven or not.
constexpr int maxCrashes = 4;
/// Other workers of a rack that crash together are attributed to the rack from this number on.
constexpr std::ptrdiff_t rackLossLimit = 2;

int confirmedCrashes(std::span<const CrashRecord> crashes)
{
    return static_cast<int>(std::count_if(crashes.begin(), crashes.end(), [](const CrashRecord &it) { return it.confirmed; }));
}

bool mustGiveUp(std::span<const CrashRecord> crashes)
{
    const bool proven = std::any_of(
        crashes.begin(), crashes.end(), [](const CrashRecord &it) { return it.confirmed && it.suspicion == Suspicion::SoleSuspect; });
    return confirmedCrashes(crashes) >= (proven ? minCrashesOfCause : maxCrashes);
}

std::vector<std::optional<Suspicion>> attributeCrash(std::span<const LostRun> runs)
{
    const auto recentStarts = std::count_if(runs.begin(), runs.end(), [](const LostRun &it) { return it.recentlyStarted; });
    std::vector<std::optional<Suspicion>> result;
    for (const auto &it : runs) {
        if (!it.recentlyStarted) {
            result.emplace_back(std::nullopt);
            continue;
        }
        const bool proven = recentStarts == 1 && it.isSuspect && it.crashedAtOnce;
        result.emplace_back(proven ? Suspicion::SoleSuspect : Suspicion::RecentStart);
    }
    return result;
}

bool isRackLoss(const WorkerLoss &loss, std::span<const WorkerLoss> others)
{
    if (loss.rack.empty()) {
        return false;
    }
    std::ptrdiff_t together = 0;
    for (const auto &it : others) {
        const auto apart = it.at < loss.at ? loss.at - it.at : it.at - loss.at;
        if (it.rack != loss.rack || apart > commonLossWindow) {
            continue;
        }
        if (!it.hadRecentStart) {
            return true;
        }
        ++together;
    }
    return together >= rackLossLimit;
}

} // namespace hibiscusbridge::jobs
