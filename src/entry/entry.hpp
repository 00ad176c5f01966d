// One entry process: wires the managers to the adapters and runs until it is told to stop.
#pragma once

#include "adapters/eventloop.hpp"
#include "config/settings.hpp"

#include <absl/status/status.h>

namespace hibiscusbridge
{

/// Serves until SIGTERM or SIGINT. Returns an error when the entry cannot start.
absl::Status runEntry(EventLoop &loop, const Settings &settings);

} // namespace hibiscusbridge
