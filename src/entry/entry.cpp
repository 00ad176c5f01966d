// Composition of one entry process.
#include "entry/entry.hpp"

#include "adapters/httpclient.hpp"
#include "adapters/httpserver.hpp"
#include "adapters/platformclient.hpp"
#include "document/parse.hpp"
#include "helpers/ids.hpp"
#include "helpers/log.hpp"
#include "routing/route.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace hibiscusbridge
{

constexpr Millis pollInterval{1'000};

namespace
{

class Entry
{
public:
    Entry(EventLoop &loop, const Settings &settings);
    absl::Status start();

private:
    void pollView();
    void handleCaller(HttpRequest request, HttpResponder respond);
    void handleOperator(const HttpRequest &request, HttpResponder respond);
    void submitSection(const HttpRequest &request, HttpResponder respond);
    void stop();

    EventLoop &m_loop;
    Settings m_settings;
    Clock m_clock;
    HttpClient m_targets;
    HttpClient m_platformHttp;
    PlatformClient m_platform;
    View m_view;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
    std::size_t m_inFlight = 0;
    bool m_stopping = false;
};

Entry::Entry(EventLoop &loop, const Settings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_clock(systemClock())
    , m_targets(loop, {})
    , m_platformHttp(loop, {})
    , m_platform(m_platformHttp, {.address = settings.platformAddress, .timeout = settings.platformTimeout})
{
}

absl::Status Entry::start()
{
    auto callers =
        HttpServer::listen(m_loop,
                           {.address = m_settings.callerAddress, .maxBodyBytes = m_settings.maxBodyBytes},
                           [this](HttpRequest request, HttpResponder respond) { handleCaller(std::move(request), std::move(respond)); });
    if (!callers.ok()) {
        return callers.status();
    }
    m_callerServer = std::move(*callers);
    auto operators =
        HttpServer::listen(m_loop, {.address = m_settings.operatorAddress}, [this](const HttpRequest &request, HttpResponder respond) {
            handleOperator(request, std::move(respond));
        });
    if (!operators.ok()) {
        return operators.status();
    }
    m_operatorServer = std::move(*operators);
    m_loop.onStopSignal([this](int) { stop(); });
    pollView();
    logEvent(LogLevel::Info, "started", {{"zone", m_settings.zone}, {"caller_port", m_callerServer->port()}});
    return absl::OkStatus();
}

void Entry::pollView()
{
    m_platform.table().read({.prefix = std::string(viewPrefix), .since = m_view.version}, [this](absl::StatusOr<ReadResult> result) {
        if (result.ok()) {
            applyRows(m_view, result->version, result->rows);
        }
        m_loop.timers().after(pollInterval, [this] { pollView(); });
    });
}

/// Headers that concern one connection only, or that the sender of the message sets by itself.
static bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names{
        "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "date"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view it) {
        return it.size() == name.size() && strncasecmp(it.data(), name.data(), it.size()) == 0;
    });
}

static HttpResponse notRun(std::string reason)
{
    return {.status = 503, .headers = {{"X-Outcome", "not-run"}, {"Retry-After", "1"}}, .body = std::move(reason) + "\n"};
}

void Entry::handleCaller(HttpRequest request, HttpResponder respond)
{
    if (request.path == "/-/ready") {
        const bool ready = m_view.version > 0 && !m_stopping;
        return respond({.status = ready ? 200 : 503, .body = ready ? "ready\n" : "not ready\n"});
    }
    const auto end = request.path.find('/', 1);
    const auto service = request.path.substr(1, end == std::string::npos ? end : end - 1);
    const auto route = routeService(m_view, service);
    if (route.pool.empty()) {
        return respond({.status = 404, .headers = {{"X-Outcome", "not-run"}}, .body = "service '" + service + "' does not exist\n"});
    }
    if (route.vms.empty()) {
        return respond(notRun("pool '" + route.pool + "' has no VM that receives work"));
    }
    const auto id = randomId();
    const auto &vm = *route.vms[stableHash(id) % route.vms.size()];
    std::erase_if(request.headers, [](const Header &it) { return isHopByHop(it.name); });
    request.headers.push_back({"X-Request-Id", id});
    TargetRequest out{
        .address = vm.address,
        .method = request.method,
        .path = (end == std::string::npos ? "/" : request.path.substr(end)) + (request.query.empty() ? "" : "?" + request.query),
        .headers = std::move(request.headers),
        .body = std::move(request.body),
        .timeout = route.deadline,
    };
    ++m_inFlight;
    m_targets.send(std::move(out), [this, id, respond = std::move(respond)](TargetResult result) {
        --m_inFlight;
        if (result.outcome == TargetOutcome::Answered) {
            std::erase_if(result.headers, [](const Header &it) { return isHopByHop(it.name); });
            result.headers.push_back({"X-Outcome", "finished"});
            result.headers.push_back({"X-Request-Id", id});
            return respond({.status = result.status, .headers = std::move(result.headers), .body = std::move(result.body)});
        }
        if (result.outcome == TargetOutcome::NotSent) {
            return respond(notRun(result.error));
        }
        respond({.status = 502, .headers = {{"X-Outcome", "unknown"}, {"X-Request-Id", id}}, .body = result.error + "\n"});
    });
}

void Entry::submitSection(const HttpRequest &request, HttpResponder respond)
{
    const auto name = request.path.substr(std::string_view("/v1/document/sections/").size());
    const SectionText section{name, request.body};
    const auto document = parseDocument({&section, 1});
    if (!document.ok()) {
        return respond({.status = 400, .body = std::string(document.status().message()) + "\n"});
    }
    Transaction transaction;
    const auto key = std::string(sectionPrefix) + name;
    const auto held = m_view.sections.find(name);
    transaction.preconditions.push_back({key, held == m_view.sections.end() ? 0 : held->second.version});
    transaction.writes.push_back({key, encodeSection({.name = name, .text = request.body})});
    transaction.writes.push_back({std::string(documentVersionKey), "{}"});
    for (const auto &[id, vm] : document->vms) {
        if (!m_view.vms.contains(id)) {
            const VmRow row{.id = id,
                            .pool = vm.pool,
                            .address = vm.address,
                            .zone = vm.zone,
                            .rack = vm.rack,
                            .slots = vm.slots,
                            .connections = vm.connections};
            transaction.writes.push_back({std::string(vmPrefix) + id, encodeVm(row)});
        }
    }
    m_platform.table().commit(std::move(transaction), [respond = std::move(respond)](absl::StatusOr<std::uint64_t> version) {
        if (!version.ok()) {
            return respond({.status = 409, .body = std::string(version.status().message()) + "\n"});
        }
        respond({.status = 200, .body = nlohmann::json{{"version", *version}}.dump() + "\n"});
    });
}

void Entry::handleOperator(const HttpRequest &request, HttpResponder respond)
{
    if (request.method == "PUT" && request.path.starts_with("/v1/document/sections/")) {
        return submitSection(request, std::move(respond));
    }
    if (request.path == "/v1/status") {
        const nlohmann::json status{
            {"entry", m_settings.entryId}, {"viewVersion", m_view.version}, {"vms", m_view.vms.size()}, {"inFlight", m_inFlight}};
        return respond({.body = status.dump() + "\n"});
    }
    respond({.status = 404, .body = "no such path\n"});
}

void Entry::stop()
{
    m_stopping = true;
    m_loop.stop();
}

} // namespace

absl::Status runEntry(EventLoop &loop, const Settings &settings)
{
    Entry entry(loop, settings);
    if (auto status = entry.start(); !status.ok()) {
        return status;
    }
    loop.run();
    return absl::OkStatus();
}

} // namespace hibiscusbridge
