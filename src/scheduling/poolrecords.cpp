// Records of a pool: the rows to commit, what follows from a commit, and the removal of ended jobs.
#include "helpers/ids.hpp"
#include "helpers/log.hpp"
#include "jobs/codec.hpp"
#include "scheduling/pool.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>

namespace hibiscusbridge::jobs
{

/// A record that the store rejects is divided further up to this number of parts.
constexpr std::size_t maxRejectedParts = 32;
/// Longer checkpoints are not stored: a subtask's progress must fit into a row.
constexpr std::size_t maxStoredCheckpoint = 4'096;

static JobRecord recordOf(const Job &job)
{
    auto record = emptyRecord(job.spec);
    record.phase = job.phase;
    record.endedAt = job.endedAt;
    record.failureReason = job.failureReason;
    for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::size_t s = 0; s < job.occurrences[k].size(); ++s) {
            for (std::size_t i = 0; i < job.occurrences[k][s].size(); ++i) {
                const auto &from = job.occurrences[k][s][i];
                auto &to = record.occurrences[k][s][i];
                to.done = from.done;
                to.failedRuns = from.failedRuns;
                to.lastRun = from.lastRun;
                to.checkpoint = from.done || from.checkpoint.size() > maxStoredCheckpoint ? std::string() : from.checkpoint;
                to.crashes = from.done ? std::vector<CrashRecord>() : from.crashes;
                for (const auto &it : from.runs) {
                    to.runs.push_back({it->number, it->worker->entry.id, it->incarnationStart});
                }
            }
        }
    }
    return record;
}

/// A new owner then starts the subtasks from their beginning.
static void forgetCheckpoints(JobRecord &record)
{
    for (auto &steps : record.occurrences) {
        for (auto &step : steps) {
            for (auto &it : step) {
                it.checkpoint.clear();
            }
        }
    }
}

/// Rows are split below the limit, because it may count a value after its encoding in base64.
static std::size_t splitRowBytes(const StoreLimits &limits)
{
    return limits.rowBytes / 4 * 3;
}

static void forEachRun(Job &job, const std::function<void(Run &)> &fn)
{
    for (auto &occurrence : job.occurrences) {
        for (auto &step : occurrence) {
            for (auto &subtask : step) {
                for (std::size_t i = 0; i < subtask.runs.size(); ++i) {
                    fn(*subtask.runs[i]);
                }
            }
        }
    }
}

static std::size_t bytesOf(std::span<const JobRow> rows)
{
    return std::accumulate(
        rows.begin(), rows.end(), std::size_t{0}, [](std::size_t sum, const JobRow &it) { return sum + it.value.size(); });
}

std::vector<JobRow> Pool::changedRows(Job &job, const StoreLimits &limits)
{
    auto record = recordOf(job);
    auto encoded = encodeRecordRows(record, splitRowBytes(limits), job.recordParts.size());
    const auto bytes = std::accumulate(
        encoded.parts.begin(), encoded.parts.end(), encoded.first.size(), [](std::size_t sum, const auto &it) { return sum + it.size(); });
    if (bytes > limits.transactionBytes) {
        forgetCheckpoints(record);
        encoded = encodeRecordRows(record, splitRowBytes(limits), job.recordParts.size());
    }
    std::vector<JobRow> rows{{job.spec.id, 0, std::move(encoded.first)}};
    if (job.recordParts.size() != encoded.parts.size()) {
        job.recordParts.assign(encoded.parts.size(), std::nullopt);
    }
    for (std::size_t i = 0; i < encoded.parts.size(); ++i) {
        if (const auto hash = stableHash(encoded.parts[i]); job.recordParts[i] != hash) {
            job.recordParts[i] = hash;
            rows.push_back({job.spec.id, i + 1, std::move(encoded.parts[i])});
        }
    }
    return rows;
}

std::vector<JobRow> Pool::takeRecords(std::size_t maxRows, const StoreLimits &limits)
{
    std::vector<JobRow> rows;
    std::size_t bytes = 0;
    while (const auto *const id = rows.size() < maxRows ? m_changed.oldest() : nullptr) {
        const auto it = m_jobs.find(*id);
        if (it == m_jobs.end()) {
            m_changed.takeOldest();
            continue;
        }
        auto &job = *it->second;
        const auto storedParts = job.recordParts;
        auto changed = changedRows(job, limits);
        const auto size = bytesOf(changed);
        if (!rows.empty() && (rows.size() + changed.size() > maxRows || bytes + size > limits.transactionBytes)) {
            job.recordParts = storedParts;
            break;
        }
        bytes += size;
        std::move(changed.begin(), changed.end(), std::back_inserter(rows));
        forEachRun(job, [](Run &run) { run.phase = run.phase == RunPhase::Placed ? RunPhase::Committing : run.phase; });
        m_changed.takeOldest();
    }
    std::erase_if(m_unackedWorkers, [this](const std::string &id) {
        const auto it = m_workers.find(id);
        if (it == m_workers.end()) {
            return true;
        }
        auto &incarnation = it->second->incarnation;
        incarnation.ackInFlight = std::max(incarnation.ackInFlight, incarnation.unackedEnds.acknowledgeable(m_changed.takenUpTo()));
        return incarnation.ackInFlight >= incarnation.lastProcessedEnd;
    });
    return rows;
}

PoolOrders Pool::onRecordsCommitted(Millis now)
{
    std::set<Worker *> workers;
    for (const auto &[id, change] : m_changed.inFlight()) {
        const auto it = m_jobs.find(id);
        if (it == m_jobs.end()) {
            continue;
        }
        std::vector<Run *> unwanted;
        forEachRun(*it->second, [&](Run &run) {
            if (run.phase != RunPhase::Committing) {
                return;
            }
            run.phase = RunPhase::Starting;
            if (run.stopRequested) {
                unwanted.push_back(&run);
            } else {
                workers.insert(run.worker);
            }
        });
        for (Run *const run : unwanted) {
            dropRun(*run, now, "not-started");
        }
    }
    m_changed.onCommitted();
    for (auto &[id, worker] : m_workers) {
        auto &incarnation = worker->incarnation;
        incarnation.ackCursor = std::max(incarnation.ackCursor, incarnation.ackInFlight);
    }
    PoolOrders orders;
    for (auto &[id, worker] : m_workers) {
        if (workers.contains(worker.get()) && !worker->entry.address.empty()) {
            addStarts(*worker, freeOrders(*worker), now, orders);
        }
    }
    return orders;
}

void Pool::onCommitFailed()
{
    for (const auto &[id, change] : m_changed.inFlight()) {
        if (const auto it = m_jobs.find(id); it != m_jobs.end()) {
            forEachRun(*it->second, [](Run &run) { run.phase = run.phase == RunPhase::Committing ? RunPhase::Placed : run.phase; });
            it->second->recordParts.assign(it->second->recordParts.size(), std::nullopt);
        }
    }
    m_changed.onCommitFailed();
    for (auto &[id, worker] : m_workers) {
        if (auto &incarnation = worker->incarnation; incarnation.ackInFlight > incarnation.ackCursor) {
            incarnation.ackInFlight = incarnation.ackCursor;
            m_unackedWorkers.insert(id);
        }
    }
}

void Pool::onRecordRejected(Millis now)
{
    std::vector<std::string> ids;
    for (const auto &[id, change] : m_changed.inFlight()) {
        ids.push_back(id);
    }
    onCommitFailed();
    for (const auto &id : ids) {
        const auto it = m_jobs.find(id);
        if (it == m_jobs.end()) {
            continue;
        }
        auto &job = *it->second;
        if (job.recordParts.size() < maxRejectedParts) {
            job.recordParts.assign(std::max<std::size_t>(job.recordParts.size() * 2, 2), std::nullopt);
        } else {
            job.maxRuns = std::max(job.runCount / 2, 1);
            withdrawPlaced(job, now);
            m_changed.postpone(id);
        }
        logEvent(LogLevel::Error,
                 "record_rejected",
                 {{"pool", m_name}, {"job", id}, {"parts", job.recordParts.size()}, {"max_runs", job.maxRuns}});
    }
}

/// Withdraws the runs that are not recorded, so that the record is no larger than before they were placed.
void Pool::withdrawPlaced(Job &job, Millis now)
{
    std::vector<Run *> placed;
    forEachRun(job, [&](Run &run) {
        if (run.phase == RunPhase::Placed) {
            placed.push_back(&run);
        }
    });
    for (Run *const run : placed) {
        subtaskOf(*run).lastRun = run->number - 1; // Nobody has seen the number.
        dropRun(*run, now, "record-rejected");
    }
}

std::vector<ExpiredJob> Pool::expired(Millis endedBefore, std::size_t maxRows) const
{
    std::vector<ExpiredJob> jobs;
    std::size_t rows = 0;
    for (const auto &[id, job] : m_jobs) {
        if (!isFinal(job->phase) || job->runCount > 0 || job->endedAt >= endedBefore || m_changed.contains(id)) {
            continue;
        }
        const ExpiredJob it{id, job->recordParts.size()};
        if (rows + rowCount(it) > maxRows) {
            break;
        }
        rows += rowCount(it);
        jobs.push_back(it);
    }
    return jobs;
}

void Pool::forget(std::span<const ExpiredJob> jobs)
{
    for (const auto &it : jobs) {
        if (const auto job = m_jobs.find(it.id); job != m_jobs.end() && job->second->runCount == 0) {
            m_active.erase(job->second.get());
            m_jobs.erase(job);
        }
    }
}

} // namespace hibiscusbridge::jobs
