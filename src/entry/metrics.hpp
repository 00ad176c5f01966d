// Metrics in the Prometheus text format.
#pragma once

#include "entry/components.hpp"

#include <string>

namespace hibiscusbridge
{

/// Reads the state of the managers at the time of the call.
std::string renderMetrics(const Components &components);

} // namespace hibiscusbridge
