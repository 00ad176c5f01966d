// Problems found in the operators' document, with their place in a section's text.
#pragma once

#include <cstdint>
#include <string>

namespace hibiscusbridge
{

enum class Severity {
    /// The document cannot be accepted.
    Error,
    /// The document is accepted; the operator is told.
    Warning,
};

/// A place in the text of a section. Line and column start at 1; 0 when the place is not known.
struct Place {
    std::string section;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

struct Problem {
    Severity severity = Severity::Error;
    Place place;
    /// What is wrong and what the operator can change.
    std::string text;
};

/// `section:line:column: text`, without the parts that are not known.
std::string formatProblem(const Problem &problem);

} // namespace hibiscusbridge
