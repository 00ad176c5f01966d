// Answers that an entry gives by itself, and the headers it adds to every answer.
#pragma once

#include "helpers/millis.hpp"
#include "requests/oncerecord.hpp"
#include "requests/request.hpp"

namespace hibiscusbridge
{

/// 503 unless another status says more; carries Retry-After in whole seconds, at least 1, when the status is 503.
CallerResponse notRunResponse(int status, std::string_view reason, Millis retryAfter);
/// 504 when the deadline passed, otherwise 502.
CallerResponse unknownResponse(bool deadlinePassed, std::string_view reason);
/// 409 with outcome unknown: the key's first request is being handled now; a repeat may ask again after a second.
CallerResponse inProgressResponse(std::string_view reason);
/// The target's answer without headers of its connection or of this system.
CallerResponse finishedResponse(int status, const std::vector<Header> &headers, std::string body);
/// The recorded answer. When it was too large to store: 409 with outcome finished and the header X-Original-Status.
CallerResponse recordedResponse(const OnceRecord &record);
/// Adds X-Request-Id and X-Outcome.
void addOutcomeHeaders(CallerResponse &response, std::string_view requestId);
/// The caller's headers as the target gets them.
std::vector<Header> headersForTarget(const std::vector<Header> &headers, std::string_view requestId, Millis remaining);

} // namespace hibiscusbridge
