// What a pool owner knows about one incarnation of a worker: its clock, its lease and its list of ends.
//
// A worker that restarts keeps its id, but none of this: a new incarnation replaces all of it at once.
#pragma once

#include "helpers/millis.hpp"
#include "scheduling/unackedends.hpp"

#include <cstdint>

namespace hibiscusbridge::jobs
{

struct Incarnation {
    std::int64_t startedAt = 0; ///< Unix milliseconds; 0 until it has responded
    Millis firstListedAt; ///< local boot clock: a call that was sent later reached this incarnation or a newer one
    Millis clockAtAnswer; ///< worker's steady clock
    Millis answeredAt; ///< local boot clock
    Millis listedAt; ///< local boot clock: last list, which also carries the incarnation
    Millis leaseExpiry; ///< local boot clock: the runs that it is known to have have ended by then unless the lease is extended
    std::int64_t lastProcessedEnd = 0; ///< highest end number processed
    std::int64_t ackCursor = 0; ///< ends up to this number are committed
    std::int64_t ackInFlight = 0;
    UnackedEnds unackedEnds;
    /// Consecutive failed runs.
    int failuresInARow = 0;
};

/// Lower bound of the worker's steady clock at `now` (local boot clock). The worker must have responded.
Millis earliestClock(const Incarnation &incarnation, Millis now);

/// True if the answer of the incarnation that started at `startedAt`, to a call that was sent at `sentAt`, comes from before a restart that
/// is known already. The worker's wall clock may have been set back at a restart, so an earlier start alone proves nothing.
bool isFormer(const Incarnation &incarnation, std::int64_t startedAt, Millis sentAt);

/// False if an answer with this reading of the worker's steady clock, to a call that was sent at `sentAt`, is one of another incarnation.
bool mayHaveAnswered(const Incarnation &incarnation, Millis clock, Millis sentAt, Millis now);

/// Upper bound, on the local clock, of a lease that lasts `lease` on a worker's clock.
Millis longestLease(Millis lease);

} // namespace hibiscusbridge::jobs
