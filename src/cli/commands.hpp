// The operators' command line.
#pragma once

#include "config/settings.hpp"

#include <string>
#include <vector>

namespace hibiscusbridge
{

/// Exit codes that scripts can rely on.
enum class ExitCode {
    Success = 0,
    Failure = 1,
    /// Bad arguments.
    Usage = 2,
    /// Somebody else changed the section first.
    Conflict = 3,
    /// The request was refused: invalid, forbidden or not allowed now.
    Refused = 4,
    /// The entry or the platform cannot be reached; nothing was changed.
    Unavailable = 5,
    /// No answer came; the change may have happened. Submissions can be repeated with the same --submission-id.
    Unknown = 6,
};

/// Runs an operator command such as {"document", "submit", ...}; prints to standard output and standard error.
ExitCode runOperatorCommand(std::vector<std::string> arguments, const Environment &environment);

/// The list of commands, one a line.
std::string commandOverview();

} // namespace hibiscusbridge
