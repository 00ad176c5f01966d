// Requests of one pool that wait for a slot.
#pragma once

#include "ports/slots.hpp"

#include <deque>
#include <functional>
#include <optional>

namespace hibiscusbridge
{

struct WaitingRequest {
    SlotDemand demand;
    SlotPort::Callback done;
};

/// First in, first out, with a bounded length. Each pool has its own queue and estimate, so pools do not affect each
/// other.
class PoolQueue
{
public:
    explicit PoolQueue(std::size_t maxLength)
        : m_maxLength(maxLength)
    {
    }

    /// True when a request that joins now can be expected to finish by `deadline` with `slots` slots at work.
    bool admits(Millis now, Millis deadline, std::uint32_t slots) const;
    void push(WaitingRequest request);
    /// Removes requests that cannot finish in time any more.
    std::vector<WaitingRequest> takeLate(Millis now);
    /// Removes the first request for which `canStart` holds.
    std::optional<WaitingRequest> takeFirst(const std::function<bool(const SlotDemand &)> &canStart);
    void observe(Millis now, Millis busyTime);
    /// Time until a request that joins now would start, at the observed service time.
    Millis expectedWait(std::uint32_t slots) const;
    /// Observed mean service time; 0 before the first observation or when the last one is too old to refuse by.
    Millis serviceTime(Millis now) const;
    /// Time that most requests need: the mean and twice the mean deviation. A request with less time left would often
    /// hold its slot in vain.
    Millis finishTime(Millis now) const;
    std::size_t size() const
    {
        return m_waiting.size();
    }

private:
    std::size_t m_maxLength;
    std::deque<WaitingRequest> m_waiting;
    /// Microseconds: whole milliseconds would stop the mean of short requests from converging.
    std::int64_t m_meanMicros = 0;
    std::int64_t m_deviationMicros = 0;
    Millis m_observedAt;
};

} // namespace hibiscusbridge
