// Differences between two texts, line by line.
#pragma once

#include <string>
#include <string_view>

namespace hibiscusbridge
{

/// Hunks in unified style (`@@ -1,3 +1,4 @@`) that turn `before` into `after`; empty when they are equal. Texts that
/// differ in more than `maxDiffEdits` lines give one hunk that replaces the whole differing part.
std::string lineDiff(std::string_view before, std::string_view after);

inline constexpr int maxDiffEdits = 1000;

} // namespace hibiscusbridge
