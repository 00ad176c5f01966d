// System time sources.
#include "helpers/millis.hpp"

#include <ctime>

namespace hibiscusbridge
{

static Millis readClock(clockid_t id)
{
    timespec ts{};
    clock_gettime(id, &ts);
    return {static_cast<std::int64_t>(ts.tv_sec) * 1000 + ts.tv_nsec / 1'000'000};
}

Clock systemClock()
{
    return {
        .boot = [] { return readClock(CLOCK_BOOTTIME); },
        .wall = [] { return readClock(CLOCK_REALTIME); },
    };
}

} // namespace hibiscusbridge
