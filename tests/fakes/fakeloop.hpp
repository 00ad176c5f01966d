// Clock and timers that tests advance manually.
#pragma once

#include "helpers/millis.hpp"
#include "ports/timer.hpp"

#include <map>

namespace hibiscusbridge
{

/// Runs timers in order of expiry while the test advances the clock. The boot and wall clocks are identical.
class FakeLoop
{
public:
    Clock clock();
    TimerPort timers();
    /// Runs the function on the next call to `advance`.
    void post(std::function<void()> fn)
    {
        timers().after({0}, std::move(fn));
    }
    /// Advances the clock and runs every timer that expires within `duration`.
    void advance(Millis duration);
    Millis now() const
    {
        return m_now;
    }

private:
    Millis m_now{1'000'000};
    std::multimap<Millis, std::function<void()>> m_timers;
};

} // namespace hibiscusbridge
