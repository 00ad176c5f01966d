// The HTTP port for callers: requests to services, and the balancer's readiness check.
#pragma once

#include "adapters/httpserver.hpp"
#include "entry/components.hpp"

namespace hibiscusbridge
{

enum class EntryPhase {
    Serving,
    /// Not ready any more, but still accepting while the balancer reacts.
    Leaving,
    /// New requests are refused; those in flight finish.
    Closing,
};

/// Handles one request of the caller port. `phase` is read at the time of the request.
void handleCaller(Components &components, EntryPhase phase, HttpRequest request, HttpResponder respond);

} // namespace hibiscusbridge
