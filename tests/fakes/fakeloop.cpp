// Manually advanced clock and timers.
#include "fakes/fakeloop.hpp"

namespace hibiscusbridge
{

Clock FakeLoop::clock()
{
    return {.boot = [this] { return m_now; },
            .wall =
                [this] {
                    return m_now;
                }};
}

TimerPort FakeLoop::timers()
{
    return {.after = [this](Millis delay, std::function<void()> fn) {
        m_timers.emplace(m_now + delay, std::move(fn));
    }};
}

void FakeLoop::advance(Millis duration)
{
    const auto end = m_now + duration;
    while (!m_timers.empty() && m_timers.begin()->first <= end) {
        auto node = m_timers.extract(m_timers.begin());
        m_now = std::max(m_now, node.key());
        node.mapped()();
    }
    m_now = end;
}

} // namespace hibiscusbridge
