// Problems found in the document, with their location in a section's text.
#pragma once

#include <cstdint>
#include <string>

namespace hibiscusbridge
{

enum class Severity {
    /// The document is rejected.
    Error,
    /// The document is accepted; the problem is reported to the operator.
    Warning,
};

/// A location in the text of a section. Line and column start at 1; 0 if unknown.
struct Place {
    std::string section;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

struct Problem {
    Severity severity = Severity::Error;
    Place place;
    /// What is wrong and how to correct it.
    std::string text;
};

/// `section:line:column: text`, without the unknown parts.
std::string formatProblem(const Problem &problem);

} // namespace hibiscusbridge
