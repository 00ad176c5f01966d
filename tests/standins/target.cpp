// Stand-in of target VMs: one process serves one VM per address given. It counts each request it carries out.
// The path ending chooses the behaviour; GET /control reports the counts.
#include "adapters/httpserver.hpp"

#include <charconv>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

using namespace hibiscusbridge;
using nlohmann::json;

namespace
{

struct Targets {
    EventLoop &loop;
    /// Requests carried out by X-Request-Id and by Idempotency-Key.
    std::map<std::string, int> byRequest;
    std::map<std::string, int> byKey;
    std::map<std::string, int> byVm;
    std::map<std::string, int> inFlight;
    std::map<std::string, int> maxInFlight;
    bool failAll = false;
    Millis delay{5};
    std::vector<HttpResponder> unanswered;
};

json report(const Targets &targets)
{
    return {{"byRequest", targets.byRequest}, {"byKey", targets.byKey}, {"byVm", targets.byVm}, {"maxInFlight", targets.maxInFlight}};
}

/// Milliseconds of a path that ends in `/sleep/<n>`, or the default.
Millis delayOf(const Targets &targets, std::string_view path)
{
    constexpr std::string_view marker = "/sleep/";
    const auto at = path.find(marker);
    if (at == std::string_view::npos) {
        return targets.delay;
    }
    std::int64_t n = 0;
    const auto digits = path.substr(at + marker.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), n);
    return {n};
}

void serve(Targets &targets, const std::string &vm, const HttpRequest &request, HttpResponder respond)
{
    if (request.path == "/control") {
        if (!request.body.empty()) {
            targets.failAll = json::parse(request.body).value("failAll", targets.failAll);
        }
        return respond({.body = report(targets).dump()});
    }
    if (!headerValue(request.headers, "X-Probe").empty()) {
        return respond({.status = targets.failAll ? 500 : 200}); // No work of a caller.
    }
    const auto id = std::string(headerValue(request.headers, "X-Request-Id"));
    const auto key = std::string(headerValue(request.headers, "Idempotency-Key"));
    ++targets.byRequest[id];
    ++targets.byVm[vm];
    if (!key.empty()) {
        ++targets.byKey[key];
    }
    if (request.path.ends_with("/silent")) {
        targets.unanswered.push_back(std::move(respond));
        return;
    }
    targets.maxInFlight[vm] = std::max(targets.maxInFlight[vm], ++targets.inFlight[vm]);
    HttpResponse response{.headers = {{"X-Vm", vm}, {"X-Echo", id}},
                          .body = request.method + " " + request.path + " by " + vm + "\n" + request.body};
    if (targets.failAll || request.path.ends_with("/fail")) {
        response.status = 500;
    }
    targets.loop.timers().after(delayOf(targets, request.path), [&targets, vm, respond, response] {
        --targets.inFlight[vm];
        respond(response);
    });
}

} // namespace

int main(int argc, char **argv)
{
    EventLoop loop;
    Targets targets{.loop = loop};
    std::vector<std::unique_ptr<HttpServer>> servers;
    for (int i = 1; i < argc; ++i) {
        const std::string address = argv[i];
        auto server = HttpServer::listen(
            loop, {.address = address, .maxBodyBytes = 16 << 20}, [&, address](const HttpRequest &request, HttpResponder respond) {
                serve(targets, address, request, std::move(respond));
            });
        if (!server.ok()) {
            std::cerr << server.status().message() << '\n';
            return 1;
        }
        servers.push_back(std::move(*server));
    }
    loop.onStopSignal([&](int) { loop.stop(); });
    loop.run();
    return 0;
}
