// Parses the sections of the document from TOML.
#pragma once

#include "document/problem.hpp"
#include "model/document.hpp"

#include <absl/status/statusor.h>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusbridge
{

/// One section as submitted: its name and its TOML text.
struct SectionText {
    std::string name;
    std::string text;
};

/// Maximum size of one section's text.
inline constexpr std::size_t maxSectionBytes = std::size_t{256} * 1024;

/// The parts of the sections that could be parsed, and all problems found.
struct ParsedDocument {
    Document document;
    std::vector<Problem> problems;
    /// Source locations of items and their keys by path, such as `pools.web` and `pools.web.owner`.
    std::unordered_map<std::string, Place> places;
    /// Every section was valid TOML; otherwise names defined in the invalid ones are missing from `document`.
    bool readable = true;
};

/// Parses all sections and continues after problems: invalid TOML, unknown or missing keys, wrong types, a text longer
/// than `maxSectionBytes`, duplicate names.
ParsedDocument parseSections(std::span<const SectionText> sections);

/// Parses all sections into one document. Fails with kInvalidArgument and `section:line:column: reason` for the first
/// problem of `parseSections`.
absl::StatusOr<Document> parseDocument(std::span<const SectionText> sections);

} // namespace hibiscusbridge
