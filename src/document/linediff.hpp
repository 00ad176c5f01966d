// Line-based diff of two texts.
#pragma once

#include <string>
#include <string_view>

namespace hibiscusbridge
{

/// Returns unified diff hunks (`@@ -1,3 +1,4 @@`) from `before` to `after`; empty if they are equal. Texts that differ
/// in more than `maxDiffEdits` lines give a single hunk that replaces everything between the common start and end.
std::string lineDiff(std::string_view before, std::string_view after);

inline constexpr int maxDiffEdits = 1000;

} // namespace hibiscusbridge
