// The at-most-once record of a key, as stored in the platform's table.
#pragma once

#include "helpers/millis.hpp"
#include "ports/target.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

enum class OnceOutcome {
    /// The holder of the token may send, or has sent.
    Pending,
    Finished,
    /// The holder of the token has not sent and never will; another token may replace the record.
    NotRun,
};

/// Row `once/<bucket>/<service>/<key>`.
struct OnceRecord {
    /// Identifies the one claim that may send.
    std::string token;
    /// `requestHash` of the request.
    std::string bodyHash;
    /// Wall clock; a record still pending after it has an unknown outcome.
    Millis deadline;
    OnceOutcome outcome = OnceOutcome::Pending;
    int status = 0;
    std::vector<Header> headers;
    std::string body;
    /// False when the answer was too large for a row.
    bool answerStored = true;
};

/// Header values and the body are stored as base64, because they need not be valid UTF-8.
std::string encodeOnce(const OnceRecord &record);
/// Returns nothing for malformed input.
std::optional<OnceRecord> parseOnce(std::string_view text);

/// Hash over method, path and body.
std::string requestHash(std::string_view method, std::string_view path, std::string_view body);

/// Buckets divide the records by a hash of the row's key, so that a cleanup reads few of them at a time: with 100
/// requests/s at each of 9 entries, about 1,200 records of a day.
inline constexpr std::uint32_t onceBuckets = 65'536;
/// `once/<bucket>/`, the bucket as 4 hexadecimal digits.
std::string onceBucketPrefix(std::uint32_t bucket);

/// Row key. Unambiguous, because a service name holds no '/'.
std::string onceKey(std::string_view service, std::string_view key);

/// An Idempotency-Key is 1 to 128 visible ASCII characters.
bool validIdempotencyKey(std::string_view key);

} // namespace hibiscusbridge
