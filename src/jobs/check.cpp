// Limits on the numbers of a job.
#include "jobs/check.hpp"

#include <string>

namespace hibiscusbridge::jobs
{

/// Subtasks of a job over all its occurrences.
constexpr std::int64_t maxSubtasks = 5'000;
/// Thousandths of a core. The product with `maxSubtasks` and `maxDuration` fits into 64 bits.
constexpr std::int64_t maxCpuMilli = 10'000'000;
constexpr std::int64_t maxMemoryMb = 1'000'000'000;
constexpr std::int64_t maxGpus = 1'000'000;
/// Due times, in milliseconds: about 300 years, so that the last occurrence of a job is within the range of `Millis`.
constexpr std::int64_t maxScheduleTime = 10'000'000'000'000;

static bool isWithin(std::int64_t n, std::int64_t most)
{
    return n >= 0 && n <= most;
}

bool isWithinLimits(const Resources &resources)
{
    return isWithin(resources.cpuMilli, maxCpuMilli) && isWithin(resources.memoryMb, maxMemoryMb) && isWithin(resources.gpus, maxGpus);
}

static absl::Status checkStep(const StepSpec &step, std::size_t position)
{
    const auto fail = [position](const char *reason) {
        return absl::InvalidArgumentError("step " + std::to_string(position) + " " + reason);
    };
    if (step.count < 1) {
        return fail("has no subtasks");
    }
    for (const int it : step.after) {
        if (!isWithin(it, static_cast<std::int64_t>(position) - 1)) {
            return fail("depends on a step that does not precede it");
        }
    }
    if (!isWithinLimits(step.need)) {
        return fail("needs a negative or excessive amount of CPU, memory or GPUs");
    }
    if (!isWithin(step.estimate.count, maxDuration.count) || !isWithin(step.tailLatencyTarget.count, maxDuration.count)) {
        return fail("has a negative or excessive duration");
    }
    if (step.maxPerWorker < 0 || step.maxUnavailable < 0) {
        return fail("has a negative limit");
    }
    return absl::OkStatus();
}

absl::Status checkSpec(const JobSpec &spec)
{
    if (spec.steps.empty()) {
        return absl::InvalidArgumentError("the job has no steps");
    }
    std::int64_t subtasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        if (auto status = checkStep(spec.steps[i], i); !status.ok()) {
            return status;
        }
        subtasks += spec.steps[i].count;
        if (subtasks > maxSubtasks) {
            return absl::InvalidArgumentError("the job has too many subtasks");
        }
    }
    if (spec.times < 0 || subtasks * occurrenceCount(spec) > maxSubtasks) {
        return absl::InvalidArgumentError("the job has too many subtasks");
    }
    if (!isWithin(spec.startAt.count, maxScheduleTime) || !isWithin(spec.interval.count, maxScheduleTime)) {
        return absl::InvalidArgumentError("the job's schedule has a negative or excessive time");
    }
    return absl::OkStatus();
}

} // namespace hibiscusbridge::jobs
