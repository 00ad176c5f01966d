// Batching of conditional row writes.
#include "requests/rowwriter.hpp"

#include "ports/conflicts.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace hibiscusbridge
{

/// 9 entries then make at most 300 table writes a second together; with 3 ms they made about 900 at 100 requests/s each.
constexpr Millis commitSpacing{30};
constexpr Millis lazyInterval{50};
/// A request writes two rows: this is enough for 4,000 requests a second with one batch per `commitSpacing`.
constexpr std::size_t maxBatchRows = 256;
/// Bounds a transaction of recorded answers to about 512 KB.
constexpr std::size_t maxBatchBytes = 524'288;
/// Keeps a slow table service from piling up transactions; rows wait and share the next ones.
constexpr int maxCommitsInFlight = 8;
/// From this number on a row is written in a transaction of its own, so that it cannot hold up others.
constexpr int abortsBeforeAlone = 2;
constexpr int maxAborts = 8;
constexpr int maxReadFailures = 3;
constexpr Millis rereadDelay{20};

RowWriter::RowWriter(TablePort table, TimerPort timers, RequestCounters &counters)
    : m_table(std::move(table))
    , m_timers(std::move(timers))
    , m_counters(counters)
{
}

void RowWriter::write(RowWrite row, Callback callback)
{
    enqueue(std::make_shared<Job>(Job{.row = std::move(row), .callback = std::move(callback)}));
}

void RowWriter::later(Millis delay, std::function<void()> fn)
{
    m_timers.after(delay, [alive = std::weak_ptr(m_alive), fn = std::move(fn)] {
        if (!alive.expired()) {
            fn();
        }
    });
}

void RowWriter::enqueue(const JobPtr &job)
{
    m_queue.push_back(job);
    scheduleFlush();
}

bool RowWriter::isDue() const
{
    return m_lazyDue || m_queue.size() >= maxBatchRows
           || std::any_of(m_queue.begin(), m_queue.end(), [](const JobPtr &job) { return !job->row.lazy; });
}

void RowWriter::scheduleFlush()
{
    if (m_queue.empty()) {
        return;
    }
    if (!isDue()) {
        scheduleLazy();
        return;
    }
    if (m_flushScheduled || m_spacing || m_commitsInFlight >= maxCommitsInFlight) {
        return; // The end of the spacing or the next reply schedules it.
    }
    m_flushScheduled = true;
    // Rows of the same turn of the loop share the batch.
    later({}, [this] {
        m_flushScheduled = false;
        flush();
    });
}

void RowWriter::scheduleLazy()
{
    if (m_lazyScheduled) {
        return;
    }
    m_lazyScheduled = true;
    later(lazyInterval, [this] {
        m_lazyScheduled = false;
        m_lazyDue = !m_queue.empty();
        scheduleFlush();
    });
}

std::vector<RowWriter::JobPtr> RowWriter::takeBatch()
{
    std::vector<JobPtr> batch;
    std::deque<JobPtr> rest;
    std::set<std::string_view> keys;
    std::size_t bytes = 0;
    for (const auto &job : m_queue) {
        const bool alone = job->aborts >= abortsBeforeAlone;
        const bool fits = batch.empty() || (!alone && batch.front()->aborts < abortsBeforeAlone);
        const bool small = batch.empty() || bytes + job->row.value.size() <= maxBatchBytes;
        // Two writes of one key in one transaction would both pass the same precondition.
        if (!fits || !small || batch.size() >= maxBatchRows || !keys.insert(job->row.key).second) {
            rest.push_back(job);
            continue;
        }
        bytes += job->row.value.size();
        batch.push_back(job);
    }
    m_queue = std::move(rest);
    return batch;
}

void RowWriter::flush()
{
    const auto batch = takeBatch();
    if (batch.empty()) {
        return;
    }
    m_lazyDue = false;
    m_spacing = true;
    later(commitSpacing, [this] {
        m_spacing = false;
        scheduleFlush();
    });
    commit(batch);
    scheduleFlush();
}

void RowWriter::commit(const std::vector<JobPtr> &batch)
{
    Transaction transaction;
    for (const auto &job : batch) {
        transaction.preconditions.push_back({job->row.key, job->row.version});
        transaction.writes.push_back({job->row.key, job->row.value});
    }
    ++m_commitsInFlight;
    ++m_counters.onceBatches;
    m_counters.onceWrites += batch.size();
    m_table.commit(std::move(transaction), [this, alive = std::weak_ptr(m_alive), batch](const absl::StatusOr<std::uint64_t> &version) {
        if (alive.expired()) {
            return;
        }
        --m_commitsInFlight;
        scheduleFlush();
        if (absl::IsAborted(version.status())) {
            handleAbort(batch, conflictingKeys(version.status()));
            return;
        }
        for (const auto &job : batch) {
            if (alive.expired()) {
                return; // A callback may destroy the writer.
            }
            job->callback({version.status(), {job->row.key, std::nullopt, version.ok() ? *version : 0}});
        }
    });
}

void RowWriter::handleAbort(const std::vector<JobPtr> &batch, const std::vector<std::string> &conflicts)
{
    const auto isInnocent = [&](const JobPtr &job) {
        return std::find(conflicts.begin(), conflicts.end(), job->row.key) == conflicts.end();
    };
    std::vector<JobPtr> innocent;
    std::copy_if(batch.begin(), batch.end(), std::back_inserter(innocent), isInnocent);
    if (innocent.size() == batch.size()) {
        innocent.clear(); // No row of the batch was named: each one is read.
    }
    for (const auto &job : batch) {
        if (innocent.empty() || !isInnocent(job)) {
            readRow(job);
        }
    }
    // Without new rows, which could conflict again, and without the spacing, as nothing has been written.
    if (!innocent.empty()) {
        commit(innocent);
    }
}

void RowWriter::readRow(const JobPtr &job)
{
    ++m_counters.onceReads;
    m_table.read({.prefix = job->row.key}, [this, alive = std::weak_ptr(m_alive), job](const absl::StatusOr<ReadResult> &result) {
        if (!alive.expired()) {
            handleRead(job, result);
        }
    });
}

void RowWriter::handleRead(const JobPtr &job, const absl::StatusOr<ReadResult> &result)
{
    if (!result.ok()) {
        if (++job->readFailures >= maxReadFailures) {
            job->callback({absl::UnavailableError("row could not be read after a conflict"), {}});
            return;
        }
        later(rereadDelay, [this, job] { readRow(job); });
        return;
    }
    Row row{.key = job->row.key};
    for (const auto &it : result->rows) {
        if (it.key == row.key) {
            row = it;
        }
    }
    const bool stillAbsent = !row.value && job->row.version == 0;
    if (row.version > job->row.version && !stillAbsent) {
        job->callback({absl::AbortedError("row has changed"), std::move(row)});
        return;
    }
    // Another row of the batch caused the abort, or the read was older than the commit.
    if (++job->aborts >= maxAborts) {
        job->callback({absl::UnavailableError("reads stay older than the conflict"), {}});
        return;
    }
    enqueue(job);
}

} // namespace hibiscusbridge
