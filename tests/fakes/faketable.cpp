// An in-memory table service with injected faults.
#include "fakes/faketable.hpp"

#include "ports/conflicts.hpp"

namespace hibiscusbridge
{

FakeTable::FakeTable(FakeLoop &loop)
    : m_loop(loop)
{
}

TablePort FakeTable::port()
{
    return {
        .commit = [this](Transaction transaction,
                         TablePort::CommitCallback callback) { commit(std::move(transaction), std::move(callback)); },
        .read = [this](const ReadRequest &request, TablePort::ReadCallback callback) { read(request, std::move(callback)); },
    };
}

Row FakeTable::row(const std::string &key) const
{
    const auto it = m_history.find(key);
    if (it == m_history.end() || !it->second.back().value) {
        return {.key = key};
    }
    return it->second.back();
}

std::vector<Row> FakeTable::rows(const std::string &prefix) const
{
    std::vector<Row> out;
    for (auto &it : readRows({.prefix = prefix}, m_version).rows) {
        if (it.value) {
            out.push_back(std::move(it));
        }
    }
    return out;
}

void FakeTable::put(const std::string &key, const std::string &value)
{
    (void)apply({.writes = {{key, value}}});
}

TableFault FakeTable::nextFault()
{
    ++calls;
    if (faults.empty()) {
        return defaultFault;
    }
    const auto fault = faults.front();
    faults.pop_front();
    return fault;
}

absl::StatusOr<std::uint64_t> FakeTable::apply(const Transaction &transaction)
{
    std::vector<std::string> conflicts;
    for (const auto &precondition : transaction.preconditions) {
        if (row(precondition.key).version != precondition.version) {
            conflicts.push_back(precondition.key);
        }
    }
    if (!conflicts.empty()) {
        return reportsConflicts ? conflictError(conflicts) : absl::AbortedError("precondition failed: " + conflicts.front());
    }
    if (transaction.writes.empty()) {
        return m_version;
    }
    ++m_version;
    ++commits;
    for (const auto &write : transaction.writes) {
        m_history[write.key].push_back({write.key, write.value, m_version});
    }
    if (onCommit) {
        onCommit();
    }
    return m_version;
}

ReadResult FakeTable::readRows(const ReadRequest &request, std::uint64_t upTo) const
{
    ReadResult result{.version = upTo};
    if (request.since >= upTo) {
        return result;
    }
    for (auto it = m_history.lower_bound(request.prefix); it != m_history.end() && it->first.starts_with(request.prefix); ++it) {
        const Row *latest = nullptr;
        for (const auto &row : it->second) {
            latest = row.version <= upTo ? &row : latest;
        }
        if (latest && latest->version > request.since) {
            result.rows.push_back(*latest);
        }
    }
    return result;
}

void FakeTable::commit(Transaction transaction, TablePort::CommitCallback callback)
{
    const auto reply = [this, callback](absl::StatusOr<std::uint64_t> answer, Millis delay) {
        m_loop.timers().after(delay, [callback, answer = std::move(answer)] { callback(answer); });
    };
    switch (nextFault()) {
    case TableFault::ServiceDown:
        return reply(absl::UnavailableError("table service unavailable"), replyDelay);
    case TableFault::ReplyLost:
        (void)apply(transaction);
        return reply(absl::DeadlineExceededError("no reply from the table service"), replyDelay);
    case TableFault::LateWrite:
        m_loop.timers().after(lateWriteDelay, [this, transaction] { (void)apply(transaction); });
        return reply(absl::DeadlineExceededError("no reply from the table service"), replyDelay);
    case TableFault::Slow:
        return reply(apply(transaction), slowReplyDelay);
    case TableFault::None:
    case TableFault::StaleRead:
        return reply(apply(transaction), replyDelay);
    }
}

void FakeTable::read(const ReadRequest &request, TablePort::ReadCallback callback)
{
    const auto reply = [this, callback](absl::StatusOr<ReadResult> answer, Millis delay) {
        m_loop.timers().after(delay, [callback, answer = std::move(answer)] { callback(answer); });
    };
    switch (nextFault()) {
    case TableFault::ServiceDown:
        return reply(absl::UnavailableError("table service unavailable"), replyDelay);
    case TableFault::ReplyLost:
    case TableFault::LateWrite:
        return reply(absl::DeadlineExceededError("no reply from the table service"), replyDelay);
    case TableFault::Slow:
        return reply(readRows(request, m_version), slowReplyDelay);
    case TableFault::StaleRead:
        return reply(readRows(request, m_version > 0 ? m_version - 1 : 0), replyDelay);
    case TableFault::None:
        return reply(readRows(request, m_version), replyDelay);
    }
}

} // namespace hibiscusbridge
