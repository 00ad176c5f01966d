// Which subtask is blamed for the crash of a worker, and when a subtask that crashes workers is given up: pure functions without
// clocks or network.
//
// A worker that crashes takes every run on it along, and only one of them may be the cause. The runs that had just been started come
// under suspicion. The next run of a suspect goes to a worker on another VM on which nothing else is started meanwhile: if that worker
// crashes at once as well, the suspect is the cause; otherwise it is cleared when it completes or has run long enough.
#pragma once

#include "helpers/millis.hpp"
#include "jobs/job.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge::jobs
{

/// A crash is attributed to runs that were started at most this long before the worker's last response.
inline constexpr Millis recentStartWindow{250};
/// Nothing else is started on a worker until a suspect has run there for this long.
inline constexpr Millis suspectProbation{200};
/// A subtask that has run for this long is cleared of earlier crashes.
inline constexpr Millis clearingTime{10'000};
/// Losses of workers of one rack within this time have a common cause.
inline constexpr Millis commonLossWindow{500};

/// True if the subtask is proven to be the cause of its crashes, or if so many workers have crashed at its start that it may not be
/// started again.
bool mustGiveUp(std::span<const CrashRecord> crashes);
/// True if the worker, or an earlier one on its VM, has crashed under the subtask.
bool hasCrashed(std::span<const CrashRecord> crashes, std::string_view workerId, std::string_view vm);
/// Number of workers that are known to have crashed.
int confirmedCrashes(std::span<const CrashRecord> crashes);

/// A run on a worker that was lost.
struct LostRun {
    /// Its subtask has been under suspicion before.
    bool isSuspect = false;
    /// The worker has accepted or listed the run.
    bool started = false;
    /// The worker may have crashed within `recentStartWindow` of the start.
    bool recentlyStarted = false;
    /// The worker is known to have crashed within that time, so that another cause is unlikely.
    bool crashedAtOnce = false;
};

/// Returns the suspicion against each run of a crashed worker; nullopt for one that is not under suspicion.
std::vector<std::optional<Suspicion>> attributeCrash(std::span<const LostRun> runs);

/// The loss of one worker.
struct WorkerLoss {
    std::string rack;
    Millis at;
    bool hadRecentStart = false;
};

/// True if another worker of the rack was lost at the same time without a run that could have crashed it: then the rack is the likely
/// cause. `others` must not contain the loss itself.
bool isRackLoss(const WorkerLoss &loss, std::span<const WorkerLoss> others);

} // namespace hibiscusbridge::jobs
