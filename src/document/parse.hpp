// Reads the sections of the document from TOML.
#pragma once

#include "model/document.hpp"

#include <absl/status/statusor.h>
#include <span>
#include <string>

namespace hibiscusbridge
{

/// One section as submitted: its name and its TOML text.
struct SectionText {
    std::string name;
    std::string text;
};

/// Parses all sections into one document. Fails with kInvalidArgument and `section:line:column: reason` on bad TOML,
/// unknown keys, wrong types, or a name that two sections define.
absl::StatusOr<Document> parseDocument(std::span<const SectionText> sections);

} // namespace hibiscusbridge
