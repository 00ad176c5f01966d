// Crashed workers in a pool: records of the crashes by subtask, suspects and subtasks that are given up.
#include "helpers/log.hpp"
#include "jobs/codec.hpp"
#include "scheduling/crashes.hpp"
#include "scheduling/pool.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusbridge::jobs
{

/// A planned move or restart of an empty VM is seen at most this long after the last cordon.
constexpr Millis plannedRestartTime{5'000};
/// The workers of a rack that is lost come back within this time of each other.
constexpr Millis lossMemory{15'000};

void Pool::cordonVms(const std::set<std::string> &vms, Millis until)
{
    for (auto &[id, worker] : m_workers) {
        if (vms.contains(worker->entry.vm)) {
            worker->cordonedUntil = until;
            worker->plannedRestartUntil = until + plannedRestartTime;
        } else {
            worker->cordonedUntil = {};
        }
    }
}

bool Pool::isInProbation(const Run &run, Millis now) const
{
    return !subtaskOf(run).crashes.empty() && (run.phase != RunPhase::Running || now - run.confirmedAt < suspectProbation);
}

/// True if the run may have crashed a worker that responded last at `lastResponse`.
static bool isRecentStart(const Run &run, Millis lastResponse)
{
    // The start time of an inherited run or of one without a response is unknown. A late owner processes the response to the start late,
    // as it does later ones, so the time counts from then.
    return run.phase != RunPhase::Running || std::max(run.lastOrderAt, run.confirmedAt) + recentStartWindow >= lastResponse;
}

/// True if a start order of the run may have reached its worker.
static bool wasSent(const Run &run)
{
    return run.phase == RunPhase::Inherited || run.phase == RunPhase::Running || (run.phase == RunPhase::Starting && !run.unsent);
}

WorkerLoss Pool::lossOf(const Worker &worker, Millis lastResponse) const
{
    WorkerLoss loss{.rack = rackOf(worker.entry), .at = std::max(worker.unreachableSince, lastResponse)};
    loss.hadRecentStart = std::any_of(
        worker.runs.begin(), worker.runs.end(), [&](const Run *it) { return wasSent(*it) && isRecentStart(*it, lastResponse); });
    return loss;
}

void Pool::onWorkerLost(const Worker &worker, std::span<Run *const> runs, Millis lastResponse, bool confirmed, Millis now)
{
    std::vector<Run *> sent;
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(sent), [](const Run *it) { return wasSent(*it); });
    // A VM is moved or restarted only when it is empty.
    const bool planned = worker.entry.draining || (sent.empty() && now < worker.plannedRestartUntil);
    if (planned) {
        return;
    }
    const auto loss = lossOf(worker, lastResponse);
    std::erase_if(m_recentLosses, [&](const auto &it) { return now - it.second.at > lossMemory; });
    m_recentLosses.emplace(std::pair(worker.entry.id, worker.incarnation.startedAt), loss);
    std::vector<WorkerLoss> others;
    for (const auto &[incarnation, it] : m_recentLosses) {
        if (incarnation.first != worker.entry.id) {
            others.push_back(it);
        }
    }
    for (const auto &[id, it] : m_workers) {
        const bool mayBePlanned = it->entry.draining || (it->runs.empty() && now < it->plannedRestartUntil);
        const bool recorded = m_recentLosses.contains({id, it->incarnation.startedAt});
        if (it.get() != &worker && it->misses > 0 && !mayBePlanned && !recorded) {
            others.push_back(lossOf(*it, it->incarnation.answeredAt));
        }
    }
    if (sent.empty()) {
        return;
    }
    const bool rackLoss = isRackLoss(loss, others);
    const auto lossSeenAt = worker.unreachableSince > lastResponse ? worker.unreachableSince : now;
    std::vector<LostRun> lost;
    for (const Run *const it : sent) {
        const bool started = it->phase == RunPhase::Running;
        lost.push_back({.isSuspect = !subtaskOf(*it).crashes.empty(),
                        .started = started,
                        .recentlyStarted = isRecentStart(*it, lastResponse),
                        .crashedAtOnce = started && lossSeenAt - std::max(it->lastOrderAt, it->confirmedAt) <= recentStartWindow});
    }
    const auto suspicions = attributeCrash(lost);
    logEvent(LogLevel::Warn,
             confirmed ? "worker_crashed" : "worker_lost",
             {{"pool", m_name},
              {"worker", worker.entry.id},
              {"vm", worker.entry.vm},
              {"rack", loss.rack},
              {"incarnation", worker.incarnation.startedAt},
              {"runs", sent.size()},
              {"suspects", std::count_if(suspicions.begin(), suspicions.end(), [](const auto &it) { return it.has_value(); })},
              {"rack_loss", rackLoss}});
    if (rackLoss) {
        return;
    }
    for (std::size_t i = 0; i < sent.size(); ++i) {
        if (suspicions[i]) {
            recordCrash(*sent[i], *suspicions[i], confirmed, lastResponse);
        }
    }
}

void Pool::recordCrash(const Run &run, Suspicion suspicion, bool confirmed, Millis lastResponse)
{
    auto &job = *run.job;
    auto &subtask = subtaskOf(run);
    if (subtask.done || isFinal(job.phase)) {
        return;
    }
    const auto &worker = run.worker->entry.id;
    const bool known = std::any_of(subtask.crashes.begin(), subtask.crashes.end(), [&](const CrashRecord &it) {
        return it.workerId == worker && it.workerStartedAt == run.incarnationStart;
    });
    if (known) {
        return;
    }
    subtask.crashes.push_back({worker, run.incarnationStart, suspicion, confirmed, run.worker->entry.vm});
    markChanged(job);
    const SubtaskId id{job.spec.id, run.occurrence, run.step, run.index};
    if (!confirmed) {
        m_unconfirmedCrashes[worker].push_back(id);
    }
    logEvent(LogLevel::Warn,
             "subtask_suspected",
             {{"job", id.job},
              {"subtask", toString(id)},
              {"run", run.number},
              {"worker", worker},
              {"incarnation", run.incarnationStart},
              {"sole_suspect", suspicion == Suspicion::SoleSuspect},
              {"confirmed", confirmed},
              {"crashes", confirmedCrashes(subtask.crashes)},
              {"run_age_ms", (lastResponse - run.lastOrderAt).count}});
    giveUpIfCause(id, subtask);
}

void Pool::giveUpIfCause(const SubtaskId &id, const Subtask &subtask)
{
    if (mustGiveUp(subtask.crashes)) {
        m_givenUp.push_back(id);
    }
}

Subtask *Pool::findSubtask(const SubtaskId &id) const
{
    const auto found = m_jobs.find(id.job);
    if (found == m_jobs.end() || isFinal(found->second->phase)) {
        return nullptr;
    }
    return &found->second->occurrences[static_cast<std::size_t>(id.occurrence)][static_cast<std::size_t>(id.step)]
                                      [static_cast<std::size_t>(id.index)];
}

/// Settles the unconfirmed crashes of a worker: those of `incarnation`, which has responded, were none; all others are confirmed.
void Pool::settleCrashes(const std::string &workerId, std::optional<std::int64_t> incarnation)
{
    const auto unconfirmed = m_unconfirmedCrashes.extract(workerId);
    if (unconfirmed.empty()) {
        return;
    }
    for (const auto &id : unconfirmed.mapped()) {
        auto *const subtask = findSubtask(id);
        if (!subtask) {
            continue;
        }
        markChanged(*m_jobs.at(id.job));
        std::erase_if(subtask->crashes,
                      [&](const CrashRecord &it) { return it.workerId == workerId && !it.confirmed && it.workerStartedAt == incarnation; });
        for (auto &it : subtask->crashes) {
            it.confirmed = it.confirmed || it.workerId == workerId;
        }
        giveUpIfCause(id, *subtask);
    }
}

void Pool::giveUpCrashingSubtasks(Millis now, Millis wall)
{
    for (const auto &id : std::exchange(m_givenUp, {})) {
        const auto *const subtask = findSubtask(id);
        if (!subtask || subtask->done) {
            continue;
        }
        std::string workers;
        for (const auto &it : subtask->crashes) {
            workers += (workers.empty() ? "" : ",") + it.workerId;
        }
        logEvent(LogLevel::Warn,
                 "subtask_given_up",
                 {{"job", id.job}, {"subtask", toString(id)}, {"crashes", confirmedCrashes(subtask->crashes)}, {"workers", workers}});
        auto &job = *m_jobs.at(id.job);
        job.failureReason = "subtask " + toString(id) + " crashed " + std::to_string(confirmedCrashes(subtask->crashes)) + " workers";
        finishJob(job, JobPhase::Failed, now, wall, "crashed-workers");
    }
}

} // namespace hibiscusbridge::jobs
