// Common time type: a count of milliseconds, used for both time points and durations.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace hibiscusbridge
{

/// A duration, or a time point relative to the epoch of the clock it was read from, in milliseconds.
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

/// Injectable time sources, so that tests can control time.
struct Clock {
    /// Monotonic clock that keeps advancing while the process or the machine is suspended. Not comparable between machines.
    std::function<Millis()> boot;
    /// Wall-clock time since the Unix epoch. May jump forwards or backwards.
    std::function<Millis()> wall;
};

/// Reads CLOCK_BOOTTIME and CLOCK_REALTIME.
Clock systemClock();

} // namespace hibiscusbridge
