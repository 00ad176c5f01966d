// Routes of the operator port.
#include "entry/operatorport.hpp"

#include "entry/documentroutes.hpp"
#include "entry/fleetroutes.hpp"
#include "entry/metrics.hpp"
#include "entry/reports.hpp"
#include "entry/respond.hpp"

#include <array>

namespace hibiscusbridge
{

namespace
{

struct Route {
    std::string_view method;
    std::string_view prefix;
    std::string_view suffix;
    /// `name` is the path between prefix and suffix, decoded.
    void (*handle)(Components &, const HttpRequest &, const std::string &name, HttpResponder);
};

void serveMetrics(Components &components, const HttpRequest &, const std::string &, HttpResponder respond)
{
    respond({.headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = renderMetrics(components)});
}

/// The first route that matches is taken, so that longer suffixes stand before shorter ones.
constexpr std::array routes{
    Route{"GET", "/metrics", "", serveMetrics},
    Route{"GET", "/v1/status", "", reportStatus},
    Route{"GET", "/v1/waves", "", reportWaves},
    Route{"GET", "/v1/audit", "", reportAudit},
    Route{"GET", "/v1/explain/vm/", "", explainVm},
    Route{"GET", "/v1/explain/pool/", "", explainPool},
    Route{"GET", "/v1/document/sections/", "", showSection},
    Route{"GET", "/v1/document", "", listSections},
    Route{"POST", "/v1/document/sections/", "/diff", diffSection},
    Route{"PUT", "/v1/document/sections/", "", putSection},
    Route{"POST", "/v1/vms/", "/drain", drainVm},
    Route{"POST", "/v1/vms/", "/undo", undoDrain},
    Route{"POST", "/v1/waves/", "/pause", pauseWave},
    Route{"POST", "/v1/waves/", "/resume", resumeWave},
    Route{"POST", "/v1/waves", "", startWave},
};

bool matches(const Route &route, const HttpRequest &request)
{
    const auto &path = request.path;
    if (request.method != route.method || path.size() < route.prefix.size() + route.suffix.size() || !path.starts_with(route.prefix)
        || !path.ends_with(route.suffix)) {
        return false;
    }
    const auto nameLength = path.size() - route.prefix.size() - route.suffix.size();
    return route.prefix.ends_with('/') ? nameLength > 0 : nameLength == 0;
}

} // namespace

void handleOperator(Components &components, const HttpRequest &request, HttpResponder respond)
{
    for (const auto &route : routes) {
        if (!matches(route, request)) {
            continue;
        }
        const auto length = request.path.size() - route.prefix.size() - route.suffix.size();
        return route.handle(components, request, percentDecode(request.path.substr(route.prefix.size(), length)), std::move(respond));
    }
    respond(errorResponse(404, request.method + " " + request.path + " does not exist"));
}

} // namespace hibiscusbridge
