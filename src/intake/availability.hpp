// Whether an entry may answer callers, judged by the age of what it knows of the store.
#pragma once

#include "helpers/millis.hpp"

#include <string>

namespace hibiscusbridge::jobs
{

/// Boot clock.
struct StoreContact {
    /// When the store last answered.
    Millis answeredAt;
    /// All changes of the configuration that were stored before this time are in force; 0 before the first read.
    Millis configurationConfirmedAt;
    /// When the entry was last late by `delay` in serving anything; 0 if it never was.
    Millis delayEndedAt;
    Millis delay;
};

/// Returns the reason why callers must be refused, or an empty string. A process that was paused finds callers' requests in its
/// sockets that were sent under a newer configuration, so it serves none until it has read the configuration again.
std::string unavailableReason(const StoreContact &contact, Millis now);

} // namespace hibiscusbridge::jobs
