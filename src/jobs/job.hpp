// Job specifications as submitted by callers, and the recorded progress of jobs.
#pragma once

#include "helpers/millis.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

/// Resources required by one subtask, or available on a worker.
struct Resources {
    std::int64_t cpuMilli = 0; ///< thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    bool operator==(const Resources &) const = default;
};

constexpr Resources operator+(const Resources &a, const Resources &b)
{
    return {a.cpuMilli + b.cpuMilli, a.memoryMb + b.memoryMb, a.gpus + b.gpus};
}

constexpr Resources operator-(const Resources &a, const Resources &b)
{
    return {a.cpuMilli - b.cpuMilli, a.memoryMb - b.memoryMb, a.gpus - b.gpus};
}

constexpr bool fits(const Resources &need, const Resources &room)
{
    return need.cpuMilli <= room.cpuMilli && need.memoryMb <= room.memoryMb && need.gpus <= room.gpus;
}

struct StepSpec {
    int count = 1;
    Resources need;
    /// Estimated duration of one subtask, as given by the caller.
    Millis estimate;
    /// Indices of earlier steps that must complete first.
    std::vector<int> after;
    bool checkpointing = false;
    /// Gang scheduling: all subtasks start together, share one run number and end together.
    bool gang = false;
    /// The step runs slower if its subtasks are spread over several racks.
    bool sameRack = false;
    /// Label that the worker must have; empty if none is required.
    std::string requiredLabel;
    /// Rack that holds the input data; empty for no preference.
    std::string preferredRack;
    /// Maximum number of subtasks of the step on one worker; 0 for no limit.
    int maxPerWorker = 0;
    /// Several copies of a subtask may run concurrently; the first to finish determines the result.
    bool speculativeExecution = false;
    /// The step runs until the job is cancelled.
    bool longRunning = false;
    std::string image;
    /// Upper bound for the subtask's tail latency; 0 for no bound.
    Millis tailLatencyTarget;
    /// Best effort: uses CPU left idle by other subtasks and reserves none itself.
    bool usesSpareCpu = false;
    /// Maximum number of subtasks that may be unavailable at the same time due to planned disruptions.
    int maxUnavailable = 0;

    bool operator==(const StepSpec &) const = default;
};

/// Resources that must be free on a worker to place one subtask of the step.
constexpr Resources reserved(const StepSpec &step)
{
    return {step.usesSpareCpu ? 0 : step.need.cpuMilli, step.need.memoryMb, step.need.gpus};
}

/// Queue settings, copied into a job when it is accepted; later changes to the queue do not apply to that job.
struct QueuePolicy {
    int priority = 0; ///< 0 is the highest priority
    int maxAttempts = 1;
    /// The latency objective is `stretch` times the length of the critical path, plus `latencyTarget`.
    double stretch = 1.0;
    Millis latencyTarget;
    /// The advice service decides which workers may run a step.
    bool needsAdvice = false;
    /// Expected duration of a call to the advice service: a fixed part, and a part per worker listed in the call.
    Millis adviceTime;
    Millis adviceTimePerWorker;

    bool operator==(const QueuePolicy &) const = default;
};

struct JobSpec {
    std::string id;
    std::string route;
    /// Opaque text, passed to the worker with each start.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of occurrences of a recurring job; 0 for a job that runs once, immediately.
    int times = 0;
    Millis startAt; ///< wall clock; due time of the first occurrence
    Millis interval; ///< between the due times of consecutive occurrences
    QueuePolicy policy;
    Millis acceptedAt; ///< wall clock of the entry that accepted the job

    bool operator==(const JobSpec &) const = default;
};

inline int occurrenceCount(const JobSpec &spec)
{
    return spec.times > 0 ? spec.times : 1;
}

inline bool isLongRunning(const JobSpec &spec)
{
    for (const auto &it : spec.steps) {
        if (it.longRunning) {
            return true;
        }
    }
    return false;
}

/// A recorded start of a subtask for which no end has been reported.
struct RunRecord {
    int number = 0;
    std::string workerId;
    std::int64_t workerStartedAt = 0; ///< start of the worker's incarnation, Unix milliseconds

    bool operator==(const RunRecord &) const = default;
};

/// Evidence that a crashed worker gives against a subtask that had just been started on it.
enum class Suspicion {
    /// It is not known whether the worker carried the start out.
    PossibleStart,
    /// Others may have been started at the same time, or the time of the crash is not known well.
    RecentStart,
    /// The worker crashed at once, and a suspect was the only run that had just been started.
    SoleSuspect,
};

/// A worker incarnation that was lost shortly after it had been told to start the subtask.
struct CrashRecord {
    std::string workerId;
    std::int64_t workerStartedAt = 0; ///< start of the worker's incarnation, Unix milliseconds
    Suspicion suspicion = Suspicion::PossibleStart;
    /// A later incarnation has been seen. Until then the worker may only be unreachable.
    bool confirmed = false;
    /// Empty in records of earlier versions, or if the recording owner did not know it.
    std::string vm;

    bool operator==(const CrashRecord &) const = default;
};

struct SubtaskRecord {
    bool done = false;
    /// Numbers of the failed runs. Successive owners may receive a report of the same end; it counts once.
    std::vector<int> failedRuns;
    /// Highest run number assigned so far.
    int lastRun = 0;
    std::string checkpoint;
    std::vector<RunRecord> runs;
    /// At most one entry for each worker incarnation, so that successive owners count a crash once.
    std::vector<CrashRecord> crashes;

    bool operator==(const SubtaskRecord &) const = default;
};

enum class JobPhase {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

constexpr bool isFinal(JobPhase phase)
{
    return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

/// Progress of a job: `occurrences[k][step][index]`.
struct JobRecord {
    JobPhase phase = JobPhase::Queued;
    std::vector<std::vector<std::vector<SubtaskRecord>>> occurrences;
    Millis endedAt; ///< wall clock; 0 until the job reaches a final phase
    std::string failureReason; ///< empty unless the job has failed
    /// Rows beyond the first that the record was read from; 0 if it is in a single row.
    std::size_t parts = 0;

    bool operator==(const JobRecord &) const = default;
};

JobRecord emptyRecord(const JobSpec &spec);

/// Identifies a subtask among all jobs of a pool.
struct SubtaskId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const SubtaskId &) const = default;
};

/// Formats as `JOB.OCCURRENCE.STEP.INDEX`, for logs and messages.
std::string toString(const SubtaskId &id);

} // namespace hibiscusbridge::jobs
