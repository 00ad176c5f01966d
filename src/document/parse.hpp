// Reads the sections of the document from TOML.
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

/// Largest text of one section, in bytes.
inline constexpr std::size_t maxSectionBytes = std::size_t{256} * 1024;

/// What could be read of the sections, and every problem met on the way.
struct ParsedDocument {
    Document document;
    std::vector<Problem> problems;
    /// Places of items and their keys by path, such as `pools.web` and `pools.web.owner`.
    std::unordered_map<std::string, Place> places;
    /// Every section was valid TOML; otherwise names defined in the unreadable ones are missing from `document`.
    bool readable = true;
};

/// Reads all sections and goes on after problems: bad TOML, unknown or missing keys, wrong types, a text above
/// `maxSectionBytes`, a name that is defined twice.
ParsedDocument parseSections(std::span<const SectionText> sections);

/// Parses all sections into one document. Fails with kInvalidArgument and `section:line:column: reason` for the first
/// problem of `parseSections`.
absl::StatusOr<Document> parseDocument(std::span<const SectionText> sections);

} // namespace hibiscusbridge
