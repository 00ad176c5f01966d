// An in-memory table service with injected faults.
#pragma once

#include "fakes/fakeloop.hpp"
#include "ports/table.hpp"

#include <deque>
#include <map>

namespace hibiscusbridge
{

enum class TableFault {
    None,
    /// Fails with kUnavailable before anything is written.
    ServiceDown,
    /// The transaction is applied, but the reply is lost: kDeadlineExceeded.
    ReplyLost,
    /// The caller gets kDeadlineExceeded; the transaction is applied after `lateWriteDelay`.
    LateWrite,
    /// Replies after `slowReplyDelay`.
    Slow,
    /// A read returns the table as of the previous commit. Commits are not affected.
    StaleRead,
};

/// Each call takes the next fault of the queue, or `defaultFault` if the queue is empty. Callbacks run from the loop, never
/// within the call.
class FakeTable
{
public:
    explicit FakeTable(FakeLoop &loop);

    TablePort port();

    std::deque<TableFault> faults;
    TableFault defaultFault = TableFault::None;
    Millis replyDelay{2};
    Millis slowReplyDelay{2'000};
    Millis lateWriteDelay{5'000};
    /// Whether the status of an aborted commit contains the conflicting keys.
    bool reportsConflicts = true;
    /// Number of calls, including failed ones.
    std::size_t calls = 0;
    std::size_t commits = 0;
    /// Runs after each commit that has written rows; used to check invariants.
    std::function<void()> onCommit;

    /// Returns the current row, without faults. Version 0 means absent.
    Row row(const std::string &key) const;
    /// Returns the current rows with the prefix, without faults. Deleted rows are omitted.
    std::vector<Row> rows(const std::string &prefix) const;
    /// Writes without preconditions or faults.
    void put(const std::string &key, const std::string &value);
    std::uint64_t version() const
    {
        return m_version;
    }

private:
    TableFault nextFault();
    absl::StatusOr<std::uint64_t> apply(const Transaction &transaction);
    ReadResult readRows(const ReadRequest &request, std::uint64_t upTo) const;
    void commit(Transaction transaction, TablePort::CommitCallback callback);
    void read(const ReadRequest &request, TablePort::ReadCallback callback);

    FakeLoop &m_loop;
    std::uint64_t m_version = 0;
    std::map<std::string, std::vector<Row>> m_history;
};

} // namespace hibiscusbridge
