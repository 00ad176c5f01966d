// Runs one pool while this entry owns its shard.
#include "shards/poolowner.hpp"

#include "helpers/log.hpp"
#include "jobs/codec.hpp"
#include "shards/rows.hpp"

#include <algorithm>
#include <numeric>

namespace hibiscusbridge::jobs
{

/// Each row takes two entries of a transaction, a condition and a put, and the claim of the shard takes one.
static std::size_t maxRowsPerCommit(const StoreLimits &limits)
{
    return (limits.transactionEntries - 1) / 2;
}

constexpr Millis readTimeout{1'500};
constexpr Millis readRetryDelay{150};
/// Interval between the requests to a worker that does not respond. They return at once instead of waiting for an end.
constexpr Millis unreachableRenewalInterval{300};
/// Time for a response to arrive: at least the first, and up to the second for a worker that has recently been slow.
constexpr Millis renewalTimeoutMargin{400};
constexpr Millis maxRenewalTimeoutMargin{2'000};
constexpr Millis probeTimeout{500};
/// Timeout of the probe that goes beside the others to an unreachable worker with runs: a slow worker can answer it before its lease
/// expires.
constexpr Millis slowProbeTimeout{2'000};
/// A worker cannot have restarted undetected within this time after its last list was processed. A late owner may process a list up to
/// its lag later, so a worker must not be back with new ends within a second.
constexpr Millis incarnationValidity{300};
/// Maximum delay of the next renewal while the ends of the last list are being persisted. After `incarnationValidity` the renewal could
/// not acknowledge earlier ends either.
constexpr Millis ackTimeout{200};
static_assert(ackTimeout < incarnationValidity);
constexpr Millis commitRetryDelay{100};
/// Maximum number of unused renewals that accumulate, in seconds of the renewal rate.
constexpr double renewalBurstSeconds = 0.25;
/// Retry delay when the renewal budget is exhausted.
constexpr Millis renewalBudgetRetryDelay{15};
/// Events within this time are handled by a single run.
constexpr Millis runDelay{3};
/// A run iterates over all workers, so the run delay grows by one millisecond per this many workers.
constexpr std::int64_t workersPerRunDelayMs = 25;
constexpr int ticksPerExpiry = 50;
constexpr int ticksPerAckReport = 10;
/// An end that waits for its acknowledgement longer than this is reported.
constexpr Millis reportedAckDelay{1'000};

PoolOwner::PoolOwner(std::string pool, std::uint64_t fence, PoolTimes times, PoolOwnerTimes ownTimes, Ports ports)
    : m_name(std::move(pool))
    , m_pool(std::make_unique<Pool>(m_name, fence, times))
    , m_times(ownTimes)
    , m_ports(std::move(ports))
    , m_submissions(m_ports.store,
                    m_ports.timers,
                    m_ports.clock,
                    submissionTable(m_name),
                    submissionPart(m_name),
                    {.replaced = [this](std::vector<Row> rows) { onSubmissionsRead(std::move(rows)); },
                     .changed =
                         [this](const std::vector<Row> &rows) {
                             loadSubmissions(rows, false);
                         }})
{
}

PoolOwner::~PoolOwner()
{
    *m_alive = false;
}

void PoolOwner::start()
{
    readProgress("");
    m_submissions.start();
}

void PoolOwner::readProgress(const std::string &from)
{
    m_ports.store.read({progressTable, m_name, from, ""}, readTimeout, [this, alive = m_alive, from](const ReadResult &result) {
        if (!*alive) {
            return;
        }
        if (result.outcome != ReadOutcome::Answered) {
            logEvent(LogLevel::Warn, "progress_read_failed", {{"pool", m_name}, {"error", result.error}});
            return m_ports.timers.after(readRetryDelay, [this, alive, from] {
                if (*alive) {
                    readProgress(from);
                }
            });
        }
        std::string last;
        for (const auto &it : result.rows) {
            m_progress[std::string(progressJob(it.key.key))].push_back(it.value);
            m_progressVersions[it.key.key] = it.version;
            last = it.key.key;
        }
        if (result.hasMore && !last.empty()) {
            return readProgress(last + std::string(1, '\x01'));
        }
        m_progressRead = true;
        if (m_submissionsRead) {
            loadSubmissions(m_initialSubmissions, true);
        }
    });
}

void PoolOwner::onSubmissionsRead(std::vector<Row> rows)
{
    // Rows that were received before are those of jobs that this owner knows, or that it has removed while the rows were being read.
    std::erase_if(rows, [known = m_submissions.receivedBeforeRead()](const Row &it) { return it.version <= known; });
    loadSubmissions(rows, !m_submissionsRead);
}

void PoolOwner::loadSubmissions(const std::vector<Row> &rows, bool initial)
{
    if (!m_loaded) {
        if (!initial) {
            m_initialSubmissions.insert(m_initialSubmissions.end(), rows.begin(), rows.end());
            return;
        }
        m_submissionsRead = true;
        if (!m_progressRead) {
            m_initialSubmissions = rows;
            return;
        }
    }
    const auto now = m_ports.clock.boot();
    const auto wall = m_ports.clock.wall();
    std::size_t added = 0;
    for (const auto &it : rows) {
        if (it.removed) {
            m_tombstones.erase(it.key.key);
            continue;
        }
        if (const auto tombstone = decodeTombstone(it.value)) {
            m_tombstones[it.key.key] = tombstone->writtenAt;
            continue;
        }
        if (const auto cancelled = cancelledJob(it.key.key); !cancelled.empty()) {
            m_pool->cancelJob(std::string(cancelled), now, wall);
            continue;
        }
        const auto spec = decodeSpec(it.key.key, it.value);
        if (!spec) {
            logEvent(LogLevel::Error, "submission_unreadable", {{"pool", m_name}, {"job", it.key.key}});
            continue;
        }
        std::optional<JobRecord> record;
        if (const auto progress = m_progress.find(it.key.key); progress != m_progress.end()) {
            const std::span<const std::string> stored(progress->second);
            record = decodeRecord(*spec, stored.front(), stored.subspan(1));
            if (!record) {
                logEvent(LogLevel::Error, "progress_unreadable", {{"pool", m_name}, {"job", it.key.key}});
                continue;
            }
        }
        added += m_pool->addJob(*spec, record, now, wall) ? 1 : 0;
    }
    if (!m_loaded) {
        m_loaded = true;
        m_progress.clear();
        updateWorkers();
        logEvent(LogLevel::Info,
                 "pool_taken_over",
                 {{"pool", m_name}, {"fence", m_pool->fence()}, {"jobs", added}, {"workers", m_pool->workers().size()}});
        scheduleTick();
    }
    scheduleRun();
}

void PoolOwner::onWorkersChanged()
{
    updateWorkers();
    if (m_loaded) {
        scheduleRun();
    }
}

void PoolOwner::updateWorkers()
{
    const auto now = m_ports.clock.boot();
    m_pool->setWorkers(m_ports.registeredWorkers(), now);
    m_pool->endWorkers(m_ports.endedWorkers(), now);
}

std::optional<PoolReport> PoolOwner::report(const std::set<std::string> &keepEmpty, Millis until)
{
    if (!m_loaded || !m_ports.isSoleOwner()) {
        return std::nullopt;
    }
    m_pool->cordonVms(keepEmpty, until);
    scheduleRun();
    return m_pool->report(m_ports.clock.boot());
}

void PoolOwner::scheduleTick()
{
    m_ports.timers.after(m_times.tickInterval, [this, alive = m_alive] {
        if (!*alive) {
            return;
        }
        run();
        if (!*alive) {
            return;
        }
        ++m_ticks;
        if ((m_ticks % ticksPerExpiry == 0 || m_moreExpired) && m_ports.isOwner()) {
            expire();
        }
        if (m_ticks % ticksPerAckReport == 0) {
            m_pool->retryRejectedRecords();
            reportAckDelay();
        }
        if (*alive) {
            scheduleTick();
        }
    });
}

/// Schedules a single run, however many callbacks request one before it takes place.
void PoolOwner::scheduleRun()
{
    if (m_runScheduled) {
        return;
    }
    m_runScheduled = true;
    const Millis largePoolDelay{static_cast<std::int64_t>(m_pool->workers().size()) / workersPerRunDelayMs};
    m_ports.timers.after(runDelay + largePoolDelay, [this, alive = m_alive] {
        if (*alive) {
            m_runScheduled = false;
            run();
        }
    });
}

void PoolOwner::run()
{
    if (!*m_alive || !m_loaded || !m_ports.isOwner()) {
        return;
    }
    const auto now = m_ports.clock.boot();
    m_pool->setLeaseLimit(m_ports.leaseLimit());
    m_pool->schedule(now, m_ports.clock.wall(), m_ports.isSoleOwner());
    sendOrders(m_pool->dueOrders(now));
    commit(now);
    requestAdvice(now);
    sendRenewals(now);
}

void PoolOwner::sendRenewals(Millis now)
{
    m_renewalBudget += m_times.holdsPerSecond * static_cast<double>((now - m_renewalBudgetAt).count) / 1'000;
    m_renewalBudget = std::min(m_renewalBudget, m_times.holdsPerSecond * renewalBurstSeconds);
    m_renewalBudgetAt = now;
    std::vector<std::pair<const Worker *, RenewalState *>> due;
    for (const auto &[id, worker] : m_pool->workers()) {
        auto &renewalState = m_renewals[id];
        if (renewalState.inFlight || worker->entry.address.empty() || now < renewalState.nextSendAt) {
            continue;
        }
        if (worker->incarnation.lastProcessedEnd > worker->incarnation.ackCursor && now < renewalState.ackDeadline) {
            continue;
        }
        due.emplace_back(worker.get(), &renewalState);
    }
    std::stable_sort(due.begin(), due.end(), [](const auto &a, const auto &b) { return a.second->sentAt < b.second->sentAt; });
    for (const auto &[worker, renewalState] : due) {
        if (m_renewalBudget < 1) {
            m_ports.timers.after(renewalBudgetRetryDelay, [this, alive = m_alive] {
                if (*alive) {
                    scheduleRun();
                }
            });
            break;
        }
        m_renewalBudget -= 1;
        sendRenewal(*worker, *renewalState, now);
    }
    std::erase_if(m_renewals, [this](const auto &it) {
        return !it.second.inFlight && !it.second.slowProbeInFlight && !m_pool->workers().contains(it.first);
    });
}

void PoolOwner::sendRenewal(const Worker &worker, RenewalState &renewalState, Millis now)
{
    const auto &id = worker.entry.id;
    const bool reachable = m_pool->isReachable(worker);
    RenewOrder order{.worker = {id, worker.entry.address}, .fence = m_pool->fenceAt(id)};
    // End numbers restart with each incarnation: a cursor of the previous incarnation would acknowledge ends of the new one
    // that have not been received.
    order.ackCursor = reachable && now - worker.incarnation.listedAt <= incarnationValidity ? worker.incarnation.ackCursor : 0;
    auto timeout = probeTimeout;
    if (!reachable && worker.synced && !worker.runs.empty()) {
        sendSlowProbe(id);
    }
    if (reachable) {
        // Only a responding worker gets its lease extended, so that runs on an unreachable one end in time.
        order.deadline = m_pool->deadlineFor(worker, now);
        order.wait = m_times.renewalWait;
        timeout = m_times.renewalWait + std::clamp(renewalState.responseTime * 2, renewalTimeoutMargin, maxRenewalTimeoutMargin);
        m_pool->onHoldSent(id, now);
    }
    renewalState.inFlight = true;
    renewalState.sentAt = now;
    m_ports.workers.renew(order, timeout, m_ports.isOwner, [this, alive = m_alive, order, now](const RenewResult &result) {
        if (*alive) {
            onRenewal(order, now, result);
        }
    });
}

std::optional<OldestUnackedEnd> PoolOwner::oldestUnackedEnd(Millis now) const
{
    auto oldest = m_pool->oldestUnackedEnd(now);
    if (oldest && oldest->delay == AckDelay::RenewalNotSent) {
        const auto it = m_renewals.find(oldest->workerId);
        oldest->delay = it != m_renewals.end() && it->second.inFlight ? AckDelay::RenewalOvertaken : AckDelay::RenewalNotSent;
    }
    return oldest;
}

Millis PoolOwner::oldestUnackedEndAge() const
{
    const auto oldest = m_pool->oldestUnackedEnd(m_ports.clock.boot());
    return oldest ? oldest->age : Millis{};
}

void PoolOwner::reportAckDelay()
{
    const auto oldest = oldestUnackedEnd(m_ports.clock.boot());
    if (!oldest || oldest->age < reportedAckDelay) {
        return;
    }
    logEvent(LogLevel::Warn,
             "end_not_acknowledged",
             {{"pool", m_name},
              {"worker", oldest->workerId},
              {"end", oldest->end},
              {"age_ms", oldest->age.count},
              {"reason", nameOf(oldest->delay)}});
    m_ports.ackDelayed(*oldest);
}

/// True if a probe got no response, but the worker has answered another call since the probe was sent.
bool PoolOwner::isOutdatedMiss(const std::string &id, const RenewResult &result, Millis sentAt) const
{
    const auto worker = m_pool->workers().find(id);
    return result.outcome == OrderOutcome::Unknown && worker != m_pool->workers().end() && worker->second->incarnation.answeredAt > sentAt;
}

/// True if an end is committed and has not been acknowledged.
static bool hasCommittedEnds(const Worker &worker)
{
    return !worker.incarnation.unackedEnds.empty() && worker.incarnation.unackedEnds.oldestEnd() <= worker.incarnation.ackCursor;
}

void PoolOwner::onRenewal(const RenewOrder &order, Millis sentAt, const RenewResult &result)
{
    const auto now = m_ports.clock.boot();
    const auto &id = order.worker.id;
    auto &renewalState = m_renewals[id];
    renewalState.inFlight = false;
    if (result.outcome == OrderOutcome::Fenced && order.fence == m_pool->fenceAt(id)) {
        return m_ports.superseded("worker " + id + " rejected a lease renewal: it has seen a higher fencing token");
    }
    if (result.outcome == OrderOutcome::Accepted) {
        m_pool->onAcknowledged(id, result.incarnationStart, order.ackCursor);
    }
    if (order.wait.count > 0 || !isOutdatedMiss(id, result, sentAt)) {
        m_pool->onHold(id, order.fence, result, sentAt, now, m_ports.clock.wall());
    }
    if (result.outcome == OrderOutcome::Accepted) {
        renewalState.ackDeadline = now + ackTimeout;
        // An answer before the end of the wait says nothing about the response time.
        if (const auto elapsed = now - sentAt; elapsed >= order.wait) {
            renewalState.responseTime = elapsed - order.wait;
        }
        renewalState.nextSendAt = {};
        if (const auto worker = m_pool->workers().find(id);
            worker != m_pool->workers().end() && hasCommittedEnds(*worker->second) && m_ports.isOwner()) {
            // The next run may come too late for the cursor, which is valid for a short time after a list. The budget may become
            // negative: with many workers, waiting for it would make every cursor outdated.
            m_renewalBudget -= 1;
            sendRenewal(*worker->second, renewalState, now);
        }
    } else {
        renewalState.nextSendAt = now + unreachableRenewalInterval;
    }
    scheduleRun();
}

/// Requests the list of an unreachable worker beside the short probes, so that a slow worker can answer.
void PoolOwner::sendSlowProbe(const std::string &id)
{
    const auto worker = m_pool->workers().find(id);
    if (worker == m_pool->workers().end() || m_renewals[id].slowProbeInFlight) {
        return;
    }
    m_renewals[id].slowProbeInFlight = true;
    const auto now = m_ports.clock.boot();
    const RenewOrder order{.worker = {id, worker->second->entry.address}, .fence = m_pool->fenceAt(id)};
    m_ports.workers.renew(
        order, slowProbeTimeout, m_ports.isOwner, [this, alive = m_alive, id, now, fence = order.fence](const RenewResult &result) {
            if (!*alive) {
                return;
            }
            m_renewals[id].slowProbeInFlight = false;
            if (result.outcome == OrderOutcome::Fenced && fence == m_pool->fenceAt(id)) {
                return m_ports.superseded("worker " + id + " rejected a probe: it has seen a higher fencing token");
            }
            const auto answeredAt = m_ports.clock.boot();
            if (!isOutdatedMiss(id, result, now)) {
                m_pool->onHold(id, fence, result, now, answeredAt, m_ports.clock.wall());
            }
            if (result.outcome == OrderOutcome::Accepted) {
                m_renewals[id].responseTime = answeredAt - now;
            }
            scheduleRun();
        });
}

void PoolOwner::onOrderAnswered()
{
    if (m_pool->hasOrdersHeldBack()) {
        scheduleRun();
    }
}

void PoolOwner::sendOrders(PoolOrders orders)
{
    for (auto &it : orders.starts) {
        auto order = it;
        const auto mayStillSend = [this, alive = m_alive, order] {
            return *alive && m_ports.isSoleOwner() && m_pool->mayStillSend(order);
        };
        m_ports.workers.start(std::move(it), m_times.orderTimeout, mayStillSend, [this, alive = m_alive, order](const OrderResult &result) {
            if (!*alive) {
                return;
            }
            const bool current = order.fence == m_pool->fenceAt(order.worker.id);
            m_pool->onStart(order, result, m_ports.clock.boot());
            if (result.outcome == OrderOutcome::Fenced && current) {
                return m_ports.superseded("worker " + order.worker.id + " rejected a start: it has seen a higher fencing token");
            }
            if (result.outcome != OrderOutcome::Accepted) {
                scheduleRun();
            }
            onOrderAnswered();
        });
    }
    for (auto &it : orders.stops) {
        auto order = it;
        m_ports.workers.stop(
            std::move(it), m_times.orderTimeout, m_ports.isSoleOwner, [this, alive = m_alive, order](const OrderResult &result) {
                if (*alive) {
                    m_pool->onStop(order, result, m_ports.clock.boot());
                    onOrderAnswered();
                }
            });
    }
    for (auto &it : orders.paces) {
        auto order = it;
        m_ports.workers.throttle(
            std::move(it), m_times.orderTimeout, m_ports.isOwner, [this, alive = m_alive, order](const OrderResult &result) {
                if (*alive) {
                    m_pool->onPace(order, result);
                    onOrderAnswered();
                }
            });
    }
}

void PoolOwner::requestAdvice(Millis now)
{
    // The advice service accepts one call per entry at a time.
    if (m_adviceInFlight || !m_ports.advice.query) {
        return;
    }
    auto request = m_pool->nextAdviceRequest(now);
    if (!request) {
        return;
    }
    m_adviceInFlight = true;
    auto timeout = m_times.adviceTimeoutMargin;
    if (const auto job = m_pool->jobs().find(request->step.job); job != m_pool->jobs().end()) {
        const auto &policy = job->second->spec.policy;
        timeout += (policy.adviceTime + policy.adviceTimePerWorker * static_cast<std::int64_t>(request->workers.size())) * 2;
    }
    const auto step = request->step;
    const auto workers = request->workers;
    m_ports.advice.query(step, workers, timeout, [this, alive = m_alive, sentRequest = std::move(*request)](const AdviceResult &result) {
        if (!*alive) {
            return;
        }
        m_adviceInFlight = false;
        m_pool->onAdvice(sentRequest, result, m_ports.clock.boot());
        scheduleRun();
    });
}

void PoolOwner::commit(Millis now)
{
    if (m_committing || !m_pool->hasUnsavedChanges()) {
        return;
    }
    if (const auto wait = m_lastCommitAt + m_times.minCommitInterval - now; wait.count > 0) {
        if (!m_commitTimer) {
            m_commitTimer = true;
            m_ports.timers.after(wait, [this, alive = m_alive] {
                if (*alive) {
                    m_commitTimer = false;
                    scheduleRun();
                }
            });
        }
        return;
    }
    auto rows = m_pool->takeRecords(m_singleJobCommits > 0 ? 1 : maxRowsPerCommit(m_ports.limits), m_ports.limits);
    if (rows.empty()) {
        return sendOrders(m_pool->onRecordsCommitted(now));
    }
    RowTransaction tx;
    tx.conditions.push_back(m_ports.condition());
    for (auto &it : rows) {
        const auto key = progressKey(m_name, it.id, it.part);
        const auto version = m_progressVersions.find(key.key);
        // A transaction without an answer may be applied late and must not overwrite newer rows, so each row is conditional on
        // the version it replaces.
        tx.conditions.push_back({key, version != m_progressVersions.end() ? version->second : 0});
        tx.puts.push_back({key, std::move(it.value)});
    }
    m_committing = true;
    m_singleJobCommits -= std::min<std::size_t>(m_singleJobCommits, 1);
    m_lastCommitAt = now;
    m_ports.store.commit(std::move(tx), m_times.commitTimeout, [this, alive = m_alive, rows = std::move(rows)](const CommitResult &result) {
        if (*alive) {
            onCommitted(rows, result);
        }
    });
}

void PoolOwner::onCommitted(const std::vector<JobRow> &rows, const CommitResult &result)
{
    m_committing = false;
    if (result.outcome == CommitOutcome::Applied) {
        for (const auto &it : rows) {
            m_progressVersions[progressKey(m_name, it.id, it.part).key] = result.version;
        }
        sendOrders(m_pool->onRecordsCommitted(m_ports.clock.boot()));
        return scheduleRun();
    }
    if (result.outcome == CommitOutcome::Invalid) {
        onRowsRejected(rows, result.error);
        return scheduleRun();
    }
    m_pool->onCommitFailed();
    if (result.outcome == CommitOutcome::Conflict) {
        const auto condition = m_ports.condition();
        for (const auto &it : result.current) {
            if (it.key.table == condition.key.table && it.version != condition.version) {
                return m_ports.superseded("commit rejected: the claim of the shard has changed");
            }
            if (it.key.table == progressTable) {
                // An earlier transaction of this owner was applied although it was not answered.
                m_progressVersions[it.key.key] = it.version;
            }
        }
    }
    logEvent(LogLevel::Warn, "commit_failed", {{"pool", m_name}, {"rows", rows.size()}, {"error", result.error}});
    const auto delay = result.outcome == CommitOutcome::Conflict ? Millis{1} : commitRetryDelay;
    m_lastCommitAt = m_ports.clock.boot() + delay - m_times.minCommitInterval;
    scheduleRun();
}

/// A repetition of the transaction would be rejected too, and with it all jobs of the pool would wait for the one that the store does not
/// take.
void PoolOwner::onRowsRejected(const std::vector<JobRow> &rows, const std::string &error)
{
    std::set<std::string> jobs;
    for (const auto &it : rows) {
        jobs.insert(it.id);
    }
    logEvent(LogLevel::Error, "commit_rejected", {{"pool", m_name}, {"jobs", jobs.size()}, {"rows", rows.size()}, {"error", error}});
    if (jobs.size() == 1) {
        return m_pool->onRecordRejected(m_ports.clock.boot());
    }
    m_singleJobCommits = jobs.size();
    m_pool->onCommitFailed();
}

void PoolOwner::expire()
{
    if (m_expiring) {
        return;
    }
    m_moreExpired = false;
    const auto before = m_ports.clock.wall() - m_times.jobRetention;
    const auto maxRows = m_ports.limits.transactionEntries - 1;
    auto expired = m_pool->expired(before, maxRows);
    const auto rows = std::accumulate(
        expired.begin(), expired.end(), std::size_t{0}, [](std::size_t sum, const ExpiredJob &it) { return sum + rowCount(it); });
    auto tombstones = expiredTombstones(before, maxRows - rows);
    if (expired.empty() && tombstones.empty()) {
        return;
    }
    RowTransaction tx;
    tx.spansParts = true;
    tx.conditions.push_back(m_ports.condition());
    for (const auto &it : expired) {
        tx.removes.push_back(submissionKey(m_name, it.id));
        tx.removes.push_back(cancellationKey(m_name, it.id));
        for (std::size_t part = 0; part <= it.parts; ++part) {
            tx.removes.push_back(progressKey(m_name, it.id, part));
        }
    }
    for (const auto &it : tombstones) {
        tx.removes.push_back(submissionKey(m_name, it));
    }
    m_expiring = true;
    m_ports.store.commit(
        std::move(tx),
        m_times.commitTimeout,
        [this, alive = m_alive, expired = std::move(expired), tombstones = std::move(tombstones)](const CommitResult &result) {
            if (*alive) {
                onExpired(expired, tombstones, result);
            }
        });
}

std::vector<std::string> PoolOwner::expiredTombstones(Millis writtenBefore, std::size_t maxRows) const
{
    std::vector<std::string> jobs;
    for (const auto &[job, writtenAt] : m_tombstones) {
        if (jobs.size() < maxRows && writtenAt < writtenBefore) {
            jobs.push_back(job);
        }
    }
    return jobs;
}

/// Jobs whose removal has failed, or may have, stay known: read again from the store without their progress, they would run again.
void PoolOwner::onExpired(std::span<const ExpiredJob> jobs, std::span<const std::string> tombstones, const CommitResult &result)
{
    m_expiring = false;
    const bool applied = result.outcome == CommitOutcome::Applied;
    logEvent(LogLevel::Info,
             "jobs_expired",
             {{"pool", m_name}, {"jobs", jobs.size()}, {"tombstones", tombstones.size()}, {"applied", applied}, {"error", result.error}});
    if (!applied) {
        return;
    }
    for (const auto &it : jobs) {
        for (std::size_t part = 0; part <= it.parts; ++part) {
            m_progressVersions.erase(progressKey(m_name, it.id, part).key);
        }
    }
    for (const auto &it : tombstones) {
        m_tombstones.erase(it);
    }
    m_pool->forget(jobs);
    m_moreExpired = true;
}

std::string PoolOwner::status() const
{
    if (!m_loaded) {
        return {};
    }
    auto load = m_pool->load(m_ports.clock.boot());
    load.submissionsAsOf = m_submissions.currentAsOf();
    const int queued =
        std::accumulate(load.queuedByRoute.begin(), load.queuedByRoute.end(), 0, [](int sum, const auto &it) { return sum + it.second; });
    logEvent(LogLevel::Info,
             "pool_load",
             {{"pool", m_name},
              {"queued_jobs", queued},
              {"workers", load.workers},
              {"runs", load.runs},
              {"capacity_cpu", load.capacityCpu},
              {"used_cpu", load.usedCpu},
              {"backlog_core_ms", load.backlog},
              {"duration_percent", static_cast<int>(m_pool->highestDurationRatio() * 100)}});
    return encodePublishedLoad(load);
}

} // namespace hibiscusbridge::jobs
