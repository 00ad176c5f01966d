// Load of a pool, published by its owner with each lease renewal.
#pragma once

#include "helpers/millis.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusbridge::jobs
{

struct PublishedLoad {
    /// Accepted jobs without scheduled occurrences of which no subtask has been started.
    std::map<std::string, int> queuedByRoute;
    /// Store clock: all jobs submitted before this time are included.
    Millis submissionsAsOf;
    std::int64_t capacityCpu = 0; ///< thousandths of a core
    std::int64_t usedCpu = 0;
    /// Queued and running work according to the corrected estimates, in core-milliseconds.
    std::int64_t backlog = 0;
    int workers = 0;
    int runs = 0;

    bool operator==(const PublishedLoad &) const = default;
};

std::string encodePublishedLoad(const PublishedLoad &load);
/// Returns std::nullopt if the text is not a valid load, e.g. before the first one is published.
std::optional<PublishedLoad> decodePublishedLoad(std::string_view text);

} // namespace hibiscusbridge::jobs
