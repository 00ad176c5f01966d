// Conditional writes of single rows, batched into transactions that are spaced in time.
#pragma once

#include "helpers/millis.hpp"
#include "ports/table.hpp"
#include "ports/timer.hpp"
#include "requests/request.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusbridge
{

struct RowWrite {
    std::string key;
    /// Row version that must still hold; 0 = absent.
    std::uint64_t version = 0;
    std::string value;
    /// Nobody waits for the write: it goes with the next urgent batch, or after 50 ms with the next one allowed.
    bool lazy = false;
};

/// `status` as for TablePort::commit. After kAborted, `row` is the newer row that caused it.
struct RowWriteResult {
    absl::Status status;
    Row row;
};

/// A batch is committed at once when no other was in the last 30 ms, otherwise when these are over.
/// Rows of one batch do not affect each other: when a precondition aborts the batch, the rows that the platform names are
/// read (all of them when it names none), the changed ones are reported and the others are written again.
class RowWriter
{
public:
    using Callback = std::function<void(const RowWriteResult &)>;

    RowWriter(TablePort table, TimerPort timers, RequestCounters &counters);

    /// Calls back once, never from within the call, and not at all after the writer is destroyed. On success `row`
    /// holds the new version.
    void write(RowWrite row, Callback callback);

private:
    struct Job {
        RowWrite row;
        Callback callback;
        int aborts = 0;
        int readFailures = 0;
    };
    using JobPtr = std::shared_ptr<Job>;

    void enqueue(const JobPtr &job);
    void scheduleFlush();
    void scheduleLazy();
    void flush();
    /// Rows wait that need not wait for more of them.
    bool isDue() const;
    std::vector<JobPtr> takeBatch();
    void commit(const std::vector<JobPtr> &batch);
    void handleAbort(const std::vector<JobPtr> &batch, const std::vector<std::string> &conflicts);
    void readRow(const JobPtr &job);
    void handleRead(const JobPtr &job, const absl::StatusOr<ReadResult> &result);
    void later(Millis delay, std::function<void()> fn);

    TablePort m_table;
    TimerPort m_timers;
    RequestCounters &m_counters;
    std::deque<JobPtr> m_queue;
    bool m_flushScheduled = false;
    /// A batch was committed less than `commitSpacing` ago.
    bool m_spacing = false;
    bool m_lazyScheduled = false;
    /// A lazy row has waited for its time.
    bool m_lazyDue = false;
    int m_commitsInFlight = 0;
    /// Expires with the writer, so that late callbacks do nothing.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
