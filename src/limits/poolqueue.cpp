// Bounded queue with admission by deadline.
#include "limits/poolqueue.hpp"

#include <algorithm>
#include <cstdlib>

namespace hibiscusbridge
{

/// An older estimate refuses nothing: if every request were refused by it, it could never be corrected.
constexpr Millis estimateLifetime{2000};
/// Each observation moves the mean by one part in this many.
constexpr std::int64_t meanWeight = 16;

bool PoolQueue::admits(Millis now, Millis deadline, std::uint32_t slots) const
{
    if (m_waiting.size() >= m_maxLength || deadline <= now) {
        return false;
    }
    return serviceTime(now).count == 0 || now + expectedWait(slots) + finishTime(now) <= deadline;
}

void PoolQueue::push(WaitingRequest request)
{
    m_waiting.push_back(std::move(request));
}

std::vector<WaitingRequest> PoolQueue::takeLate(Millis now)
{
    const auto isInTime = [end = now + finishTime(now), now](const WaitingRequest &it) {
        return it.demand.deadline > now && it.demand.deadline >= end;
    };
    const auto firstLate = std::stable_partition(m_waiting.begin(), m_waiting.end(), isInTime);
    std::vector<WaitingRequest> late(std::make_move_iterator(firstLate), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(firstLate, m_waiting.end());
    return late;
}

std::optional<WaitingRequest> PoolQueue::takeFirst(const std::function<bool(const SlotDemand &)> &canStart)
{
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &waiting) { return canStart(waiting.demand); });
    if (it == m_waiting.end()) {
        return std::nullopt;
    }
    std::optional<WaitingRequest> found = std::move(*it);
    m_waiting.erase(it);
    return found;
}

void PoolQueue::observe(Millis now, Millis busyTime)
{
    const auto micros = busyTime.count * 1000;
    const auto difference = m_meanMicros == 0 ? 0 : micros - m_meanMicros;
    m_meanMicros = m_meanMicros == 0 ? micros : m_meanMicros + difference / meanWeight;
    m_deviationMicros += (std::abs(difference) - m_deviationMicros) / meanWeight;
    m_observedAt = now;
}

Millis PoolQueue::expectedWait(std::uint32_t slots) const
{
    const auto ahead = static_cast<std::int64_t>(m_waiting.size()) + 1;
    return {ahead * m_meanMicros / 1000 / std::max<std::int64_t>(slots, 1)};
}

Millis PoolQueue::finishTime(Millis now) const
{
    return serviceTime(now).count == 0 ? Millis{} : Millis{(m_meanMicros + 2 * m_deviationMicros) / 1000};
}

Millis PoolQueue::serviceTime(Millis now) const
{
    return now - m_observedAt > estimateLifetime ? Millis{} : Millis{m_meanMicros / 1000};
}

} // namespace hibiscusbridge
