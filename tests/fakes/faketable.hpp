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
    /// Fails before anything is written: kUnavailable.
    ServiceDown,
    /// Writes, then the reply is lost: kDeadlineExceeded.
    ReplyLost,
    /// The caller gets kDeadlineExceeded at once; the transaction is carried out `lateWriteDelay` later.
    LateWrite,
    /// Answers after `slowReplyDelay`.
    Slow,
    /// A read answers with the table as it was one commit ago. A commit is not affected.
    StaleRead,
};

/// Each call takes the next fault of the queue, or `defaultFault` when the queue is empty. Answers come through the loop,
/// never inside the call.
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
    /// An aborted commit carries the keys of its conflicts.
    bool reportsConflicts = true;
    /// Calls so far, refused ones included.
    std::size_t calls = 0;
    std::size_t commits = 0;
    /// Runs after each commit that wrote something; for checking invariants.
    std::function<void()> onCommit;

    /// The row as it is now, without faults. Version 0 means absent.
    Row row(const std::string &key) const;
    /// Rows under the prefix, without faults; deleted rows are left out.
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
