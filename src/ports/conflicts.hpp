// Keys of the preconditions that aborted a commit, carried by the status.
#pragma once

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace hibiscusbridge
{

/// kAborted with the keys of the failed preconditions as payload.
absl::Status conflictError(const std::vector<std::string> &keys);

/// The keys that a status from `conflictError` carries; empty for any other status, and when the platform named none.
std::vector<std::string> conflictingKeys(const absl::Status &status);

} // namespace hibiscusbridge
