// Attribution of worker crashes to subtasks.
#include "scheduling/crashes.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

/// Crashes that a subtask proven to be the cause has had at least.
constexpr int minCrashesOfCause = 2;
/// A subtask with this many crashes is not started again, proven or not.
constexpr int maxCrashes = 4;

int confirmedCrashes(std::span<const CrashRecord> crashes)
{
    return static_cast<int>(std::count_if(crashes.begin(), crashes.end(), [](const CrashRecord &it) { return it.confirmed; }));
}

bool mustGiveUp(std::span<const CrashRecord> crashes)
{
    const auto count = [&](Suspicion least) {
        return std::count_if(crashes.begin(), crashes.end(), [&](const CrashRecord &it) { return it.confirmed && it.suspicion >= least; });
    };
    const bool proven = count(Suspicion::SoleSuspect) > 0 && count(Suspicion::RecentStart) >= minCrashesOfCause;
    return proven || count(Suspicion::PossibleStart) >= maxCrashes;
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
        const auto suspicion = proven ? Suspicion::SoleSuspect : Suspicion::RecentStart;
        result.emplace_back(it.started ? suspicion : Suspicion::PossibleStart);
    }
    return result;
}

bool isRackLoss(const WorkerLoss &loss, std::span<const WorkerLoss> others)
{
    if (loss.rack.empty()) {
        return false;
    }
    return std::any_of(others.begin(), others.end(), [&](const WorkerLoss &it) {
        const auto apart = it.at < loss.at ? loss.at - it.at : it.at - loss.at;
        return it.rack == loss.rack && apart <= commonLossWindow && !it.hadRecentStart;
    });
}

} // namespace hibiscusbridge::jobs
