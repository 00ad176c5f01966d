// Validation of the whole document.
#pragma once

#include "document/parse.hpp"

namespace hibiscusbridge
{

/// Section that defines teams, section owners and weights.
inline constexpr std::string_view fleetSection = "fleet";
/// Longest deadline of a service. Slots change hands, and drains of silent entries end, only after this time.
inline constexpr Millis maxServiceDeadline{10'000};
/// Longest name of a team, section, service, pool or VM.
inline constexpr std::size_t maxNameLength = 63;

struct CheckedDocument {
    Document document;
    /// Errors and warnings, in the order found.
    std::vector<Problem> problems;

    bool accepted() const;
};

/// Checks the sections as one document and returns all problems. References between sections are checked only when
/// every section is readable TOML.
/// A budget that planned work or a zone failure (with `survivesZone`) would break is an error, because the document
/// contradicts itself; a rack failure that the spares cannot make up for is a warning, because small pools may accept it.
CheckedDocument checkDocument(std::span<const SectionText> sections);

/// A name made of [a-z0-9-] with 1 to `maxNameLength` characters.
bool isValidName(std::string_view name);

/// Reads `192.0.2.1:80` or `[2001:db8::1]:80`. The result is equal for equal addresses; empty when malformed.
std::string canonicalAddress(std::string_view address);

} // namespace hibiscusbridge
