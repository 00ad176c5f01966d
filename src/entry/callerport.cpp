// The HTTP port for callers.
#include "entry/callerport.hpp"

namespace hibiscusbridge
{

constexpr std::string_view readyPath = "/-/ready";

static HttpResponse readiness(const Components &components, EntryPhase phase)
{
    if (phase != EntryPhase::Serving) {
        return {.status = 503, .body = "not ready: the entry is stopping\n"};
    }
    const auto status = components.mayServe();
    if (!status.ok()) {
        return {.status = 503, .body = "not ready: " + std::string(status.message()) + "\n"};
    }
    return {.status = 200, .body = "ready\n"};
}

void handleCaller(Components &components, EntryPhase phase, HttpRequest request, HttpResponder respond)
{
    if (request.path == readyPath) {
        return respond(readiness(components, phase));
    }
    if (phase == EntryPhase::Closing) {
        return respond({.status = 503, .headers = {{"X-Outcome", "not-run"}, {"Retry-After", "1"}}, .body = "the entry is stopping\n"});
    }
    CallerRequest out{
        .method = std::move(request.method),
        .path = request.query.empty() ? std::move(request.path) : request.path + "?" + request.query,
        .headers = std::move(request.headers),
        .body = std::move(request.body),
    };
    components.requests->handle(std::move(out), [respond = std::move(respond)](CallerResponse response) {
        respond({.status = response.status, .headers = std::move(response.headers), .body = std::move(response.body)});
    });
}

} // namespace hibiscusbridge
