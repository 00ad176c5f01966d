// Attribution of worker crashes to subtasks.
#include "scheduling/crashes.hpp"

#include <algorithm>
#include <set>

namespace hibiscusbridge::jobs
{

/// VMs that a subtask proven to be the cause has crashed at least. A VM that crashes again and again may do so by itself.
constexpr std::size_t minVmsOfCause = 2;
/// A subtask with this many crashes is not started again, proven or not.
constexpr int maxCrashes = 4;

int confirmedCrashes(std::span<const CrashRecord> crashes)
{
    return static_cast<int>(std::count_if(crashes.begin(), crashes.end(), [](const CrashRecord &it) { return it.confirmed; }));
}

bool mustGiveUp(std::span<const CrashRecord> crashes)
{
    std::set<std::string_view> vms;
    bool wasSoleSuspect = false;
    for (const auto &it : crashes) {
        if (it.confirmed && it.suspicion >= Suspicion::RecentStart) {
            vms.insert(it.vm.empty() ? it.workerId : it.vm);
            wasSoleSuspect = wasSoleSuspect || it.suspicion == Suspicion::SoleSuspect;
        }
    }
    const bool proven = wasSoleSuspect && vms.size() >= minVmsOfCause;
    return proven || confirmedCrashes(crashes) >= maxCrashes;
}

bool hasCrashed(std::span<const CrashRecord> crashes, std::string_view workerId, std::string_view vm)
{
    return std::any_of(
        crashes.begin(), crashes.end(), [&](const CrashRecord &it) { return it.workerId == workerId || (!vm.empty() && it.vm == vm); });
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
