// The one time type of the project: a count of milliseconds, used for points in time and for durations.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace hibiscusbridge
{

/// A duration, or a point in time since the epoch of the clock it was read from. Unit: milliseconds.
struct Millis {
    std::int64_t count = 0;

    constexpr auto operator<=>(const Millis &) const = default;
};

constexpr Millis operator+(Millis a, Millis b)
{
    return {a.count + b.count};
}

constexpr Millis operator-(Millis a, Millis b)
{
    return {a.count - b.count};
}

constexpr Millis operator*(Millis a, std::int64_t n)
{
    return {a.count * n};
}

constexpr Millis operator/(Millis a, std::int64_t n)
{
    return {a.count / n};
}

constexpr Millis &operator+=(Millis &a, Millis b)
{
    a.count += b.count;
    return a;
}

/// Time sources, passed in so that tests control them.
struct Clock {
    /// Grows steadily and goes on while the process or the machine is suspended. Not comparable between machines.
    std::function<Millis()> boot;
    /// Wall clock since the Unix epoch. May jump.
    std::function<Millis()> wall;
};

/// Reads CLOCK_BOOTTIME and CLOCK_REALTIME.
Clock systemClock();

} // namespace hibiscusbridge
