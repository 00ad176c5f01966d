// Status of a commit that failed its preconditions, with the conflicting keys.
#pragma once

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace hibiscusbridge
{

/// Returns kAborted with the keys of the failed preconditions as payload.
absl::Status conflictError(const std::vector<std::string> &keys);

/// Returns the keys stored by `conflictError`; empty for any other status, or when the platform reported no keys.
std::vector<std::string> conflictingKeys(const absl::Status &status);

} // namespace hibiscusbridge
