// Writes submissions to the store, several in one transaction.
#include "intake/submissionwriter.hpp"

#include "helpers/ids.hpp"
#include "helpers/log.hpp"
#include "shards/rows.hpp"

#include <algorithm>
#include <set>
#include <span>

namespace hibiscusbridge::jobs
{

/// A part of the store lets a transaction wait for up to one second before it rejects it. A shorter time-out would turn an overloaded
/// part into unknown outcomes.
constexpr Millis transactionTimeout{1'200};
/// A transaction without an answer for this long does not hold back the next one: its connection may be lost.
constexpr Millis overdueAfter{300};
/// Transactions in flight to one part, overdue ones included.
constexpr int maxInFlight = 2;
/// After a pause of the process, deadlines run out before the results that have arrived meanwhile are handled.
constexpr Millis resultGrace{20};
constexpr Millis minBackoff{60};
constexpr Millis maxBackoff{500};
/// The store takes 100 entries a transaction; a row has a condition and a put.
constexpr std::size_t maxRows = 40;
/// The store takes 1 MB a transaction, with values in base64.
constexpr std::size_t maxGroupBytes = 256 << 10;
/// A larger row is sent alone: the store may reject it for its size, and with it the transaction.
constexpr std::size_t maxSharedBytes = 32 << 10;

SubmissionWriter::SubmissionWriter(Ports ports)
    : m_ports(std::move(ports))
{
}

SubmissionWriter::~SubmissionWriter()
{
    *m_alive = false;
}

static void answer(SubmissionWrite &write, WriteResult result)
{
    if (const auto done = std::exchange(write.done, nullptr)) {
        done(std::move(result));
    }
}

void SubmissionWriter::later(Millis delay, std::function<void()> fn)
{
    m_ports.timers.after(delay, [alive = m_alive, fn = std::move(fn)] {
        if (*alive) {
            fn();
        }
    });
}

void SubmissionWriter::add(const SubmissionWritePtr &write)
{
    auto &part = m_parts[{write->key.table, write->key.part}];
    if (std::max(now(), part.notBefore) > std::min(write->deadline, write->retryUntil) || expectedAnswer(part) > write->deadline) {
        return answer(*write, {.error = "no answer can be expected within the caller's timeout"});
    }
    write->alone = !write->others.empty();
    part.waiting.push_back(write);
    later(write->deadline - now(), [this, write] {
        later(resultGrace, [write] {
            answer(*write,
                   {.outcome = write->mayBeApplied() ? WriteOutcome::Unknown : WriteOutcome::Refused,
                    .error = "no answer within the caller's timeout"});
        });
    });
    send(part);
}

Millis SubmissionWriter::expectedAnswer(const Part &part) const
{
    if (part.inFlight == 0) {
        return {0};
    }
    const auto turn = part.inFlight < maxInFlight ? std::min(part.roundTrip, overdueAfter) : part.roundTrip;
    return std::max({now(), part.sentAt + turn, part.notBefore}) + part.roundTrip;
}

void SubmissionWriter::send(Part &part)
{
    while (part.inFlight == part.overdue && part.inFlight < maxInFlight && now() >= part.notBefore) {
        auto group = takeGroup(part);
        if (group.empty()) {
            return;
        }
        commit(part, std::move(group));
    }
}

SubmissionWriter::Group SubmissionWriter::takeGroup(Part &part)
{
    std::erase_if(part.waiting, [](const auto &it) { return !it->done; });
    // Writes that may be applied are sent again without the others, which can then still be refused.
    std::stable_partition(part.waiting.begin(), part.waiting.end(), [](const auto &it) { return it->uncertain; });
    Group group;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    std::deque<SubmissionWritePtr> left;
    for (auto &it : part.waiting) {
        const auto size = it->value.size();
        const bool fits =
            group.empty()
            || (!it->alone && !group.front()->alone && group.size() < maxRows && bytes + size <= maxGroupBytes
                && it->uncertain == group.front()->uncertain && std::max(size, group.front()->value.size()) <= maxSharedBytes);
        // A second write of a row waits for the next transaction, which finds the row stored.
        if (fits && keys.insert(it->key.key).second) {
            bytes += size;
            group.push_back(std::move(it));
        } else {
            left.push_back(std::move(it));
        }
    }
    part.waiting = std::move(left);
    return group;
}

void SubmissionWriter::commit(Part &part, Group group)
{
    RowTransaction tx;
    for (const auto &it : group) {
        it->inFlight = true;
        tx.conditions.push_back({it->key, 0});
        tx.puts.push_back({it->key, it->value});
        for (const auto &other : it->others) {
            tx.conditions.push_back({other.key, 0});
            tx.puts.push_back(other);
            tx.spansParts = true;
        }
    }
    ++part.inFlight;
    part.sentAt = now();
    const auto isOverdue = std::make_shared<bool>(false);
    const auto isAnswered = std::make_shared<bool>(false);
    later(overdueAfter, [this, &part, isOverdue, isAnswered] {
        if (!*isAnswered) {
            *isOverdue = true;
            ++part.overdue;
            send(part);
        }
    });
    m_ports.store.commit(
        std::move(tx),
        transactionTimeout,
        [this, alive = m_alive, &part, group = std::move(group), sentAt = now(), isOverdue, isAnswered](const CommitResult &result) {
            if (!*alive) {
                return;
            }
            *isAnswered = true;
            --part.inFlight;
            part.overdue -= *isOverdue ? 1 : 0;
            part.roundTrip = now() - sentAt;
            onResult(part, group, result);
        });
}

void SubmissionWriter::onResult(Part &part, const Group &group, const CommitResult &result)
{
    for (const auto &it : group) {
        it->inFlight = false;
        it->uncertain = it->uncertain || result.outcome == CommitOutcome::Unknown;
    }
    if (result.outcome == CommitOutcome::Applied || result.outcome == CommitOutcome::Conflict) {
        settle(part, group, result);
    } else if (result.outcome == CommitOutcome::Invalid) {
        reject(part, group, result);
    } else {
        backOff(part, group, result);
    }
    send(part);
    refuseLate(part, result.error);
}

/// True if one of the rows, or that of another write with it, is the tombstone of a cancellation.
static bool isCancelled(const SubmissionWrite &write, std::span<const Row> current)
{
    return std::any_of(current.begin(), current.end(), [&write](const Row &row) {
        const auto isRow = [&row](const RowKey &key) {
            return row.key.part == key.part && row.key.key == key.key;
        };
        if (!isRow(write.key) && std::none_of(write.others.begin(), write.others.end(), [&](const RowPut &it) { return isRow(it.key); })) {
            return false;
        }
        const auto tombstone = decodeTombstone(row.value);
        return row.version != 0 && tombstone && tombstone->cancelled;
    });
}

void SubmissionWriter::settle(Part &part, const Group &group, const CommitResult &result)
{
    part.backoff = {0};
    std::set<std::string> known;
    for (const auto &it : result.current) {
        if (it.version != 0) {
            known.insert(it.key.key);
        }
    }
    Group answered;
    Group again;
    for (const auto &it : group) {
        const bool isSettled = result.outcome == CommitOutcome::Applied || group.size() == 1 || known.contains(it->key.key);
        (isSettled ? answered : again).push_back(it);
    }
    part.waiting.insert(part.waiting.begin(), again.begin(), again.end());
    for (const auto &it : answered) {
        const auto conflict = isCancelled(*it, result.current) ? WriteOutcome::Cancelled : WriteOutcome::KnownBefore;
        answer(*it, {.outcome = result.outcome == CommitOutcome::Applied ? WriteOutcome::Stored : conflict, .version = result.version});
    }
}

void SubmissionWriter::reject(Part &part, const Group &group, const CommitResult &result)
{
    if (group.size() == 1) {
        auto &write = *group.front();
        return answer(write,
                      {.outcome = write.uncertain ? WriteOutcome::Unknown : WriteOutcome::Invalid, .error = "store: " + result.error});
    }
    for (const auto &it : group) {
        it->alone = true;
    }
    part.waiting.insert(part.waiting.begin(), group.begin(), group.end());
}

void SubmissionWriter::backOff(Part &part, const Group &group, const CommitResult &result)
{
    part.backoff = std::clamp(part.backoff * 2, minBackoff, maxBackoff);
    // Entries that were rejected together must not return together.
    const auto jitter = static_cast<std::int64_t>(stableHash(group.front()->key.key) % static_cast<std::uint64_t>(part.backoff.count / 2));
    const auto delay = part.backoff - Millis{jitter};
    part.notBefore = now() + delay;
    logEvent(LogLevel::Info,
             "submissions_delayed",
             {{"part", group.front()->key.part},
              {"rows", group.size()},
              {"waiting", part.waiting.size()},
              {"unknown", result.outcome == CommitOutcome::Unknown},
              {"delay_ms", delay.count},
              {"reason", "store: " + result.error}});
    part.waiting.insert(part.waiting.begin(), group.begin(), group.end());
    later(delay, [this, &part] { send(part); });
}

void SubmissionWriter::refuseLate(const Part &part, const std::string &error) const
{
    // A copy, because the answer to a caller may add a write.
    const auto waiting = part.waiting;
    for (const auto &it : waiting) {
        const bool isLate =
            std::max(now(), part.notBefore) + part.roundTrip > it->deadline || part.notBefore > std::max(it->retryUntil, now());
        if (isLate && !it->mayBeApplied()) {
            answer(*it, {.error = error.empty() ? "no answer can be expected within the caller's timeout" : "store: " + error});
        }
    }
}

} // namespace hibiscusbridge::jobs
