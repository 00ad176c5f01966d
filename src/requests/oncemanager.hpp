// At-most-once records: claims a key before its request is sent and records the outcome afterwards.
#pragma once

#include "requests/oncerecord.hpp"
#include "requests/rowwriter.hpp"

#include <string>

namespace hibiscusbridge
{

/// What a claim needs to know about the request.
struct OnceDemand {
    std::string service;
    std::string key;
    std::string bodyHash;
    /// Boot clock.
    Millis deadline;
};

/// The right to send one request, once. Only `OnceManager` makes it.
struct OnceGrant {
    std::string rowKey;
    OnceRecord record;
    /// Version of the pending row.
    std::uint64_t version = 0;
};

enum class OnceVerdict {
    /// The caller of `claim` holds the token and may send once.
    Granted,
    /// An earlier request with the key finished; `record` has the answer.
    Finished,
    /// An earlier request with the key has not reached its deadline.
    InProgress,
    /// An earlier request with the key passed its deadline without a recorded outcome.
    Unknown,
    /// The key was used with another method, path or body.
    Mismatch,
    /// The claim was given up; this process never sends for its token.
    NotRun,
};

struct OnceResult {
    OnceVerdict verdict = OnceVerdict::NotRun;
    OnceGrant grant;
    OnceRecord record;
    std::string reason;
};

/// Longest time that a refusal as not run waits for its record.
inline constexpr Millis notRunRecordWait{250};

/// Invariant: a token is granted at most once, by the process that made it, and a record becomes `NotRun` only when its
/// token was not and never will be used to send. Therefore another token may replace a `NotRun` record.
class OnceManager
{
public:
    using Callback = std::function<void(const OnceResult &)>;

    OnceManager(TablePort table, TimerPort timers, Clock clock, RequestCounters &counters);

    /// Calls back once, by the deadline, never from within the call.
    void claim(const OnceDemand &demand, Callback callback);

    /// Records the target's answer in the background. An answer larger than 16 KB is not stored.
    void recordFinished(OnceGrant grant, int status, const std::vector<Header> &headers, const std::string &body);
    /// Records that the request was not sent and never will be. `done` runs once, when the record is written or after
    /// `notRunRecordWait`, so that a repeat that follows the answer finds the record.
    void recordNotRun(OnceGrant grant, std::function<void()> done = {});
    /// Outcomes that are still being written; a graceful stop waits for them.
    std::size_t recordsInFlight() const
    {
        return m_recordsInFlight;
    }

private:
    struct Claim {
        OnceGrant grant;
        Millis deadline;
        Callback callback;
        Millis backoff;
        /// An attempt may have been written, now or later.
        bool maybeWritten = false;
        /// The caller has its verdict; nothing may be granted any more.
        bool decided = false;
    };
    using ClaimPtr = std::shared_ptr<Claim>;
    struct Record {
        OnceGrant grant;
        int attempts = 0;
        Millis backoff;
        /// Empty when nobody waits or the wait is over.
        std::function<void()> done;
    };

    void insert(const ClaimPtr &claim);
    void handleInsert(const ClaimPtr &claim, const RowWriteResult &result);
    void handleConflict(const ClaimPtr &claim, const Row &row);
    void handleRepeat(const ClaimPtr &claim, const OnceRecord &found, std::uint64_t version);
    void takeOwnRow(const ClaimPtr &claim, std::uint64_t version);
    void retryInsert(const ClaimPtr &claim);
    void decide(const ClaimPtr &claim, const OnceResult &result);
    void record(OnceGrant grant, std::function<void()> done = {});
    void writeRecord(const std::shared_ptr<Record> &record);
    void handleRecord(const std::shared_ptr<Record> &record, const RowWriteResult &result);
    void later(Millis delay, std::function<void()> fn);

    TimerPort m_timers;
    Clock m_clock;
    RequestCounters &m_counters;
    RowWriter m_writer;
    std::size_t m_recordsInFlight = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
