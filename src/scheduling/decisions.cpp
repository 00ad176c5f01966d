// Decisions of a pool: placement, stops, throttle changes and reports.
#include "helpers/log.hpp"
#include "scheduling/order.hpp"
#include "scheduling/placement.hpp"
#include "scheduling/pool.hpp"

#include <algorithm>
#include <iterator>

namespace hibiscusbridge::jobs
{

/// Consecutive failed runs after which a worker is chosen only if no other fits.
constexpr int failurePenaltyThreshold = 3;
/// Spare-CPU subtasks are paused when a latency-sensitive subtask on the same worker exceeds the first share of its tail-latency
/// target, and sped up when all of them are below the second.
constexpr std::int64_t slowDownPercent = 85;
constexpr std::int64_t speedUpPercent = 60;
/// Increment for speeding up a throttled subtask, in percent of full speed.
constexpr int speedStepPercent = 25;
/// Minimum interval between advice requests for one step.
constexpr Millis adviceRetryInterval{300};
/// Tickets that expire within this time are not used.
constexpr Millis ticketMargin{300};
/// Maximum number of workers in one advice request.
constexpr std::size_t maxAdvisedWorkers = 100;
/// A suspect keeps its worker from other starts for a while, so at most one of this many workers runs one at a time.
constexpr std::size_t workersPerProbation = 2;
/// A subtask whose starts on one worker got no response this often in a row is not started there again while it may be late.
constexpr int maxUnansweredStarts = 4;
/// Window for measuring the arrival rate of work; short compared with a load surge of a few seconds.
constexpr Millis arrivalWindow{800};

struct Pool::Ready {
    Job *job = nullptr;
    int occurrence = 0;
    int step = 0;
    QueuedWork queued;
};

void Pool::dropExpiredRuns(Millis now)
{
    for (auto &[id, worker] : m_workers) {
        if (worker->runs.empty() || isReachable(*worker) || now <= worker->incarnation.leaseExpiry) {
            continue;
        }
        std::vector<Run *> expired;
        std::copy_if(worker->runs.begin(), worker->runs.end(), std::back_inserter(expired), [now](const Run *it) {
            return it->phase != RunPhase::Placed && it->phase != RunPhase::Committing && now > expiryOf(*it);
        });
        if (expired.empty()) {
            continue;
        }
        onWorkerLost(*worker, worker->runs, worker->incarnation.answeredAt, false, now);
        for (Run *const it : expired) {
            dropRun(*it, now, "lease-over");
        }
    }
    withdrawUnstartable(now);
    std::erase_if(m_workers, [](const auto &it) { return !it.second->registered && it.second->runs.empty(); });
}

bool Pool::mayStopLongRunning(const Job &job, int occurrence, int step, int index, Millis now) const
{
    const auto s = static_cast<std::size_t>(step);
    const auto &subtasks = job.occurrences[static_cast<std::size_t>(occurrence)][s];
    int unavailable = 0;
    for (std::size_t i = 0; i < subtasks.size(); ++i) {
        // A subtask on an unreachable worker may have stopped serving long before its lease expires.
        const auto &runs = subtasks[i].runs;
        const bool listed = subtasks[i].unavailableSince.count == 0 && now - subtasks[i].availableSince >= m_times.availabilityDelay;
        const bool available = listed && !runs.empty() && isReachable(*runs.front()->worker);
        if (static_cast<int>(i) != index && !available) {
            ++unavailable;
        }
    }
    return unavailable < std::max(job.spec.steps[s].maxUnavailable, 1);
}

/// True if the worker may get new work, apart from a cordon on its VM.
bool Pool::isUsable(const Worker &worker, Millis now) const
{
    return worker.registered && isReachable(worker) && !worker.entry.draining && worker.backoffUntil <= now;
}

Resources Pool::unknownLoad(const Worker &worker) const
{
    Resources load;
    for (const auto &it : m_unknownRuns) {
        if (it.workerId != worker.entry.id) {
            continue;
        }
        const auto job = m_jobs.find(it.subtask.job);
        const auto step = static_cast<std::size_t>(it.subtask.step);
        if (job == m_jobs.end() || step >= job->second->spec.steps.size()) {
            return worker.entry.capacity; // The size of the run is unknown too, so nothing may be placed beside it.
        }
        load = load + reserved(job->second->spec.steps[step]);
    }
    return load;
}

/// Converts a worker to a placement candidate, without the sibling count.
Candidate Pool::candidateOf(const Worker &worker, Millis now) const
{
    Candidate it{.free = worker.entry.capacity - worker.used - unknownLoad(worker), .capacity = worker.entry.capacity};
    it.labels = worker.entry.labels;
    if (worker.entry.labels.size() > 1) {
        it.rack = worker.entry.labels[1];
    }
    it.usable = isUsable(worker, now) && worker.cordonedUntil <= now;
    it.failurePenalty = worker.incarnation.failuresInARow >= failurePenaltyThreshold ? 1 : 0;
    for (const Run *const run : worker.runs) {
        const auto &step = stepOf(*run);
        it.serving += step.longRunning ? 1 : 0;
        it.spareCpuRuns += step.usesSpareCpu ? 1 : 0;
        it.inProbation = it.inProbation || isInProbation(*run, now);
        it.lastStartAt = std::max(it.lastStartAt, run->phase == RunPhase::Running ? run->confirmedAt : now);
    }
    it.usable = it.usable && !it.inProbation;
    return it;
}

int Pool::siblingsOn(const Worker &worker, const Job &job, int occurrence, int step)
{
    return static_cast<int>(std::count_if(worker.runs.begin(), worker.runs.end(), [&](const Run *run) {
        return run->job == &job && run->occurrence == occurrence && run->step == step;
    }));
}

bool Pool::hasRoomElsewhere(const Run &run, Millis now) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &it) {
        auto candidate = candidateOf(*it.second, now);
        candidate.siblings = siblingsOn(*it.second, *run.job, run.occurrence, run.step);
        return it.second.get() != run.worker && canTake(stepOf(run), candidate);
    });
}

void Pool::evictLongRunning(Millis now)
{
    for (auto &[id, worker] : m_workers) {
        const bool leaving = worker->registered && worker->entry.draining;
        if (!leaving && worker->cordonedUntil <= now) {
            continue;
        }
        for (Run *const it : worker->runs) {
            if (it->stopRequested || !stepOf(*it).longRunning || it->phase != RunPhase::Running) {
                continue;
            }
            // Lists are up to one renewal old, so a subtask not yet listed as available may be available by now. A draining worker
            // ends it in any case.
            if (!leaving && !(hasRoomElsewhere(*it, now) && mayStopLongRunning(*it->job, it->occurrence, it->step, it->index, now))) {
                continue;
            }
            it->stopRequested = true;
            subtaskOf(*it).unavailableSince = now;
            logEvent(LogLevel::Info,
                     "subtask_moved",
                     {{"job", it->job->spec.id},
                      {"step", it->step},
                      {"index", it->index},
                      {"run", it->number},
                      {"worker", id},
                      {"vm", worker->entry.vm},
                      {"reason", leaving ? "worker-draining" : "vm-maintenance"}});
        }
    }
}

void Pool::adjustThrottling()
{
    for (auto &[id, worker] : m_workers) {
        bool serving = false;
        bool tooSlow = false;
        bool hasHeadroom = true;
        for (const Run *const it : worker->runs) {
            const auto &step = stepOf(*it);
            if (step.tailLatencyTarget.count == 0 || step.usesSpareCpu || it->phase != RunPhase::Running) {
                continue;
            }
            serving = true;
            tooSlow = tooSlow || it->metric * 100 > step.tailLatencyTarget.count * slowDownPercent;
            hasHeadroom = hasHeadroom && it->metric * 100 < step.tailLatencyTarget.count * speedUpPercent;
        }
        for (Run *const it : worker->runs) {
            if (!stepOf(*it).usesSpareCpu || it->phase != RunPhase::Running || it->targetSpeedPercent != it->speedPercent) {
                continue;
            }
            if (tooSlow) {
                it->targetSpeedPercent = 0;
            } else if (!serving) {
                it->targetSpeedPercent = 100;
            } else if (hasHeadroom) {
                it->targetSpeedPercent = std::min(it->speedPercent + speedStepPercent, 100);
            }
        }
    }
}

QueuedWork Pool::queuedWorkOf(const Job &job, int occurrence, Millis age) const
{
    const auto &spec = job.spec;
    const auto &open = job.openSubtasks[static_cast<std::size_t>(occurrence)];
    QueuedWork queued{
        .priority = spec.policy.priority, .longRunning = isLongRunning(spec), .started = job.phase == JobPhase::Running, .age = age};
    queued.objective = latencyObjective(spec);
    std::vector<Millis> finish;
    for (std::size_t s = 0; s < open.size(); ++s) {
        Millis start;
        for (const int before : spec.steps[s].after) {
            start = std::max(start, finish[static_cast<std::size_t>(before)]);
        }
        finish.push_back(open[s] > 0 ? start + spec.steps[s].estimate : start);
        queued.remainingCriticalPath = std::max(queued.remainingCriticalPath, finish.back());
        queued.remainingWork += open[s] * spec.steps[s].need.cpuMilli * spec.steps[s].estimate.count / 1000;
    }
    queued.remainingCriticalPath = {
        static_cast<std::int64_t>(static_cast<double>(queued.remainingCriticalPath.count) * durationRatio(spec))};
    return queued;
}

std::vector<Pool::Ready> Pool::readySteps(Millis now, Millis wall)
{
    std::vector<Ready> ready;
    for (Job *const job : m_active) {
        if (isFinal(job->phase)) {
            continue;
        }
        const auto &spec = job->spec;
        for (int k = 0; k < occurrenceCount(spec); ++k) {
            const auto due = spec.startAt + spec.interval * k;
            if (spec.times > 0 && wall < due) {
                break;
            }
            const auto &open = job->openSubtasks[static_cast<std::size_t>(k)];
            const auto &steps = job->occurrences[static_cast<std::size_t>(k)];
            auto queued = queuedWorkOf(*job, k, spec.times > 0 ? wall - due : now - job->submittedAt);
            for (std::size_t s = 0; s < open.size(); ++s) {
                const auto &after = spec.steps[s].after;
                const bool blocked =
                    std::any_of(after.begin(), after.end(), [&](int before) { return open[static_cast<std::size_t>(before)] > 0; });
                const bool unplaced = std::any_of(
                    steps[s].begin(), steps[s].end(), [&](const Subtask &it) { return !it.done && it.runs.empty() && it.retryAt <= now; });
                if (open[s] > 0 && !blocked && unplaced) {
                    queued.longRunning = spec.steps[s].longRunning;
                    ready.push_back({job, k, static_cast<int>(s), queued});
                }
            }
        }
    }
    std::sort(ready.begin(), ready.end(), [](const Ready &a, const Ready &b) { return precedes(a.queued, b.queued); });
    return ready;
}

bool Pool::needsAdvice(Job &job, int occurrence, int step, Millis now)
{
    auto &advice = job.advice[occurrence * static_cast<int>(job.spec.steps.size()) + step];
    if (advice.validUntil > now + ticketMargin && !advice.tickets.empty()) {
        return false;
    }
    if (!advice.requestInFlight && now >= advice.requestedAt + adviceRetryInterval) {
        AdviceRequest request{.step = {job.spec.id, occurrence, step, 0}};
        std::vector<const Worker *> eligible;
        for (const auto &[id, worker] : m_workers) {
            if (isReachable(*worker) && worker->registered && !worker->entry.draining && worker->cordonedUntil <= now) {
                eligible.push_back(worker.get());
            }
        }
        std::sort(eligible.begin(), eligible.end(), [](const Worker *a, const Worker *b) {
            return a->entry.capacity.cpuMilli - a->used.cpuMilli > b->entry.capacity.cpuMilli - b->used.cpuMilli;
        });
        for (const auto *const it : eligible) {
            if (request.workers.size() < maxAdvisedWorkers) {
                request.workers.push_back(it->entry.id);
            }
        }
        if (!request.workers.empty()) {
            advice.requestInFlight = true;
            advice.requestedAt = now;
            m_adviceRequests.push_back(std::move(request));
        }
    }
    return true;
}

std::optional<AdviceRequest> Pool::nextAdviceRequest(Millis)
{
    if (m_adviceRequests.empty()) {
        return std::nullopt;
    }
    auto request = std::move(m_adviceRequests.front());
    m_adviceRequests.erase(m_adviceRequests.begin());
    return request;
}

/// Placement candidates of one scheduling pass, updated as subtasks are placed.
struct Pool::Round {
    std::vector<Candidate> candidates;
    std::vector<Worker *> workers;
    /// Highest free CPU of any usable worker; steps that need more are skipped early.
    std::int64_t mostFreeCpu = 0;
    /// Workers on which a suspect is in probation, and how many may be at the same time.
    std::size_t probations = 0;
    std::size_t maxProbations = 0;

    /// Starts nothing else on the worker in this pass.
    void startProbation(std::size_t i)
    {
        candidates[i].usable = false;
        ++probations;
    }

    void refresh()
    {
        mostFreeCpu = 0;
        for (const auto &it : candidates) {
            mostFreeCpu = it.usable ? std::max(mostFreeCpu, it.free.cpuMilli) : mostFreeCpu;
        }
    }
};

/// Fallback for a long-running subtask that fits on no usable worker. Returns a worker on a cordoned VM that still has
/// long-running subtasks, which may not stop while this one is unavailable. Otherwise reserves the room that is freed next on
/// the worker with the most free CPU: short subtasks would take each freed core for the whole duration of a load surge.
std::optional<std::size_t> Pool::chooseOrReserve(const Ready &ready, Round &round, Millis now) const
{
    const auto &step = ready.job->spec.steps[static_cast<std::size_t>(ready.step)];
    std::vector<Candidate> emptying;
    std::optional<std::size_t> mostFree;
    for (std::size_t i = 0; i < round.workers.size(); ++i) {
        const auto &worker = *round.workers[i];
        const bool hasLongRunning = std::any_of(
            worker.runs.begin(), worker.runs.end(), [](const Run *it) { return stepOf(*it).longRunning && !it->stopRequested; });
        auto &it = emptying.emplace_back(round.candidates[i]);
        it.siblings = siblingsOn(worker, *ready.job, ready.occurrence, ready.step);
        it.usable = isUsable(worker, now) && worker.cordonedUntil > now && hasLongRunning;
        auto emptied = round.candidates[i];
        emptied.siblings = it.siblings;
        emptied.free = emptied.capacity;
        const auto freeCpu = round.candidates[i].free.cpuMilli;
        if (canTake(step, emptied) && (!mostFree || freeCpu > round.candidates[*mostFree].free.cpuMilli)) {
            mostFree = i;
        }
    }
    if (const auto choice = chooseWorker(step, emptying, {})) {
        return choice;
    }
    if (mostFree) {
        round.candidates[*mostFree].free = round.candidates[*mostFree].free - reserved(step);
    }
    return std::nullopt;
}

/// The candidates without the VMs that have crashed under one of the subtasks: a second crash there would prove nothing.
std::vector<Candidate> Pool::candidatesElsewhere(std::span<const Subtask> subtasks,
                                                 std::span<const Candidate> candidates,
                                                 const Round &round)
{
    std::vector<Candidate> elsewhere(candidates.begin(), candidates.end());
    for (std::size_t i = 0; i < elsewhere.size(); ++i) {
        const auto &worker = round.workers[i]->entry;
        elsewhere[i].usable = elsewhere[i].usable && std::none_of(subtasks.begin(), subtasks.end(), [&](const Subtask &it) {
                                  return hasCrashed(it.crashes, worker.id, worker.vm);
                              });
    }
    return elsewhere;
}

/// Chooses a worker for a subtask that may crash it and keeps that worker from other starts. If something has just been started on every
/// worker that fits, the quietest one is kept for a later pass.
std::optional<std::size_t> Pool::chooseForSuspect(
    const Subtask &subtask, const StepSpec &step, std::vector<Candidate> &candidates, Round &round, Millis now) const
{
    if (round.probations >= round.maxProbations) {
        return std::nullopt;
    }
    const auto elsewhere = candidatesElsewhere({&subtask, 1}, candidates, round);
    const bool fitsElsewhere = std::any_of(elsewhere.begin(), elsewhere.end(), [&](const Candidate &it) { return canTake(step, it); });
    const auto &eligible = fitsElsewhere ? elsewhere : candidates;
    const auto choice = jobs::chooseForSuspect(step, eligible, now - recentStartWindow);
    if (const auto kept = choice ? choice : chooseQuietest(step, eligible)) {
        round.startProbation(*kept);
        candidates[*kept].usable = false;
    }
    return choice;
}

bool Pool::mayRunUnknown(const SubtaskId &subtask, Millis now) const
{
    return std::any_of(m_unknownRuns.begin(), m_unknownRuns.end(), [&](const UnknownRun &it) {
        return it.subtask == subtask && now <= it.listedAt + longestLease(m_times.maxLease);
    });
}

bool Pool::isBoundToWorker(const Subtask &subtask, Millis now) const
{
    if (!subtask.lateStart || subtask.lateStart->until <= now) {
        return false;
    }
    // A worker that has crashed under the subtask since then refuses the late start, and the subtask has to run elsewhere.
    const auto worker = m_workers.find(subtask.lateStart->workerId);
    return !hasCrashed(subtask.crashes, subtask.lateStart->workerId, worker != m_workers.end() ? worker->second->entry.vm : std::string());
}

/// The worker of the subtask's late start, if the subtask may be started there again.
std::optional<std::size_t> Pool::chooseBound(const LateStart &late,
                                             const StepSpec &step,
                                             std::span<const Candidate> candidates,
                                             const Round &round)
{
    const auto it =
        std::find_if(round.workers.begin(), round.workers.end(), [&](const Worker *worker) { return worker->entry.id == late.workerId; });
    const auto i = static_cast<std::size_t>(it - round.workers.begin());
    if (it == round.workers.end() || late.count >= maxUnansweredStarts || !canTake(step, candidates[i])) {
        return std::nullopt;
    }
    return i;
}

void Pool::placeStep(const Ready &ready, Round &round, Millis now)
{
    auto &job = *ready.job;
    const auto s = static_cast<std::size_t>(ready.step);
    const auto &step = job.spec.steps[s];
    if (reserved(step).cpuMilli > round.mostFreeCpu && !step.longRunning) {
        return;
    }
    const auto mayAdd = [&job](int runs) {
        return job.maxRuns == 0 || job.runCount + runs <= job.maxRuns;
    };
    auto &subtasks = job.occurrences[static_cast<std::size_t>(ready.occurrence)][s];
    const bool advised = job.spec.policy.needsAdvice;
    if (advised && needsAdvice(job, ready.occurrence, ready.step, now)) {
        return;
    }
    const auto *const tickets =
        advised ? &job.advice[ready.occurrence * static_cast<int>(job.spec.steps.size()) + ready.step].tickets : nullptr;
    const bool countsSiblings = step.maxPerWorker > 0 || step.sameRack;
    std::string_view siblingRack;
    std::vector<Candidate> stepCandidates;
    if (countsSiblings || tickets) {
        stepCandidates = round.candidates;
        for (std::size_t i = 0; i < stepCandidates.size(); ++i) {
            stepCandidates[i].siblings = countsSiblings ? siblingsOn(*round.workers[i], job, ready.occurrence, ready.step) : 0;
            stepCandidates[i].usable = stepCandidates[i].usable && (!tickets || tickets->contains(round.workers[i]->entry.id));
            siblingRack = stepCandidates[i].siblings > 0 ? stepCandidates[i].rack : siblingRack;
        }
    }
    auto &candidates = stepCandidates.empty() ? round.candidates : stepCandidates;
    const auto place = [&](int index, std::size_t choice, int number) {
        auto &subtask = subtasks[static_cast<std::size_t>(index)];
        auto &run = addRun(job, ready.occurrence, ready.step, index, number, *round.workers[choice]);
        run.placedAt = now;
        subtask.lastRun = number;
        round.candidates[choice].free = round.candidates[choice].free - run.reserved;
        round.candidates[choice].lastStartAt = now;
        round.candidates[choice].serving += step.longRunning ? 1 : 0;
        round.candidates[choice].spareCpuRuns += step.usesSpareCpu ? 1 : 0;
        if (!stepCandidates.empty()) {
            stepCandidates[choice].free = round.candidates[choice].free;
            stepCandidates[choice].lastStartAt = now;
            ++stepCandidates[choice].siblings;
        }
        if (job.phase == JobPhase::Queued) {
            job.phase = JobPhase::Running;
        }
        markChanged(job);
    };
    if (step.gang) {
        if (!mayAdd(step.count)) {
            return;
        }
        int number = 0;
        for (std::size_t i = 0; i < subtasks.size(); ++i) {
            const auto &it = subtasks[i];
            if (!it.runs.empty() || it.retryAt > now || isBoundToWorker(it, now)
                || mayRunUnknown({job.spec.id, ready.occurrence, ready.step, static_cast<int>(i)}, now)) {
                return;
            }
            number = std::max(number, it.lastRun);
        }
        const bool suspect = std::any_of(subtasks.begin(), subtasks.end(), [](const Subtask &it) { return !it.crashes.empty(); });
        if (suspect && round.probations >= round.maxProbations) {
            return;
        }
        auto chosen = suspect ? chooseGang(step, candidatesElsewhere(subtasks, candidates, round), step.count, true) : std::nullopt;
        chosen = chosen ? chosen : chooseGang(step, candidates, step.count, suspect);
        if (chosen) {
            std::string checkpoint;
            for (const auto &it : subtasks) {
                checkpoint = it.checkpoint.empty() ? checkpoint : it.checkpoint;
            }
            for (int i = 0; i < step.count; ++i) {
                subtasks[static_cast<std::size_t>(i)].checkpoint = checkpoint;
                place(i, (*chosen)[static_cast<std::size_t>(i)], number + 1);
            }
            for (const auto i : suspect ? std::set<std::size_t>(chosen->begin(), chosen->end()) : std::set<std::size_t>()) {
                round.startProbation(i);
            }
        }
        return;
    }
    for (int i = 0; i < step.count; ++i) {
        auto &subtask = subtasks[static_cast<std::size_t>(i)];
        if (subtask.done || !subtask.runs.empty() || subtask.retryAt > now) {
            continue;
        }
        if (!mayAdd(1)) {
            return;
        }
        if (mayRunUnknown({job.spec.id, ready.occurrence, ready.step, i}, now)) {
            continue;
        }
        const bool suspect = !subtask.crashes.empty();
        if (isBoundToWorker(subtask, now)) {
            const auto bound = suspect && round.probations >= round.maxProbations
                                   ? std::nullopt
                                   : chooseBound(*subtask.lateStart, step, candidates, round);
            if (bound && suspect) {
                round.startProbation(*bound);
            }
            if (bound) {
                place(i, *bound, subtask.lastRun + 1);
            }
            continue;
        }
        auto choice = suspect ? chooseForSuspect(subtask, step, candidates, round, now) : chooseWorker(step, candidates, siblingRack);
        if (!choice && step.longRunning && !advised) {
            choice = chooseOrReserve(ready, round, now);
            if (choice && suspect) {
                round.startProbation(*choice);
            }
        }
        if (!choice && suspect) {
            continue;
        }
        if (!choice) {
            return;
        }
        place(i, *choice, subtask.lastRun + 1);
    }
}

void Pool::schedule(Millis now, Millis wall, bool mayMove)
{
    while (!m_arrivals.empty() && now - m_arrivals.front().at > arrivalWindow * 2) {
        m_arrivals.pop_front();
    }
    dropExpiredRuns(now);
    giveUpCrashingSubtasks(now, wall);
    if (mayMove) {
        evictLongRunning(now);
    }
    adjustThrottling();
    const auto ready = readySteps(now, wall);
    if (!ready.empty()) {
        Round round;
        for (const auto &[id, worker] : m_workers) {
            round.candidates.push_back(candidateOf(*worker, now));
            round.workers.push_back(worker.get());
            if (isUsable(*worker, now)) {
                round.probations += round.candidates.back().inProbation ? 1 : 0;
                ++round.maxProbations;
            }
        }
        round.maxProbations = std::max<std::size_t>(round.maxProbations / workersPerProbation, 1);
        round.refresh();
        for (const auto &it : ready) {
            placeStep(it, round, now);
            round.refresh();
        }
    }
    std::erase_if(m_active, [](const Job *it) { return isFinal(it->phase) && it->runCount == 0; });
}

double Pool::durationRatio(const JobSpec &spec) const
{
    const auto it = m_durationRatio.find(spec.route);
    return it != m_durationRatio.end() ? it->second : 1.0;
}

double Pool::highestDurationRatio() const
{
    double ratio = 0;
    for (const auto &[route, it] : m_durationRatio) {
        ratio = std::max(ratio, it);
    }
    return ratio;
}

/// Unfinished work, in core-milliseconds, of a job without repeated occurrences.
std::int64_t Pool::remainingWork(const Job &job) const
{
    std::int64_t work = 0;
    for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
        const auto &step = job.spec.steps[s];
        work += job.openSubtasks[0][s] * step.need.cpuMilli * step.estimate.count / 1000;
    }
    return static_cast<std::int64_t>(static_cast<double>(work) * durationRatio(job.spec));
}

/// CPU of the unfinished subtasks that may run now, in thousandths of a core, for a job without repeated occurrences.
static std::int64_t runnableCpu(const Job &job)
{
    std::int64_t cpu = 0;
    const auto &open = job.openSubtasks[0];
    for (std::size_t s = 0; s < open.size(); ++s) {
        const auto &step = job.spec.steps[s];
        const bool blocked =
            std::any_of(step.after.begin(), step.after.end(), [&](int before) { return open[static_cast<std::size_t>(before)] > 0; });
        cpu += blocked ? 0 : open[s] * reserved(step).cpuMilli;
    }
    return cpu;
}

PoolReport Pool::report(Millis now) const
{
    PoolReport report;
    for (const auto &[id, worker] : m_workers) {
        if (!worker->registered || worker->entry.draining || !worker->synced) {
            continue;
        }
        auto &use = report.vms[worker->entry.vm];
        use.capacityCpu = worker->entry.capacity.cpuMilli;
        use.runs = static_cast<int>(worker->runs.size());
        for (const Run *const it : worker->runs) {
            const auto &step = stepOf(*it);
            use.longRunning += step.longRunning ? 1 : 0;
        }
        // A worker without an accepted renewal may still run subtasks that a previous owner started.
        if (worker->runs.empty() && worker->cordonedUntil > now) {
            report.drained.insert(worker->entry.vm);
        }
    }
    for (const auto *const job : m_active) {
        if (isFinal(job->phase)) {
            continue;
        }
        if (!isLongRunning(job->spec) && job->spec.times == 0) {
            const auto queued = queuedWorkOf(*job, 0, now - job->submittedAt);
            const auto status = objectiveStatus(queued);
            if (status == ObjectiveStatus::OnTime) {
                const auto wanted = cpuForObjective(remainingWork(*job), queued.objective - queued.age);
                report.urgentCpu += std::min(wanted, runnableCpu(*job));
            } else if (status == ObjectiveStatus::Late) {
                report.lateBacklog += remainingWork(*job);
            } else {
                report.expiredBacklog += remainingWork(*job);
                report.expiredRunnableCpu += runnableCpu(*job);
            }
        }
        for (const auto &step : job->spec.steps) {
            if (!step.longRunning) {
                continue;
            }
            report.longRunningCpu += reserved(step).cpuMilli * step.count;
            const int perWorker = step.maxPerWorker > 0 ? step.maxPerWorker : step.count;
            report.longRunningVms = std::max(report.longRunningVms, (step.count + perWorker - 1) / perWorker);
        }
        for (const auto &occurrence : job->occurrences) {
            for (std::size_t s = 0; s < occurrence.size(); ++s) {
                for (const auto &subtask : occurrence[s]) {
                    report.longRunningWaiting += job->spec.steps[s].longRunning && subtask.runs.empty() ? 1 : 0;
                }
            }
        }
    }
    std::int64_t arrived = 0;
    std::int64_t arrivedBefore = 0;
    for (const auto &it : m_arrivals) {
        (now - it.at <= arrivalWindow ? arrived : arrivedBefore) += it.work;
    }
    report.arrivingCpu = arrived * 1000 / arrivalWindow.count;
    report.previousArrivingCpu = arrivedBefore * 1000 / arrivalWindow.count;
    return report;
}

PublishedLoad Pool::load(Millis now) const
{
    PublishedLoad load;
    for (const auto &[id, worker] : m_workers) {
        if (worker->registered && !worker->entry.draining && isReachable(*worker) && worker->cordonedUntil <= now) {
            load.capacityCpu += worker->entry.capacity.cpuMilli;
            ++load.workers;
        }
        load.usedCpu += worker->used.cpuMilli;
        load.runs += static_cast<int>(worker->runs.size());
    }
    for (const auto *const job : m_active) {
        if (isFinal(job->phase)) {
            continue;
        }
        if (!job->begun && job->spec.times == 0) {
            ++load.queuedByRoute[job->spec.route];
        }
        if (isLongRunning(job->spec) || job->spec.times > 0) {
            continue;
        }
        load.backlog += remainingWork(*job);
    }
    return load;
}

} // namespace hibiscusbridge::jobs
