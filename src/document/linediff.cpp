// Line-based diff with Myers' greedy algorithm.
#include "document/linediff.hpp"

#include <algorithm>
#include <vector>

namespace hibiscusbridge
{

using Lines = std::vector<std::string_view>;

/// Unchanged lines shown before and after a change.
constexpr std::size_t contextLines = 3;

/// One line of the edit script; `kind` is ' ', '-' or '+'.
struct Edit {
    char kind = ' ';
    std::string_view line;
};

static Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const auto end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

/// Returns the furthest position reached in `a` on each diagonal, one row per number of edits, up to the row that reaches
/// the end of both texts. Empty if that takes more than `maxDiffEdits` edits.
static std::vector<std::vector<int>> furthestPaths(const Lines &a, const Lines &b)
{
    const int n = static_cast<int>(a.size());
    const int m = static_cast<int>(b.size());
    std::vector<std::vector<int>> trace;
    for (int d = 0; d <= std::min(n + m, maxDiffEdits); ++d) {
        // Index k + d stores diagonal k, for k in -d..d.
        std::vector<int> row(static_cast<std::size_t>(2 * d) + 1);
        for (int k = -d; k <= d; k += 2) {
            const auto previous = [&](int diagonal) {
                return trace.back()[static_cast<std::size_t>(diagonal + d - 1)];
            };
            int x = 0;
            if (d > 0) {
                const bool down = k == -d || (k != d && previous(k - 1) < previous(k + 1));
                x = down ? previous(k + 1) : previous(k - 1) + 1;
            }
            while (x < n && x - k < m && a[static_cast<std::size_t>(x)] == b[static_cast<std::size_t>(x - k)]) {
                ++x;
            }
            row.at(static_cast<std::size_t>(k) + static_cast<std::size_t>(d)) = x;
            if (x >= n && x - k >= m) {
                trace.push_back(std::move(row));
                return trace;
            }
        }
        trace.push_back(std::move(row));
    }
    return {};
}

/// Fallback for large differences: keeps the common start and end, and replaces all lines between them.
static std::vector<Edit> replaceMiddle(const Lines &a, const Lines &b)
{
    const auto firstA = std::mismatch(a.begin(), a.end(), b.begin(), b.end()).first;
    const auto start = static_cast<std::size_t>(firstA - a.begin());
    std::size_t tail = 0;
    while (tail < std::min(a.size(), b.size()) - start && a[a.size() - 1 - tail] == b[b.size() - 1 - tail]) {
        ++tail;
    }
    std::vector<Edit> edits;
    const auto append = [&edits](char kind, const Lines &lines, std::size_t from, std::size_t to) {
        for (; from < to; ++from) {
            edits.push_back({kind, lines[from]});
        }
    };
    append(' ', a, 0, start);
    append('-', a, start, a.size() - tail);
    append('+', b, start, b.size() - tail);
    append(' ', a, a.size() - tail, a.size());
    return edits;
}

static std::vector<Edit> editScript(const Lines &a, const Lines &b)
{
    const auto trace = furthestPaths(a, b);
    if (trace.empty()) {
        return replaceMiddle(a, b);
    }
    std::vector<Edit> edits;
    int x = static_cast<int>(a.size());
    int y = static_cast<int>(b.size());
    for (int d = static_cast<int>(trace.size()) - 1; d >= 0; --d) {
        const int k = x - y;
        int startX = 0;
        int startY = 0;
        bool down = false;
        if (d > 0) {
            const auto previous = [&](int diagonal) {
                return trace[static_cast<std::size_t>(d - 1)][static_cast<std::size_t>(diagonal + d - 1)];
            };
            down = k == -d || (k != d && previous(k - 1) < previous(k + 1));
            startX = down ? previous(k + 1) : previous(k - 1);
            startY = startX - (down ? k + 1 : k - 1);
        }
        const int matchX = d == 0 ? 0 : startX + (down ? 0 : 1);
        while (x > matchX) {
            edits.push_back({' ', a[static_cast<std::size_t>(--x)]});
            --y;
        }
        if (d > 0) {
            edits.push_back(down ? Edit{'+', b[static_cast<std::size_t>(startY)]} : Edit{'-', a[static_cast<std::size_t>(startX)]});
        }
        x = startX;
        y = startY;
    }
    std::reverse(edits.begin(), edits.end());
    return edits;
}

/// Formats a range as in unified diffs, where the start of an empty range is the line before it.
static std::string formatRange(std::size_t start, std::size_t count)
{
    return std::to_string(count == 0 ? start : start + 1) + "," + std::to_string(count);
}

std::string lineDiff(std::string_view before, std::string_view after)
{
    const auto edits = editScript(splitLines(before), splitLines(after));
    std::string out;
    std::size_t oldLine = 0;
    std::size_t newLine = 0;
    for (std::size_t i = 0; i < edits.size();) {
        const auto change =
            std::find_if(edits.begin() + static_cast<std::ptrdiff_t>(i), edits.end(), [](const Edit &it) { return it.kind != ' '; });
        if (change == edits.end()) {
            break;
        }
        const auto firstChange = static_cast<std::size_t>(change - edits.begin());
        const auto start = std::max(i, firstChange - std::min(firstChange, contextLines));
        oldLine += start - i;
        newLine += start - i;
        std::size_t end = firstChange;
        for (std::size_t j = firstChange; j < edits.size() && j <= end + 2 * contextLines; ++j) {
            end = edits[j].kind != ' ' ? j : end;
        }
        end = std::min(end + contextLines + 1, edits.size());
        std::size_t oldCount = 0;
        std::size_t newCount = 0;
        std::string body;
        for (i = start; i < end; ++i) {
            oldCount += edits[i].kind != '+' ? 1 : 0;
            newCount += edits[i].kind != '-' ? 1 : 0;
            body += edits[i].kind + std::string(edits[i].line) + '\n';
        }
        out += "@@ -" + formatRange(oldLine, oldCount) + " +" + formatRange(newLine, newCount) + " @@\n" + body;
        oldLine += oldCount;
        newLine += newCount;
    }
    return out;
}

} // namespace hibiscusbridge
