// Ends that a worker has listed and that have not been acknowledged to it yet.
#pragma once

#include "helpers/millis.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace hibiscusbridge::jobs
{

/// What an acknowledgement waits for.
enum class AckDelay {
    /// The progress that the end changed is not in the store yet.
    RecordNotCommitted,
    /// The worker does not answer, or has not accepted this owner's fencing token.
    WorkerUnreachable,
    /// The renewal under way was sent before the commit, or without the cursor because the worker's last list was too old.
    RenewalOvertaken,
    /// The next renewal has not been sent: the owner is late, or the renewal budget is exhausted.
    RenewalNotSent,
};

const char *nameOf(AckDelay delay);

/// The unacknowledged ends of one worker incarnation, in the order of their numbers.
class UnackedEnds
{
public:
    /// Ends up to `lastEnd` were listed at `now` and have been processed; `change` is the number of the latest change to a job.
    void onListed(std::int64_t lastEnd, Millis now, std::uint64_t change);
    /// The last end that may be acknowledged once all changes up to this number are in the store; 0 if there is none.
    std::int64_t acknowledgeable(std::uint64_t change) const;
    /// The worker has accepted a renewal that acknowledges ends up to `cursor`.
    void onAcknowledged(std::int64_t cursor);
    void clear()
    {
        m_lists.clear();
    }
    bool empty() const
    {
        return m_lists.empty();
    }
    /// Number of the last end of the oldest list with unacknowledged ends. Must not be called when empty.
    std::int64_t oldestEnd() const
    {
        return m_lists.front().lastEnd;
    }
    /// Boot clock: when that list was received.
    Millis oldestListedAt() const
    {
        return m_lists.front().listedAt;
    }

private:
    struct List {
        std::int64_t lastEnd = 0;
        Millis listedAt;
        std::uint64_t change = 0;
    };

    std::deque<List> m_lists;
};

/// The unacknowledged end of a pool that has waited longest.
struct OldestUnackedEnd {
    std::string workerId;
    std::int64_t end = 0;
    Millis age;
    AckDelay delay = AckDelay::RecordNotCommitted;
};

} // namespace hibiscusbridge::jobs
