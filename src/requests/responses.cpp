// Typed answers.
#include "requests/responses.hpp"

#include <algorithm>

namespace hibiscusbridge
{

static CallerResponse textResponse(RequestOutcome outcome, int status, std::string_view reason)
{
    return {.outcome = outcome,
            .status = status,
            .headers = {{"Content-Type", "text/plain; charset=utf-8"}},
            .body = std::string(toString(outcome)) + ": " + std::string(reason) + "\n"};
}

static void dropHeaders(std::vector<Header> &headers, std::initializer_list<std::string_view> names)
{
    std::erase_if(headers, [&](const Header &header) {
        return std::any_of(names.begin(), names.end(), [&](std::string_view name) { return equalHeaderNames(name, header.name); });
    });
}

CallerResponse notRunResponse(int status, std::string_view reason, Millis retryAfter)
{
    auto response = textResponse(RequestOutcome::NotRun, status, reason);
    if (status == 503) {
        const auto seconds = std::max<std::int64_t>(1, (retryAfter.count + 999) / 1000);
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return response;
}

CallerResponse unknownResponse(bool deadlinePassed, std::string_view reason)
{
    return textResponse(RequestOutcome::Unknown, deadlinePassed ? 504 : 502, reason);
}

CallerResponse inProgressResponse(std::string_view reason)
{
    auto response = textResponse(RequestOutcome::Unknown, 409, reason);
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

CallerResponse finishedResponse(int status, const std::vector<Header> &headers, std::string body)
{
    CallerResponse response{.outcome = RequestOutcome::Finished, .status = status, .headers = endToEndHeaders(headers)};
    dropHeaders(response.headers, {"X-Request-Id", "X-Outcome"});
    response.body = std::move(body);
    return response;
}

CallerResponse recordedResponse(const OnceRecord &record)
{
    if (record.answerStored) {
        return finishedResponse(record.status, record.headers, record.body);
    }
    auto response = textResponse(RequestOutcome::Finished, 409, "the request ran before; its answer was too large to be stored");
    response.headers.push_back({"X-Original-Status", std::to_string(record.status)});
    return response;
}

void addOutcomeHeaders(CallerResponse &response, std::string_view requestId)
{
    response.headers.push_back({"X-Request-Id", std::string(requestId)});
    response.headers.push_back({"X-Outcome", std::string(toString(response.outcome))});
}

std::vector<Header> headersForTarget(const std::vector<Header> &headers, std::string_view requestId, Millis remaining)
{
    auto out = endToEndHeaders(headers);
    dropHeaders(out, {"X-Request-Id", "X-Deadline-Ms"});
    out.push_back({"X-Request-Id", std::string(requestId)});
    out.push_back({"X-Deadline-Ms", std::to_string(remaining.count)});
    return out;
}

} // namespace hibiscusbridge
