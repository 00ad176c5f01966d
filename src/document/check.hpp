// Validates the whole document.
#pragma once

#include "document/parse.hpp"

namespace hibiscusbridge
{

/// Section that defines teams, section owners and weights.
inline constexpr std::string_view fleetSection = "fleet";
/// Maximum deadline of a service. Slots are transferred, and drains of unresponsive entries end, only after this time.
inline constexpr Millis maxServiceDeadline{10'000};
/// Maximum length in characters of the name of a team, section, service, pool or VM.
inline constexpr std::size_t maxNameLength = 63;

struct CheckedDocument {
    Document document;
    /// Errors and warnings, in the order of detection.
    std::vector<Problem> problems;

    bool accepted() const;
};

/// Validates the sections as one document and returns all problems. References between sections are checked only if
/// every section is valid TOML.
/// A budget that planned work or a zone failure (with `survivesZone`) would violate is an error, because the document
/// contradicts itself. A rack failure that the spares cannot compensate is a warning, because small pools may accept it.
CheckedDocument checkDocument(std::span<const SectionText> sections);

/// Returns whether the name consists of 1 to `maxNameLength` characters of [a-z0-9-].
bool isValidName(std::string_view name);

/// Normalises `192.0.2.1:80` or `[2001:db8::1]:80`, so that equal addresses give equal strings. Empty if malformed.
std::string canonicalAddress(std::string_view address);

} // namespace hibiscusbridge
