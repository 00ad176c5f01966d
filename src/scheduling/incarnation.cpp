// Clock bounds of a worker's incarnation.
#include "scheduling/incarnation.hpp"

namespace hibiscusbridge::jobs
{

/// A worker's steady clock may run slow by up to this share.
constexpr std::int64_t clockErrorPercent = 2;
/// Added to the end of a lease to cover clock rounding.
constexpr Millis leaseMargin{50};

Millis earliestClock(const Incarnation &incarnation, Millis now)
{
    return incarnation.clockAtAnswer + (now - incarnation.answeredAt) * (100 - clockErrorPercent) / 100;
}

Millis longestLease(Millis lease)
{
    return lease * 100 / (100 - clockErrorPercent) + leaseMargin;
}

} // namespace hibiscusbridge::jobs
