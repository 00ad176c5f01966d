// Timers of the event loop.
#pragma once

#include "helpers/millis.hpp"

#include <functional>

namespace hibiscusbridge
{

/// `after` runs the function once, on the loop's thread, not earlier than the delay; it never runs it inside the call.
struct TimerPort {
    std::function<void(Millis delay, std::function<void()>)> after;
};

} // namespace hibiscusbridge
