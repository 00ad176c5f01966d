// A caller's request and the typed answer to it.
#pragma once

#include "ports/target.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

struct CallerRequest {
    std::string method;
    /// Path and query; the first path segment names the service.
    std::string path;
    std::vector<Header> headers;
    std::string body;
};

enum class RequestOutcome {
    /// The target's whole answer, now or from the at-most-once record.
    Finished,
    /// No byte of the request was sent to a target, and none will be.
    NotRun,
    /// The request may have run.
    Unknown,
};

struct CallerResponse {
    RequestOutcome outcome = RequestOutcome::NotRun;
    int status = 503;
    std::vector<Header> headers;
    std::string body;
};

/// Counts since the start of the process, for the metrics page.
struct RequestCounters {
    std::uint64_t finished = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0;
    std::uint64_t ejections = 0;
    std::uint64_t readmissions = 0;
    /// Transactions, rows in them, and single-row reads for at-most-once records.
    std::uint64_t onceBatches = 0;
    std::uint64_t onceWrites = 0;
    std::uint64_t onceReads = 0;
    std::uint64_t onceRepeats = 0;
    /// Outcomes that were given up after the last background attempt.
    std::uint64_t outcomesLost = 0;
};

std::string_view toString(RequestOutcome outcome);

/// Drops headers that belong to one connection only (RFC 9110, section 7.6.1), those named by Connection, and
/// Content-Length, which the sender of the copy sets itself.
std::vector<Header> endToEndHeaders(const std::vector<Header> &headers);

} // namespace hibiscusbridge
