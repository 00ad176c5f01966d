// Clock bounds of a worker's incarnation.
#include "scheduling/incarnation.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

/// A worker's steady clock may run slow by up to this share.
constexpr std::int64_t clockErrorPercent = 2;
/// Covers the rounding of clocks.
constexpr Millis clockMargin{50};

Millis earliestClock(const Incarnation &incarnation, Millis now)
{
    return incarnation.clockAtAnswer + (now - incarnation.answeredAt) * (100 - clockErrorPercent) / 100;
}

bool isFormer(const Incarnation &incarnation, std::int64_t startedAt, Millis sentAt)
{
    return startedAt < incarnation.startedAt && sentAt <= incarnation.firstListedAt;
}

bool mayHaveAnswered(const Incarnation &incarnation, Millis clock, Millis sentAt, Millis now)
{
    if (clock.count == 0 || incarnation.answeredAt.count == 0) {
        return true; // The clock is unknown.
    }
    // The worker read its clock between the sending of the call and now. The clock may run at full speed or slow.
    const auto earliest = sentAt < incarnation.answeredAt ? incarnation.clockAtAnswer - (incarnation.answeredAt - sentAt)
                                                          : earliestClock(incarnation, sentAt);
    const auto latest = incarnation.clockAtAnswer + std::max(now - incarnation.answeredAt, Millis{0});
    return clock + clockMargin >= earliest && clock <= latest + clockMargin;
}

Millis longestLease(Millis lease)
{
    return lease * 100 / (100 - clockErrorPercent) + clockMargin;
}

} // namespace hibiscusbridge::jobs
