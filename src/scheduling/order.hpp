// The order in which queued work gets workers, and what a job can still earn its caller.
#pragma once

#include "jobs/job.hpp"

#include <cstdint>

namespace hibiscusbridge::jobs
{

/// Longest chain of estimated work through the steps, without waiting.
Millis criticalPath(const JobSpec &spec);
/// Core-milliseconds of one occurrence by the estimates.
std::int64_t estimatedWork(const JobSpec &spec);
/// Time from submission (or the due time) in which the caller expects the job.
Millis latencyObjective(const JobSpec &spec);
/// A job later than the objective times this has no value left for its caller.
inline constexpr int lateObjectiveFactor = 3;

/// What the order depends on.
struct QueuedWork {
    int priority = 0;
    bool longRunning = false;
    bool started = false;
    /// Since submission or the due time.
    Millis age;
    Millis objective;
    /// Shortest time in which the rest can be done.
    Millis remainingCriticalPath;
    /// Core-milliseconds still to be done.
    std::int64_t remainingWork = 0;
};

/// What a job can still become.
enum class ObjectiveStatus {
    LongRunning,
    OnTime,
    /// After its objective, but not so late that it has lost its value.
    Late,
    Expired,
};

ObjectiveStatus objectiveStatus(const QueuedWork &job);

/// CPU in thousandths of a core that does the rest of a job early enough for its objective: half of the time that is left is
/// kept for queueing and for VMs that have yet to join. Answers queues with objectives of different length: a pool of long
/// jobs must not draw all VMs while one of short jobs is in its surge.
std::int64_t cpuForObjective(std::int64_t workCoreMs, Millis untilObjective);

/// True when `a` gets workers before `b`. Answers a surge of several times the pool's capacity: jobs that can still meet
/// their objective go first, the ones with the least work left first among them, since each is worth about the same to
/// its caller; jobs that are late for certain use what is left, oldest first.
bool precedes(const QueuedWork &a, const QueuedWork &b);

} // namespace hibiscusbridge::jobs
