// A blocking call on an event loop of its own.
#include "cli/client.hpp"

#include "adapters/httpclient.hpp"

#include <optional>

namespace hibiscusbridge
{

absl::StatusOr<HttpResponse> callOperatorPort(const OperatorAccess &access, OperatorCall call)
{
    if (!access.token.empty()) {
        call.headers.push_back({"Authorization", "Bearer " + access.token});
    }
    EventLoop loop;
    HttpClient client(loop, {.maxBodyBytes = 64 << 20});
    TargetRequest request{
        .address = access.address,
        .method = call.method,
        .path = call.path,
        .headers = std::move(call.headers),
        .body = std::move(call.body),
        .timeout = call.timeout,
    };
    std::optional<TargetResult> result;
    client.send(std::move(request), [&](TargetResult answer) {
        result = std::move(answer);
        loop.stop();
    });
    loop.run();
    if (result->outcome == TargetOutcome::NotSent) {
        return absl::UnavailableError("entry at " + access.address + " cannot be reached: " + result->error);
    }
    if (result->outcome == TargetOutcome::Unknown) {
        return absl::UnknownError("no answer from " + access.address + ": " + result->error);
    }
    return HttpResponse{.status = result->status, .headers = std::move(result->headers), .body = std::move(result->body)};
}

} // namespace hibiscusbridge
