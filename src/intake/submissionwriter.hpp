// Writes submissions and cancellations to the store: those that arrive while a transaction of their part of the store is in flight
// share the next one.
#pragma once

#include "ports/store.hpp"
#include "ports/timer.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusbridge::jobs
{

enum class WriteOutcome {
    Stored,
    /// The row was there already.
    KnownBefore,
    /// The row has not been written: its job was cancelled before it was stored.
    Cancelled,
    /// The row has not been written and will not be.
    Refused,
    /// The store does not take the row; it has not been written and a repetition has the same result.
    Invalid,
    /// The store did not confirm the row; it may or may not be written.
    Unknown,
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Refused;
    /// Version of the row's transaction; only set for `Stored`.
    std::uint64_t version = 0;
    std::string error;
};

/// A row that is written unless it exists. Answered once; it joins no transaction afterwards.
struct SubmissionWrite {
    RowKey key;
    std::string value;
    /// Rows that must not exist either and are written with it.
    std::vector<RowPut> others;
    /// Latest time (boot clock) of the answer.
    Millis deadline;
    /// A write that the store rejects is sent again until this time (boot clock).
    Millis retryUntil;
    std::function<void(WriteResult)> done; ///< null once answered or withdrawn
    bool inFlight = false;
    /// A transaction with this row got no answer and may still be applied.
    bool uncertain = false;
    /// The row is sent in a transaction of its own, since the store did not take one with it and others.
    bool alone = false;

    bool mayBeApplied() const
    {
        return inFlight || uncertain;
    }
};
using SubmissionWritePtr = std::shared_ptr<SubmissionWrite>;

class SubmissionWriter
{
public:
    struct Ports {
        StorePort store;
        TimerPort timers;
        Clock clock;
    };

    explicit SubmissionWriter(Ports ports);
    ~SubmissionWriter();
    SubmissionWriter(const SubmissionWriter &) = delete;
    SubmissionWriter &operator=(const SubmissionWriter &) = delete;
    /// `write.done` may run from within the call, if the write can't be served in time.
    void add(const SubmissionWritePtr &write);
    /// Drops a write whose caller has been answered.
    static void withdraw(SubmissionWrite &write)
    {
        write.done = nullptr;
    }

private:
    using Group = std::vector<SubmissionWritePtr>;

    struct Part {
        std::deque<SubmissionWritePtr> waiting;
        int inFlight = 0;
        /// Of `inFlight`: transactions that no longer hold back the next one.
        int overdue = 0;
        Millis sentAt;
        /// Of the last transaction.
        Millis roundTrip;
        /// Delay after the last failure in a row; 0 after an answer.
        Millis backoff;
        /// No transaction is sent before this time (boot clock).
        Millis notBefore;
    };

    Millis now() const
    {
        return m_ports.clock.boot();
    }
    /// Latest time by which an answer to a new write can be expected; 0 if it can be sent at once.
    Millis expectedAnswer(const Part &part) const;
    void send(Part &part);
    static Group takeGroup(Part &part);
    void commit(Part &part, Group group);
    void onResult(Part &part, const Group &group, const CommitResult &result);
    void settle(Part &part, const Group &group, const CommitResult &result);
    void backOff(Part &part, const Group &group, const CommitResult &result);
    /// Answers a row that the store does not take, or sends the rows of a larger group one by one.
    static void reject(Part &part, const Group &group, const CommitResult &result);
    /// Refuses what can't be served in time any more.
    void refuseLate(const Part &part, const std::string &error) const;
    void later(Millis delay, std::function<void()> fn);

    Ports m_ports;
    /// By table and part; entries are kept, so that callbacks may refer to them.
    std::map<std::pair<std::string, std::string>, Part> m_parts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge::jobs
