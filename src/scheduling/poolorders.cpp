// Orders of a pool to its workers: what may be sent, what is due, and what is withdrawn instead.
#include "scheduling/pool.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace hibiscusbridge::jobs
{

/// An accepted stop is sent again if the run's end is not listed within this time.
constexpr Millis stopRetryInterval{2'000};
/// Orders in flight to one worker. It has a few connections, and an order that waits for one can't be passed by a more urgent one.
constexpr int maxOrdersPerWorker = 32;
/// Paces among them: a worker may refuse all that it gets, and starts must not wait for that.
constexpr int maxPacesPerWorker = 8;
/// Stops of runs that the pool does not know, within `resendInterval`.
constexpr int maxUnknownStopsPerWorker = 64;

StartOrder Pool::makeStart(Run &run, Millis now)
{
    auto &worker = *run.worker;
    run.orderInFlight = true;
    run.lastOrderAt = now;
    ++run.attempts;
    run.unsent = false;
    run.startFence = fenceAt(worker.entry.id);
    onHoldSent(worker.entry.id, now);
    StartOrder order{.worker = {worker.entry.id, worker.entry.address},
                     .subtask = {run.job->spec.id, run.occurrence, run.step, run.index},
                     .run = run.number,
                     .payload = run.job->spec.payload,
                     .checkpoint = subtaskOf(run).checkpoint,
                     .deadline = deadlineFor(worker, now),
                     .fence = run.startFence};
    if (run.job->spec.policy.needsAdvice) {
        const auto &advice = run.job->advice[run.occurrence * static_cast<int>(run.job->spec.steps.size()) + run.step];
        if (const auto it = advice.tickets.find(worker.entry.id); it != advice.tickets.end()) {
            order.ticket = it->second;
        }
    }
    return order;
}

bool isUnsent(const Run &run)
{
    return run.phase == RunPhase::Placed || run.phase == RunPhase::Committing || (run.phase == RunPhase::Starting && run.unsent);
}

static bool isSameStep(const Run &a, const Run &b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

bool Pool::fitsOnWorker(const Run &run) const
{
    auto used = unknownLoad(*run.worker);
    if (fits(used + run.worker->used, run.worker->entry.capacity)) {
        return true;
    }
    for (const Run *const it : run.worker->runs) {
        const bool startsWithRun = it == &run || (stepOf(run).gang && isSameStep(*it, run));
        used = startsWithRun || !isUnsent(*it) ? used + it->reserved : used;
    }
    return fits(used, run.worker->entry.capacity);
}

const char *Pool::workerObstacle(const Run &run)
{
    const auto &worker = *run.worker;
    if (!worker.registered) {
        return "worker-gone";
    }
    if (!worker.synced || worker.misses > 0) {
        return "worker-unheard";
    }
    if (run.incarnationStart != worker.incarnation.startedAt) {
        return "worker-reborn";
    }
    return worker.entry.draining ? "worker-draining" : nullptr;
}

const char *Pool::startObstacle(const Run &run) const
{
    const auto obstacleOf = [this](const Run &it) {
        const char *const obstacle = workerObstacle(it);
        return obstacle || fitsOnWorker(it) ? obstacle : "capacity-shrunk";
    };
    if (!stepOf(run).gang) {
        return obstacleOf(run);
    }
    for (const auto &member : run.job->occurrences[static_cast<std::size_t>(run.occurrence)][static_cast<std::size_t>(run.step)]) {
        for (const auto &it : member.runs) {
            if (const char *const obstacle = isUnsent(*it) ? obstacleOf(*it) : nullptr) {
                return obstacle;
            }
        }
    }
    return nullptr;
}

bool Pool::mayStillSend(const StartOrder &order) const
{
    const auto worker = m_workers.find(order.worker.id);
    if (worker == m_workers.end() || order.fence != fenceAt(order.worker.id)) {
        return false;
    }
    const Run *const run = findRun(*worker->second, order.subtask, order.run);
    return run && !run->stopRequested && !workerObstacle(*run) && fitsOnWorker(*run);
}

void Pool::withdraw(Run &run, Millis now, const char *reason)
{
    std::vector<Run *> unsent{&run};
    if (stepOf(run).gang) {
        for (auto &member : run.job->occurrences[static_cast<std::size_t>(run.occurrence)][static_cast<std::size_t>(run.step)]) {
            for (const auto &it : member.runs) {
                it->stopRequested = true;
                if (it.get() != &run && isUnsent(*it) && it->phase != RunPhase::Committing) {
                    unsent.push_back(it.get());
                }
            }
        }
    }
    for (Run *const it : unsent) {
        dropRun(*it, now, reason);
    }
}

bool Pool::hasWholeGang(const Run &run)
{
    const auto &members = run.job->occurrences[static_cast<std::size_t>(run.occurrence)][static_cast<std::size_t>(run.step)];
    return std::all_of(members.begin(), members.end(), [&run](const Subtask &member) {
        return std::any_of(
            member.runs.begin(), member.runs.end(), [&run](const auto &it) { return it->number == run.number && !it->stopRequested; });
    });
}

void Pool::onNeverStarted(Run &run, Millis now)
{
    if (stepOf(run).gang && !run.stopRequested && hasWholeGang(run)) {
        // The other members wait for this one, so it is started under the same number.
        run.phase = RunPhase::Starting;
        run.unsent = true;
        run.attempts = 0;
        run.lastOrderAt = {};
        return;
    }
    subtaskOf(run).retryAt = now;
    withdraw(run, now, "never-started");
}

void Pool::withdrawUnstartable(Millis now)
{
    for (auto &[id, worker] : m_workers) {
        const char *obstacle = nullptr;
        const auto findUnstartable = [&runs = worker->runs, &obstacle, this] {
            return std::find_if(runs.begin(), runs.end(), [&obstacle, this](const Run *it) {
                obstacle = nullptr;
                if (it->phase == RunPhase::Placed) {
                    obstacle = workerObstacle(*it);
                } else if (it->phase == RunPhase::Starting && it->unsent && !it->stopRequested) {
                    obstacle = startObstacle(*it);
                }
                return obstacle != nullptr;
            });
        };
        for (auto it = findUnstartable(); it != worker->runs.end(); it = findUnstartable()) {
            withdraw(**it, now, obstacle);
        }
    }
}

/// Returns the runs of the worker whose start is due, in the order in which they are sent. Members of gangs go first, since those that
/// run already wait for them. Jobs of equal priority take turns, so that a small job does not wait for all subtasks of a large one.
static std::vector<Run *> startsInOrder(const Worker &worker, Millis retriedBefore)
{
    struct Start {
        bool inGang = false;
        int priority = 0; ///< 0 is the highest
        int turn = 0;
        std::uint64_t sequence = 0;
        Run *run = nullptr;
    };
    std::vector<Start> starts;
    std::map<const Job *, int> turns;
    for (Run *const it : worker.runs) {
        const bool triedRecently = it->lastOrderAt.count > 0 && it->lastOrderAt > retriedBefore;
        if (it->phase != RunPhase::Starting || !it->unsent || it->orderInFlight || it->stopRequested || triedRecently) {
            continue;
        }
        const bool inGang = it->job->spec.steps[static_cast<std::size_t>(it->step)].gang;
        starts.push_back({inGang, it->job->spec.policy.priority, turns[it->job]++, it->job->sequence, it});
    }
    std::stable_sort(starts.begin(), starts.end(), [](const Start &a, const Start &b) {
        return std::tie(b.inGang, a.priority, a.turn, a.sequence) < std::tie(a.inGang, b.priority, b.turn, b.sequence);
    });
    std::vector<Run *> runs;
    std::transform(starts.begin(), starts.end(), std::back_inserter(runs), [](const Start &it) { return it.run; });
    return runs;
}

int Pool::freeOrders(const Worker &worker)
{
    const auto inFlight = std::count_if(worker.runs.begin(), worker.runs.end(), [](const Run *it) { return it->orderInFlight; });
    return std::max(maxOrdersPerWorker - static_cast<int>(inFlight), 0);
}

void Pool::addStarts(Worker &worker, int room, Millis now, PoolOrders &orders)
{
    for (Run *const it : startsInOrder(worker, now - m_times.resendInterval)) {
        if (room == 0) {
            m_ordersHeldBack = true;
            return;
        }
        if (!startObstacle(*it)) {
            orders.starts.push_back(makeStart(*it, now));
            --room;
        }
    }
}

void Pool::addStops(Worker &worker, int &room, Millis now, PoolOrders &orders)
{
    const WorkerAddress address{worker.entry.id, worker.entry.address};
    for (Run *const it : worker.runs) {
        if (!it->stopRequested || it->orderInFlight || it->phase == RunPhase::Placed || it->phase == RunPhase::Committing) {
            continue;
        }
        const auto pause = it->stopAccepted ? stopRetryInterval : m_times.resendInterval;
        if (!isReachable(worker) || (it->lastStopAt.count != 0 && now - it->lastStopAt < pause)) {
            continue;
        }
        if (room == 0) {
            m_ordersHeldBack = true;
            return;
        }
        it->orderInFlight = true;
        it->lastStopAt = now;
        orders.stops.push_back({address, {it->job->spec.id, it->occurrence, it->step, it->index}, it->number, fenceAt(worker.entry.id)});
        --room;
    }
}

void Pool::addPaces(Worker &worker, int &room, PoolOrders &orders)
{
    const WorkerAddress address{worker.entry.id, worker.entry.address};
    for (Run *const it : worker.runs) {
        if (it->stopRequested || it->orderInFlight || it->phase != RunPhase::Running || it->targetSpeedPercent == it->speedPercent
            || !isReachable(worker)) {
            continue;
        }
        if (room == 0) {
            m_ordersHeldBack = true;
            return;
        }
        it->orderInFlight = true;
        orders.paces.push_back({address,
                                {it->job->spec.id, it->occurrence, it->step, it->index},
                                it->number,
                                it->targetSpeedPercent,
                                fenceAt(worker.entry.id)});
        --room;
    }
}

PoolOrders Pool::dueOrders(Millis now)
{
    PoolOrders orders;
    withdrawUnstartable(now);
    m_ordersHeldBack = false;
    for (auto &[id, worker] : m_workers) {
        if (worker->entry.address.empty() || worker->runs.empty()) {
            continue;
        }
        int room = freeOrders(*worker);
        addStops(*worker, room, now, orders);
        int paces = std::min(room, maxPacesPerWorker);
        room -= paces;
        addPaces(*worker, paces, orders);
        addStarts(*worker, room + paces, now, orders);
    }
    std::map<std::string, int> unknownStops;
    for (const auto &it : m_unknownRuns) {
        unknownStops[it.workerId] += now - it.lastOrderAt < m_times.resendInterval ? 1 : 0;
    }
    for (auto &it : m_unknownRuns) {
        const auto worker = m_workers.find(it.workerId);
        if (worker != m_workers.end() && now - it.lastOrderAt >= m_times.resendInterval
            && unknownStops[it.workerId]++ < maxUnknownStopsPerWorker) {
            it.lastOrderAt = now;
            orders.stops.push_back({{it.workerId, worker->second->entry.address}, it.subtask, it.run, fenceAt(it.workerId)});
        }
    }
    return orders;
}

} // namespace hibiscusbridge::jobs
