// Process of an entry: serves callers, owns shards, and handles shutdown and reload.
#pragma once

#include "adapters/eventloop.hpp"
#include "config/entrysettings.hpp"

#include <absl/status/status.h>
#include <string>

namespace hibiscusbridge::jobs
{

/// Runs until SIGTERM. SIGHUP reloads `settingsPath`. Fails when an address cannot be bound.
absl::Status runNode(EventLoop &loop, const EntrySettings &settings, const std::string &settingsPath);

} // namespace hibiscusbridge::jobs
