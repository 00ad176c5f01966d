// Jobs as callers submit them, and what is recorded of their progress.
#pragma once

#include "helpers/millis.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

/// What one subtask takes of a worker, or what a worker has.
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
    /// The caller's rough estimate of one subtask's duration.
    Millis estimate;
    /// Indices of earlier steps that must be done first.
    std::vector<int> after;
    bool checkpointing = false;
    /// All subtasks run together, with one run number, and end together.
    bool gang = false;
    /// Runs slower when its subtasks are spread over several racks.
    bool sameRack = false;
    /// Label that the worker must have; empty for none.
    std::string requiredLabel;
    /// Rack that holds the data; empty for none.
    std::string preferredRack;
    /// Most subtasks of the step on one worker; 0 for no limit.
    int maxPerWorker = 0;
    /// Several copies of a subtask may run at the same time; the first to finish counts.
    bool speculativeExecution = false;
    /// Runs until the job is cancelled.
    bool longRunning = false;
    std::string image;
    /// Response-time tail that the subtask must stay under; 0 for none.
    Millis tailLatencyTarget;
    /// Takes the CPU that other subtasks leave unused; its CPU is not counted.
    bool usesSpareCpu = false;
    /// Most subtasks that may be away at one time because of our own actions.
    int maxUnavailable = 0;

    bool operator==(const StepSpec &) const = default;
};

/// What a worker must have free for one subtask of the step.
constexpr Resources reserved(const StepSpec &step)
{
    return {step.usesSpareCpu ? 0 : step.need.cpuMilli, step.need.memoryMb, step.need.gpus};
}

/// The settings of a queue that a job keeps from the moment it was accepted.
struct QueuePolicy {
    int priority = 0; ///< 0 comes first
    int maxAttempts = 1;
    /// The latency objective is `stretch` times the longest chain of work, plus `latencyTarget`.
    double stretch = 1.0;
    Millis latencyTarget;
    /// The queue asks the advice service which workers may run a step.
    bool needsAdvice = false;
    /// Time that the advice service takes for a call, and for each worker named in it.
    Millis adviceTime;
    Millis adviceTimePerWorker;

    bool operator==(const QueuePolicy &) const = default;
};

struct JobSpec {
    std::string id;
    std::string route;
    /// Opaque text that each start carries.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of occurrences; 0 for a job that runs once, at once.
    int times = 0;
    Millis startAt; ///< wall clock; due time of the first occurrence
    Millis interval; ///< between due times
    QueuePolicy policy;
    Millis acceptedAt; ///< wall clock of the accepting entry

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

/// One start of a subtask that has been recorded and is not known to have ended.
struct RunRecord {
    int number = 0;
    std::string workerId;
    std::int64_t workerStartedAt = 0; ///< start of the worker's incarnation, Unix milliseconds

    bool operator==(const RunRecord &) const = default;
};

struct SubtaskRecord {
    bool done = false;
    /// Numbers of the runs that ended with a failure. An end may be listed to several owners in turn and counts once.
    std::vector<int> failedRuns;
    /// Highest run number used.
    int lastRun = 0;
    std::string checkpoint;
    std::vector<RunRecord> runs;

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
    Millis endedAt; ///< wall clock; 0 while the job is not final

    bool operator==(const JobRecord &) const = default;
};

JobRecord emptyRecord(const JobSpec &spec);

/// Names one subtask of a pool's jobs.
struct SubtaskId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const SubtaskId &) const = default;
};

} // namespace hibiscusbridge::jobs
