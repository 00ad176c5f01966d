// Event-loop timers.
#pragma once

#include "helpers/millis.hpp"

#include <functional>

namespace hibiscusbridge
{

/// `after` runs the function once on the event-loop thread, no earlier than `delay` and never from within the call.
struct TimerPort {
    std::function<void(Millis delay, std::function<void()>)> after;
};

} // namespace hibiscusbridge
