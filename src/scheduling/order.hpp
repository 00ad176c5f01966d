// Scheduling order of queued work, and whether a job can still meet its latency objective.
#pragma once

#include "jobs/job.hpp"

#include <cstdint>

namespace hibiscusbridge::jobs
{

/// Estimated duration of the longest dependency chain of steps, without queueing.
Millis criticalPath(const JobSpec &spec);
/// Estimated work of one occurrence in core-milliseconds.
std::int64_t estimatedWork(const JobSpec &spec);
/// Time after submission (or after the due time) within which the job should complete.
Millis latencyObjective(const JobSpec &spec);
/// A job that takes longer than its objective times this factor has no value left for its caller.
inline constexpr int lateObjectiveFactor = 3;

/// Inputs of the scheduling order.
struct QueuedWork {
    int priority = 0;
    bool longRunning = false;
    bool started = false;
    /// Time since submission or since the due time.
    Millis age;
    Millis objective;
    /// Shortest time in which the remaining steps can complete.
    Millis remainingCriticalPath;
    /// Unfinished work in core-milliseconds.
    std::int64_t remainingWork = 0;
};

/// Whether a job can still meet its latency objective. The order of the values is the scheduling order.
enum class ObjectiveStatus {
    LongRunning,
    OnTime,
    /// Misses its objective, but by less than `lateObjectiveFactor`.
    Late,
    Expired,
};

ObjectiveStatus objectiveStatus(const QueuedWork &job);

/// CPU, in thousandths of a core, that completes the work within half of the time left until the objective; the other half is
/// reserved for queueing and for VMs that have yet to join. Scaling by the time left keeps a pool of long jobs from claiming
/// all VMs during a load surge in a pool of short jobs.
std::int64_t cpuForObjective(std::int64_t workCoreMs, Millis untilObjective);

/// True if `a` gets workers before `b`. Designed for load surges of several times the pool's capacity: jobs that can still meet
/// their objective go first, those with the least remaining work first among them, since each job is worth about the same
/// to its caller. Jobs that will certainly miss it use the remaining capacity, oldest first.
bool precedes(const QueuedWork &a, const QueuedWork &b);

} // namespace hibiscusbridge::jobs
