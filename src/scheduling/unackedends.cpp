// Unacknowledged ends of a worker.
#include "scheduling/unackedends.hpp"

namespace hibiscusbridge::jobs
{

const char *nameOf(AckDelay delay)
{
    switch (delay) {
    case AckDelay::RecordNotCommitted:
        return "record-not-committed";
    case AckDelay::WorkerUnreachable:
        return "worker-unreachable";
    case AckDelay::RenewalOvertaken:
        return "renewal-overtaken";
    case AckDelay::RenewalNotSent:
        return "renewal-not-sent";
    }
    return "unknown";
}

void UnackedEnds::onListed(std::int64_t lastEnd, Millis now, std::uint64_t change)
{
    if (m_lists.empty() || lastEnd > m_lists.back().lastEnd) {
        m_lists.push_back({lastEnd, now, change});
    }
}

std::int64_t UnackedEnds::acknowledgeable(std::uint64_t change) const
{
    std::int64_t end = 0;
    for (const auto &it : m_lists) {
        if (it.change > change) {
            break;
        }
        end = it.lastEnd;
    }
    return end;
}

void UnackedEnds::onAcknowledged(std::int64_t cursor)
{
    while (!m_lists.empty() && m_lists.front().lastEnd <= cursor) {
        m_lists.pop_front();
    }
}

} // namespace hibiscusbridge::jobs
