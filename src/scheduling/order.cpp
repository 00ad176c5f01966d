// Scheduling order of queued work.
#include "scheduling/order.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace hibiscusbridge::jobs
{

Millis criticalPath(const JobSpec &spec)
{
    std::vector<Millis> finish;
    Millis longest;
    for (const auto &step : spec.steps) {
        Millis start;
        for (const int before : step.after) {
            start = std::max(start, finish[static_cast<std::size_t>(before)]);
        }
        finish.push_back(start + step.estimate);
        longest = std::max(longest, finish.back());
    }
    return longest;
}

std::int64_t estimatedWork(const JobSpec &spec)
{
    std::int64_t work = 0;
    for (const auto &it : spec.steps) {
        work += it.count * it.need.cpuMilli * it.estimate.count / 1000;
    }
    return work;
}

Millis latencyObjective(const JobSpec &spec)
{
    const auto chain = static_cast<double>(criticalPath(spec).count);
    return Millis{static_cast<std::int64_t>(chain * spec.policy.stretch)} + spec.policy.latencyTarget;
}

ObjectiveStatus objectiveStatus(const QueuedWork &job)
{
    if (job.longRunning) {
        return ObjectiveStatus::LongRunning;
    }
    if (job.age + job.remainingCriticalPath <= job.objective) {
        return ObjectiveStatus::OnTime;
    }
    return job.age + job.remainingCriticalPath <= job.objective * lateObjectiveFactor ? ObjectiveStatus::Late : ObjectiveStatus::Expired;
}

/// Lower bound of the planning time: a VM needs longer than this to join.
constexpr Millis minPlanningTime{600};

std::int64_t cpuForObjective(std::int64_t workCoreMs, Millis untilObjective)
{
    return workCoreMs * 1000 / std::max(untilObjective / 2, minPlanningTime).count;
}

bool precedes(const QueuedWork &a, const QueuedWork &b)
{
    const auto rank = [](const QueuedWork &job) {
        const auto status = objectiveStatus(job);
        const auto tieBreaker = status == ObjectiveStatus::OnTime ? job.remainingWork : -job.age.count;
        return std::make_tuple(status, job.priority, !job.started, tieBreaker);
    };
    return rank(a) < rank(b);
}

} // namespace hibiscusbridge::jobs
