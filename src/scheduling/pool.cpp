// Inputs of a pool: jobs, workers, renewal results and order results.
#include "scheduling/pool.hpp"

#include "helpers/log.hpp"
#include "jobs/codec.hpp"
#include "scheduling/order.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

/// Consecutive lists without a confirmed run before it counts as lost. One such list may have been built before the start
/// arrived at the worker.
constexpr int missingListsBeforeLost = 2;
/// Fencing tokens per ownership claim. The claim's version times this is the owner's first token, so a later claim's tokens are
/// all higher.
constexpr std::uint64_t epochsPerFence = 1024;
/// Weight of a new sample in the moving average of duration ratios, and the upper limit of a sample, so that a hung worker does
/// not distort the estimates.
constexpr double durationRatioWeight = 0.03;
constexpr double maxDurationRatio = 4.0;

Pool::Pool(std::string name, std::uint64_t fence, PoolTimes times)
    : m_name(std::move(name))
    , m_fence(fence)
    , m_times(times)
{
}

static bool hasSubtask(const JobSpec &spec, const SubtaskId &id)
{
    return id.occurrence < occurrenceCount(spec) && id.step < static_cast<int>(spec.steps.size())
           && id.index < spec.steps[static_cast<std::size_t>(id.step)].count;
}

static SubtaskId idOf(const Run &run)
{
    return {run.job->spec.id, run.occurrence, run.step, run.index};
}

Subtask &Pool::subtaskOf(const Run &run) const
{
    return run.job
        ->occurrences[static_cast<std::size_t>(run.occurrence)][static_cast<std::size_t>(run.step)][static_cast<std::size_t>(run.index)];
}

const StepSpec &Pool::stepOf(const Run &run)
{
    return run.job->spec.steps[static_cast<std::size_t>(run.step)];
}

void Pool::markChanged(Job &job)
{
    m_changed.add(job.spec.id);
    m_active.insert(&job);
}

bool Pool::addJob(const JobSpec &spec, const std::optional<JobRecord> &record, Millis now, Millis wall)
{
    if (m_jobs.contains(spec.id)) {
        return false;
    }
    auto owned = std::make_unique<Job>();
    Job &job = *owned;
    job.sequence = ++m_lastSequence;
    job.spec = spec;
    job.submittedAt = now - std::max(wall - spec.acceptedAt, Millis{0});
    m_jobs.emplace(spec.id, std::move(owned));
    if (record) {
        job.phase = record->phase;
        job.endedAt = record->endedAt;
        job.cancelled = record->phase == JobPhase::Cancelled;
        job.failureReason = record->failureReason;
        job.recordParts.resize(record->parts);
    }
    const auto steps = spec.steps.size();
    for (int k = 0; k < occurrenceCount(spec); ++k) {
        auto &occurrence = job.occurrences.emplace_back(steps);
        auto &open = job.openSubtasks.emplace_back(steps, 0);
        for (std::size_t s = 0; s < steps; ++s) {
            occurrence[s] = std::vector<Subtask>(static_cast<std::size_t>(spec.steps[s].count));
            for (std::size_t i = 0; i < occurrence[s].size(); ++i) {
                auto &subtask = occurrence[s][i];
                subtask.unavailableSince = now;
                if (record) {
                    const auto &known = record->occurrences[static_cast<std::size_t>(k)][s][i];
                    subtask.done = known.done;
                    subtask.failedRuns = known.failedRuns;
                    subtask.lastRun = known.lastRun;
                    subtask.checkpoint = known.checkpoint;
                    subtask.crashes = known.crashes;
                    for (const auto &it : subtask.crashes) {
                        if (!it.confirmed) {
                            m_unconfirmedCrashes[it.workerId].push_back({spec.id, k, static_cast<int>(s), static_cast<int>(i)});
                        }
                    }
                    job.begun = job.begun || known.done || !known.failedRuns.empty() || !known.checkpoint.empty();
                    for (const auto &it : known.runs) {
                        auto &worker = m_workers[it.workerId];
                        if (!worker) {
                            worker = makeWorker(it.workerId, now);
                        }
                        auto &run = addRun(job, k, static_cast<int>(s), static_cast<int>(i), it.number, *worker);
                        run.phase = RunPhase::Inherited;
                        run.incarnationStart = it.workerStartedAt;
                        run.placedAt = now;
                        run.stopRequested = isFinal(job.phase) || subtask.done;
                    }
                }
                open[s] += subtask.done ? 0 : 1;
            }
        }
    }
    if (!isFinal(job.phase) || job.runCount > 0) {
        m_active.insert(&job);
    }
    if (!record && !isLongRunning(spec) && spec.times == 0) {
        m_arrivals.push_back({now, remainingWork(job)});
    }
    return true;
}

std::unique_ptr<Worker> Pool::makeWorker(const std::string &id, Millis now) const
{
    auto worker = std::make_unique<Worker>();
    worker->entry.id = id;
    worker->incarnation.leaseExpiry = now + m_times.previousOwnerLease;
    worker->laterLeaseExpiry = std::max(worker->incarnation.leaseExpiry, laterLeaseExpiryAt(now));
    return worker;
}

Run &Pool::addRun(Job &job, int occurrence, int step, int index, int number, Worker &worker)
{
    auto owned = std::make_unique<Run>();
    Run &run = *owned;
    run.job = &job;
    run.worker = &worker;
    run.occurrence = occurrence;
    run.step = step;
    run.index = index;
    run.number = number;
    run.incarnationStart = worker.incarnation.startedAt != 0 ? worker.incarnation.startedAt : worker.entry.incarnationStart;
    run.reserved = reserved(stepOf(run));
    subtaskOf(run).runs.push_back(std::move(owned));
    worker.runs.push_back(&run);
    worker.used = worker.used + run.reserved;
    ++job.runCount;
    return run;
}

void Pool::dropRun(Run &run, Millis now, const char *reason)
{
    auto &job = *run.job;
    auto &worker = *run.worker;
    auto &subtask = subtaskOf(run);
    if (std::string_view(reason) != nameOf(RunEnd::Done)) {
        logEvent(LogLevel::Info,
                 "run_over",
                 {{"job", job.spec.id},
                  {"subtask", toString(idOf(run))},
                  {"run", run.number},
                  {"worker", worker.entry.id},
                  {"reason", reason},
                  {"phase", static_cast<int>(run.phase)},
                  {"age_ms", (now - run.placedAt).count}});
    }
    if (subtask.unavailableSince.count == 0) {
        subtask.unavailableSince = now;
    }
    if (run.unansweredStartAt.count > 0) {
        const bool again = subtask.lateStart && subtask.lateStart->workerId == worker.entry.id;
        subtask.lateStart = {.workerId = worker.entry.id,
                             .until = run.unansweredStartAt + m_times.lateStartTime,
                             .count = again ? subtask.lateStart->count + 1 : 1};
    }
    worker.used = worker.used - run.reserved;
    std::erase(worker.runs, &run);
    --job.runCount;
    std::erase_if(subtask.runs, [&run](const auto &it) { return it.get() == &run; });
    markChanged(job);
}

Run *Pool::findRun(const Worker &worker, const SubtaskId &subtask, int number) const
{
    // By the job, as a worker may have thousands of runs and lists all of them each time.
    const auto found = m_jobs.find(subtask.job);
    if (found == m_jobs.end() || !hasSubtask(found->second->spec, subtask)) {
        return nullptr;
    }
    const auto &runs = found->second
                           ->occurrences[static_cast<std::size_t>(subtask.occurrence)][static_cast<std::size_t>(subtask.step)]
                                        [static_cast<std::size_t>(subtask.index)]
                           .runs;
    const auto it =
        std::find_if(runs.begin(), runs.end(), [&](const auto &run) { return run->worker == &worker && run->number == number; });
    return it != runs.end() ? it->get() : nullptr;
}

void Pool::stopRuns(Job &job, Millis now)
{
    for (auto &occurrence : job.occurrences) {
        for (auto &step : occurrence) {
            for (auto &subtask : step) {
                std::vector<Run *> unsent;
                for (const auto &it : subtask.runs) {
                    it->stopRequested = true;
                    if (isUnsent(*it) && it->phase != RunPhase::Committing) {
                        unsent.push_back(it.get());
                    }
                }
                for (Run *const it : unsent) {
                    dropRun(*it, now, "not-started");
                }
            }
        }
    }
}

void Pool::finishJob(Job &job, JobPhase phase, Millis now, Millis wall, const char *reason)
{
    if (isFinal(job.phase)) {
        return;
    }
    job.phase = phase;
    job.endedAt = wall;
    logEvent(LogLevel::Info,
             "job_ended",
             {{"job", job.spec.id},
              {"route", job.spec.route},
              {"reason", reason},
              {"age_ms", (now - job.submittedAt).count},
              {"objective_ms", latencyObjective(job.spec).count}});
    stopRuns(job, now);
    markChanged(job);
}

void Pool::cancelJob(const std::string &id, Millis now, Millis wall)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || it->second->cancelled) {
        return;
    }
    it->second->cancelled = true;
    finishJob(*it->second, JobPhase::Cancelled, now, wall, "cancelled");
}

void Pool::setWorkers(const std::vector<WorkerRegistration> &entries, Millis now)
{
    for (auto &[id, worker] : m_workers) {
        worker->registered = false;
    }
    for (const auto &entry : entries) {
        auto &worker = m_workers[entry.id];
        if (!worker) {
            worker = makeWorker(entry.id, now);
        }
        if (worker->synced && entry.incarnationStart != 0 && worker->incarnation.startedAt != 0
            && entry.incarnationStart != worker->incarnation.startedAt) {
            worker->synced = false;
        }
        if (entry.draining && !worker->entry.draining) {
            logEvent(LogLevel::Info,
                     "worker_draining",
                     {{"pool", m_name}, {"worker", entry.id}, {"vm", entry.vm}, {"runs", worker->runs.size()}});
        }
        worker->entry = entry;
        worker->registered = true;
    }
    std::erase_if(m_workers, [](const auto &it) { return !it.second->registered && it.second->runs.empty(); });
}

void Pool::endWorkers(const std::set<std::string> &ids, Millis now)
{
    std::erase_if(m_unknownRuns, [&](const UnknownRun &it) { return ids.contains(it.workerId); });
    for (const auto &id : ids) {
        settleCrashes(id, std::nullopt);
        const auto found = m_workers.find(id);
        if (found == m_workers.end()) {
            continue;
        }
        auto &worker = *found->second;
        onWorkerLost(worker, worker.runs, worker.incarnation.answeredAt, true, now);
        worker.registered = false;
        worker.synced = false;
        for (Run *const it : std::vector<Run *>(worker.runs)) {
            if (it->phase != RunPhase::Committing) {
                it->unansweredStartAt = {}; // The VM's next worker has another id.
                dropRun(*it, now, "worker-replaced");
            }
        }
    }
    std::erase_if(m_workers, [](const auto &it) { return !it.second->registered && it.second->runs.empty(); });
}

Millis Pool::leaseLength(Millis now) const
{
    return std::clamp(m_leaseLimit - now, Millis{0}, m_times.lease);
}

Millis Pool::laterLeaseExpiryAt(Millis now) const
{
    return now + m_times.orderArrival + longestLease(m_times.maxLease);
}

Millis Pool::expiryOf(const Run &run)
{
    const auto &worker = *run.worker;
    // Only the incarnation that has responded is known to have a running run. The start of another one may have met a later incarnation.
    const bool isConfirmed = run.phase == RunPhase::Running && run.unansweredStartAt.count == 0;
    return isConfirmed ? worker.incarnation.leaseExpiry : std::max(worker.incarnation.leaseExpiry, worker.laterLeaseExpiry);
}

void Pool::onHoldSent(const std::string &workerId, Millis now)
{
    if (const auto it = m_workers.find(workerId); it != m_workers.end()) {
        auto &worker = *it->second;
        auto &incarnation = worker.incarnation;
        incarnation.leaseExpiry = std::max(incarnation.leaseExpiry, now + longestLease(leaseLength(now)));
        worker.laterLeaseExpiry = std::max(worker.laterLeaseExpiry, laterLeaseExpiryAt(now));
    }
}

void Pool::onAcknowledged(const std::string &workerId, std::int64_t incarnationStart, std::int64_t cursor)
{
    if (const auto it = m_workers.find(workerId);
        it != m_workers.end() && (incarnationStart == 0 || incarnationStart == it->second->incarnation.startedAt)) {
        it->second->incarnation.unackedEnds.onAcknowledged(cursor);
    }
}

std::optional<OldestUnackedEnd> Pool::oldestUnackedEnd(Millis now) const
{
    std::optional<OldestUnackedEnd> oldest;
    for (const auto &[id, worker] : m_workers) {
        const auto &ends = worker->incarnation.unackedEnds;
        if (ends.empty() || (oldest && now - ends.oldestListedAt() <= oldest->age)) {
            continue;
        }
        oldest = {.workerId = id, .end = ends.oldestEnd(), .age = now - ends.oldestListedAt(), .delay = AckDelay::RenewalNotSent};
        if (!isReachable(*worker)) {
            oldest->delay = AckDelay::WorkerUnreachable;
        } else if (ends.oldestEnd() > worker->incarnation.ackCursor) {
            oldest->delay = AckDelay::RecordNotCommitted;
        }
    }
    return oldest;
}

Millis Pool::deadlineFor(const Worker &worker, Millis now) const
{
    if (!worker.synced || worker.incarnation.answeredAt.count == 0) {
        return {};
    }
    // Lower bound of the worker's clock, so that its lease never ends later than `leaseExpiry`.
    return earliestClock(worker.incarnation, now) + leaseLength(now);
}

std::uint64_t Pool::fenceAt(const std::string &workerId) const
{
    const auto it = m_workers.find(workerId);
    return it != m_workers.end() ? m_fence * epochsPerFence + std::min(it->second->epoch, epochsPerFence - 1) : 0;
}

bool Pool::isReachable(const Worker &worker) const
{
    return worker.synced && worker.misses == 0;
}

static void recordResponse(Worker &worker, Millis clock, Millis now)
{
    worker.misses = 0;
    if (clock.count > 0) {
        worker.incarnation.clockAtAnswer = clock;
        worker.incarnation.answeredAt = now;
    }
}

void Pool::onRestarted(Worker &worker, const RenewResult &result, Millis lastResponse, Millis now)
{
    std::vector<Run *> lost;
    std::copy_if(worker.runs.begin(), worker.runs.end(), std::back_inserter(lost), [&](const Run *it) {
        return it->incarnationStart != result.incarnationStart;
    });
    settleCrashes(worker.entry.id, result.incarnationStart);
    onWorkerLost(worker, lost, lastResponse, true, now);
    logEvent(LogLevel::Info,
             "worker_reborn",
             {{"pool", m_name},
              {"worker", worker.entry.id},
              {"old_born", worker.incarnation.startedAt},
              {"new_born", result.incarnationStart},
              {"runs", worker.runs.size()}});
    const auto &former = worker.incarnation;
    worker.incarnation = {.startedAt = result.incarnationStart,
                          .clockAtAnswer = former.clockAtAnswer,
                          .answeredAt = former.answeredAt,
                          .listedAt = former.listedAt,
                          .leaseExpiry = worker.laterLeaseExpiry};
    ++worker.epoch;
    for (Run *const it : std::vector<Run *>(worker.runs)) {
        if (it->incarnationStart == result.incarnationStart) {
            continue;
        }
        it->unansweredStartAt = {}; // The answered call has shut out the starts that were without a response.
        const bool listed = std::any_of(result.running.begin(), result.running.end(), [&](const RunReport &run) {
            return run.run == it->number && run.subtask == idOf(*it);
        });
        if (listed || (it->phase == RunPhase::Starting && !it->unsent)) {
            it->incarnationStart = result.incarnationStart;
        } else if (!isUnsent(*it)) {
            // A run that was not sent is withdrawn, with its gang, before the next orders.
            dropRun(*it, now, "worker-reborn");
        }
    }
}

bool Pool::mayHaveOrdersOfFormer(const Worker &worker, Millis clock) const
{
    const bool isYoung = clock < m_times.restartDetection + longestLease(m_times.maxLease);
    return isYoung && std::any_of(worker.runs.begin(), worker.runs.end(), [](const Run *it) { return it->phase == RunPhase::Inherited; });
}

void Pool::onHold(
    const std::string &workerId, std::uint64_t renewalFence, const RenewResult &result, Millis sentAt, Millis now, Millis wall)
{
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end()) {
        return;
    }
    auto &worker = *found->second;
    if (result.outcome == OrderOutcome::Fenced && renewalFence < fenceAt(workerId)) {
        return; // The worker has seen a later token of this owner, so it can be reached.
    }
    if (result.outcome != OrderOutcome::Accepted) {
        if (worker.misses++ == 0) {
            worker.unreachableSince = now;
            // If the worker has restarted, the first call that it answers shuts out the starts that were meant for its former incarnation.
            const bool hasOpenStart = std::any_of(
                worker.runs.begin(), worker.runs.end(), [](const Run *it) { return it->phase == RunPhase::Starting && !it->unsent; });
            worker.epoch += hasOpenStart ? 1 : 0;
            logEvent(LogLevel::Warn,
                     "worker_unheard",
                     {{"pool", m_name},
                      {"worker", workerId},
                      {"outcome", nameOf(result.outcome)},
                      {"error", result.error},
                      {"runs", worker.runs.size()},
                      {"lease_left_ms", (worker.incarnation.leaseExpiry - now).count}});
        }
        return;
    }
    const auto incarnationStart = result.incarnationStart != 0 ? result.incarnationStart : worker.entry.incarnationStart;
    if (isFormer(worker.incarnation, incarnationStart, sentAt)) {
        return logEvent(LogLevel::Info,
                        "former_incarnation_ignored",
                        {{"pool", m_name}, {"worker", workerId}, {"born", incarnationStart}, {"sent_ms_ago", (now - sentAt).count}});
    }
    if (worker.misses > 0) {
        logEvent(LogLevel::Info, "worker_reachable", {{"pool", m_name}, {"worker", workerId}, {"misses", worker.misses}});
    }
    const auto lastResponse = worker.incarnation.answeredAt;
    recordResponse(worker, result.workerClock, now);
    worker.incarnation.listedAt = now;
    if (worker.incarnation.startedAt != 0 && incarnationStart != worker.incarnation.startedAt) {
        onRestarted(worker, result, lastResponse, now);
    } else if (worker.incarnation.startedAt == 0 && mayHaveOrdersOfFormer(worker, result.workerClock)) {
        worker.incarnation.leaseExpiry = std::max(worker.incarnation.leaseExpiry, worker.laterLeaseExpiry);
    }
    if (worker.incarnation.firstListedAt.count == 0) {
        worker.incarnation.firstListedAt = now;
    }
    worker.incarnation.startedAt = incarnationStart;
    settleCrashes(workerId, incarnationStart);
    for (const auto &it : result.ended) {
        if (it.number > worker.incarnation.lastProcessedEnd) {
            onEnd(worker, it, now, wall);
            worker.incarnation.lastProcessedEnd = it.number;
            m_unackedWorkers.insert(workerId);
            worker.incarnation.unackedEnds.onListed(it.number, now, m_changed.latest());
        }
    }
    std::set<const Run *> listed;
    for (const auto &it : result.running) {
        Run *const run = findRun(worker, it.subtask, it.run);
        if (!run) {
            const auto known = std::find_if(m_unknownRuns.begin(), m_unknownRuns.end(), [&](const UnknownRun &unknown) {
                return unknown.workerId == workerId && unknown.run == it.run && unknown.subtask == it.subtask;
            });
            if (known == m_unknownRuns.end()) {
                logEvent(LogLevel::Warn, "unknown_run", {{"worker", workerId}, {"subtask", toString(it.subtask)}, {"run", it.run}});
                m_unknownRuns.push_back({.workerId = workerId, .subtask = it.subtask, .run = it.run, .listedAt = now});
            } else {
                known->listedAt = now;
            }
            worker.backoffUntil = now + m_times.refusalBackoff;
            continue;
        }
        listed.insert(run);
        run->job->begun = true;
        if (run->phase != RunPhase::Running) {
            run->phase = RunPhase::Running;
            run->confirmedAt = now;
        }
        run->missedLists = 0;
        if (!stepOf(*run).gang) {
            run->unansweredStartAt = {}; // A member of a gang may have been started again under the same number.
        }
        run->progressPercent = it.progressPercent;
        run->metric = it.metric;
        auto &subtask = subtaskOf(*run);
        if (!subtask.crashes.empty() && now - run->confirmedAt >= clearingTime) {
            subtask.crashes.clear();
            markChanged(*run->job);
        }
        if (stepOf(*run).longRunning && run->progressPercent >= 100 && !run->stopRequested) {
            subtask.availableSince = subtask.unavailableSince.count > 0 ? now : subtask.availableSince;
            subtask.unavailableSince = {};
        }
        if (!it.checkpoint.empty() && it.checkpoint != subtask.checkpoint && stepOf(*run).checkpointing) {
            subtask.checkpoint = it.checkpoint;
            m_changed.add(run->job->spec.id);
        }
    }
    const bool firstList = !worker.synced;
    worker.synced = true;
    if (firstList) {
        // The worker restarted before this owner heard from it.
        std::vector<Run *> lost;
        std::copy_if(worker.runs.begin(), worker.runs.end(), std::back_inserter(lost), [&](const Run *it) {
            return it->phase == RunPhase::Inherited && it->incarnationStart != 0 && it->incarnationStart != incarnationStart;
        });
        if (!lost.empty()) {
            onWorkerLost(worker, lost, lastResponse, true, now);
        }
    }
    std::vector<Run *> neverStarted;
    for (Run *const it : std::vector<Run *>(worker.runs)) {
        if (listed.contains(it) || result.moreEnded) {
            continue; // Once the listed ends are acknowledged, the worker lists the others.
        }
        if (it->phase == RunPhase::Inherited && (it->stopRequested || it->incarnationStart != incarnationStart)) {
            dropRun(*it, now, "not-listed");
        } else if (it->phase == RunPhase::Inherited) {
            // The worker has accepted this owner's fencing token, so it rejects the previous owner's starts from now on.
            it->unansweredStartAt = now;
            neverStarted.push_back(it);
        } else if (it->phase == RunPhase::Starting && !it->unsent && !it->orderInFlight && it->startFence < renewalFence) {
            // The worker has seen a higher fencing token than the start's, so the start can no longer be executed.
            neverStarted.push_back(it);
        } else if (it->phase == RunPhase::Running && it->confirmedAt <= sentAt && ++it->missedLists >= missingListsBeforeLost) {
            dropRun(*it, now, "lost");
        }
    }
    for (Run *const it : neverStarted) {
        onNeverStarted(*it, now);
    }
    std::erase_if(m_unknownRuns, [&](const UnknownRun &unknown) {
        return unknown.workerId == workerId && !result.moreEnded
               && std::none_of(result.running.begin(), result.running.end(), [&](const RunReport &run) {
                      return run.run == unknown.run && run.subtask == unknown.subtask;
                  });
    });
}

void Pool::finishSubtask(Job &job, int occurrence, int step, int index, Millis now, Millis wall)
{
    const auto k = static_cast<std::size_t>(occurrence);
    const auto s = static_cast<std::size_t>(step);
    auto &subtasks = job.occurrences[k][s];
    const auto finish = [&](Subtask &subtask) {
        if (!subtask.done) {
            subtask.done = true;
            --job.openSubtasks[k][s];
        }
        for (const auto &it : subtask.runs) {
            it->stopRequested = true;
        }
    };
    if (job.spec.steps[s].gang) {
        for (auto &it : subtasks) {
            finish(it);
        }
    } else {
        finish(subtasks[static_cast<std::size_t>(index)]);
    }
    for (const auto &open : job.openSubtasks) {
        if (std::any_of(open.begin(), open.end(), [](int n) { return n > 0; })) {
            return;
        }
    }
    finishJob(job, JobPhase::Completed, now, wall, "completed");
}

void Pool::onEnd(Worker &worker, const RunEndReport &end, Millis now, Millis wall)
{
    const auto &id = end.subtask;
    const auto found = m_jobs.find(id.job);
    if (found == m_jobs.end()) {
        logEvent(LogLevel::Warn, "end_of_unknown_job", {{"worker", worker.entry.id}, {"subtask", toString(id)}, {"run", end.run}});
        return;
    }
    auto &job = *found->second;
    if (!hasSubtask(job.spec, id)) {
        logEvent(LogLevel::Warn, "end_of_unknown_subtask", {{"worker", worker.entry.id}, {"subtask", toString(id)}, {"run", end.run}});
        return;
    }
    const auto &step = job.spec.steps[static_cast<std::size_t>(id.step)];
    auto &steps = job.occurrences[static_cast<std::size_t>(id.occurrence)];
    auto &subtask = steps[static_cast<std::size_t>(id.step)][static_cast<std::size_t>(id.index)];
    markChanged(job);
    job.begun = true;
    subtask.lastRun = std::max(subtask.lastRun, end.run);
    if (Run *const run = findRun(worker, id, end.run)) {
        if (end.end == RunEnd::Done && !step.longRunning && run->confirmedAt.count > 0 && run->attempts == 1 && step.estimate.count > 0) {
            auto &ratio = m_durationRatio.try_emplace(job.spec.route, 1.0).first->second;
            const auto measured = static_cast<double>((now - run->confirmedAt).count) / static_cast<double>(step.estimate.count);
            ratio += (std::min(measured, maxDurationRatio) - ratio) * durationRatioWeight;
        }
        dropRun(*run, now, nameOf(end.end));
    }
    if (!end.checkpoint.empty() && step.checkpointing) {
        subtask.checkpoint = end.checkpoint;
    }
    worker.incarnation.failuresInARow = end.end == RunEnd::Failed ? worker.incarnation.failuresInARow + 1 : 0;
    if (subtask.done || isFinal(job.phase)) {
        return;
    }
    if (end.end == RunEnd::Done && !step.longRunning) {
        return finishSubtask(job, id.occurrence, id.step, id.index, now, wall);
    }
    if (end.end != RunEnd::Failed) {
        return;
    }
    if (step.longRunning || std::find(subtask.failedRuns.begin(), subtask.failedRuns.end(), end.run) != subtask.failedRuns.end()) {
        return;
    }
    subtask.failedRuns.push_back(end.run);
    auto failures = subtask.failedRuns.size();
    if (step.gang) {
        failures = 0;
        for (const auto &it : steps[static_cast<std::size_t>(id.step)]) {
            failures += it.failedRuns.size();
        }
    }
    if (failures >= static_cast<std::size_t>(job.spec.policy.maxAttempts)) {
        job.failureReason = "subtask " + toString(id) + " failed " + std::to_string(failures) + " times";
        finishJob(job, JobPhase::Failed, now, wall, "attempts-used");
    }
}

/// True for outcomes that guarantee that the order had no effect.
static bool isRefusal(OrderOutcome outcome)
{
    return outcome != OrderOutcome::Accepted && outcome != OrderOutcome::Unknown && outcome != OrderOutcome::NotSent;
}

/// True if a worker has answered the order.
static bool hasResponse(const OrderResult &result)
{
    return result.outcome != OrderOutcome::Unknown && result.outcome != OrderOutcome::NotSent;
}

void Pool::onStart(const StartOrder &order, const OrderResult &result, Millis now)
{
    const auto found = m_workers.find(order.worker.id);
    if (found == m_workers.end()) {
        return;
    }
    auto &worker = *found->second;
    const Run *const sent = findRun(worker, order.subtask, order.run);
    if (sent && hasResponse(result) && !mayHaveAnswered(worker.incarnation, result.workerClock, sent->lastOrderAt, now)) {
        // Another incarnation than the one that the order was meant for: the next list shows what it did.
        logEvent(LogLevel::Warn,
                 "start_met_other_incarnation",
                 {{"subtask", toString(order.subtask)},
                  {"run", order.run},
                  {"worker", order.worker.id},
                  {"outcome", nameOf(result.outcome)},
                  {"clock_ms", result.workerClock.count},
                  {"expected_ms", earliestClock(worker.incarnation, now).count}});
        return onStart(order, {.outcome = OrderOutcome::Unknown, .error = "answer of another incarnation"}, now);
    }
    if (result.outcome == OrderOutcome::Unknown) {
        worker.unreachableSince = worker.misses++ == 0 ? now : worker.unreachableSince;
        worker.epoch += order.fence == fenceAt(order.worker.id) ? 1 : 0;
    } else if (hasResponse(result)) {
        recordResponse(worker, result.workerClock, now);
    }
    Run *const run = findRun(worker, order.subtask, order.run);
    if (!run) {
        return;
    }
    run->orderInFlight = false;
    run->unsent = result.outcome == OrderOutcome::NotSent;
    run->attempts -= run->unsent ? 1 : 0;
    if (result.outcome == OrderOutcome::Unknown) {
        run->unansweredStartAt = run->lastOrderAt;
        ++worker.incarnation.failuresInARow;
    }
    if (result.outcome == OrderOutcome::Accepted) {
        run->job->begun = true;
        if (run->phase == RunPhase::Starting) {
            run->phase = RunPhase::Running;
            run->confirmedAt = now;
        }
        return;
    }
    logEvent(LogLevel::Info,
             "start_not_confirmed",
             {{"job", order.subtask.job},
              {"subtask", toString(order.subtask)},
              {"run", order.run},
              {"worker", order.worker.id},
              {"outcome", nameOf(result.outcome)},
              {"attempt", run->attempts},
              {"placed_ms_ago", (now - run->placedAt).count},
              {"sent_ms_ago", (now - run->lastOrderAt).count},
              {"error", result.error}});
    if (!isRefusal(result.outcome)) {
        return;
    }
    if (result.outcome == OrderOutcome::Fenced && order.fence < fenceAt(order.worker.id) && run->attempts <= 1) {
        // A later token of this owner has overtaken the start.
        run->unsent = true;
        run->attempts = 0;
        return;
    }
    worker.backoffUntil = now + m_times.refusalBackoff;
    if (result.outcome == OrderOutcome::BadTicket) {
        run->job->advice.erase(run->occurrence * static_cast<int>(run->job->spec.steps.size()) + run->step);
    }
    if (run->attempts <= 1) {
        subtaskOf(*run).retryAt = result.outcome == OrderOutcome::Rejected ? now + m_times.refusalBackoff : now;
        withdraw(*run, now, nameOf(result.outcome));
    } else if (run->phase == RunPhase::Starting) {
        // An earlier attempt may have been executed; the worker's next list shows it.
        run->phase = RunPhase::Running;
        run->confirmedAt = now;
    }
}

void Pool::onStop(const StopOrder &order, const OrderResult &result, Millis now)
{
    const auto found = m_workers.find(order.worker.id);
    if (found == m_workers.end()) {
        return;
    }
    Run *const run = findRun(*found->second, order.subtask, order.run);
    if (run) {
        run->orderInFlight = false;
    }
    if (!hasResponse(result) || (run && !mayHaveAnswered(found->second->incarnation, result.workerClock, run->lastStopAt, now))) {
        return;
    }
    recordResponse(*found->second, result.workerClock, now);
    if (!run || result.outcome != OrderOutcome::Accepted) {
        return;
    }
    run->stopAccepted = true;
    if (run->phase != RunPhase::Running) {
        // The worker refuses a start that arrives after its stop, so its list shows whether the run exists.
        run->phase = RunPhase::Running;
        run->confirmedAt = now;
    }
}

void Pool::onPace(const ThrottleOrder &order, const OrderResult &result)
{
    const auto found = m_workers.find(order.worker.id);
    if (found == m_workers.end()) {
        return;
    }
    if (Run *const run = findRun(*found->second, order.subtask, order.run)) {
        run->orderInFlight = false;
        if (result.outcome == OrderOutcome::Accepted) {
            run->speedPercent = order.percent;
        }
    }
}

void Pool::onAdvice(const AdviceRequest &request, const AdviceResult &result, Millis now)
{
    const auto found = m_jobs.find(request.step.job);
    if (found == m_jobs.end()) {
        return;
    }
    auto &job = *found->second;
    auto &advice = job.advice[request.step.occurrence * static_cast<int>(job.spec.steps.size()) + request.step.step];
    advice.requestInFlight = false;
    if (!result.answered) {
        logEvent(LogLevel::Warn, "advice_failed", {{"job", job.spec.id}, {"step", request.step.step}, {"error", result.error}});
        return;
    }
    advice.tickets.clear();
    for (const auto &it : result.workers) {
        advice.tickets[it.id] = it.ticket;
    }
    advice.validUntil = now + result.validFor;
    if (result.workers.empty()) {
        logEvent(
            LogLevel::Info, "advice_none", {{"job", job.spec.id}, {"step", request.step.step}, {"asked_workers", request.workers.size()}});
    }
}

} // namespace hibiscusbridge::jobs
