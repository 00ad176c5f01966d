// Start, request handling, reload and shutdown of an entry.
#include "node/node.hpp"

#include "adapters/httpclient.hpp"
#include "adapters/httpserver.hpp"
#include "callers.hpp"
#include "decode.hpp"
#include "helpers/json.hpp"
#include "helpers/log.hpp"
#include "intake/availability.hpp"
#include "intake/intake.hpp"
#include "node/metrics.hpp"
#include "node/shardhost.hpp"
#include "shards/workerdirectory.hpp"
#include "store.hpp"
#include "vms.hpp"
#include "workers.hpp"

namespace hibiscusbridge::jobs
{

/// The load balancer checks readiness once a second and removes an entry after two failed checks.
constexpr Millis loadBalancerDelay{2'300};
constexpr Millis stopPollInterval{50};
/// Part of the shutdown grace period reserved for the exit of the process.
constexpr Millis shutdownReserve{700};
/// Part of the shutdown grace period, before the reserve, in which calls are no longer served and the last answers are sent.
constexpr Millis lastAnswersTime{300};
/// Part of the reserve that is left to the exit when some client does not take its answer.
constexpr Millis exitTime{300};
constexpr Millis peerTimeout{600};
/// Shorter delays of the event loop are counted but not logged.
constexpr Millis loggedLoopDelay{1'000};
/// All entries share the 64 connections that a worker accepts. The owner needs one for the renewal request and a few
/// for orders.
constexpr long connectionsPerWorker = 3;
constexpr std::string_view metricsPath = "/metrics";
constexpr std::string_view reportPath = "/pools/report";
constexpr std::string_view shardPath = "/shards/wanted";

namespace
{

class Node
{
public:
    Node(EventLoop &loop, const EntrySettings &settings, std::string settingsPath);
    absl::Status start();

private:
    absl::Status listen();
    ShardHost::Ports hostPorts();
    Intake::Ports intakePorts();
    void onOperatorRows(const std::vector<Row> &rows);
    void onCaller(const HttpRequest &request, HttpResponder respond);
    void onReadiness(const HttpRequest &request, const HttpResponder &respond) const;
    void onPeer(const HttpRequest &request, const HttpResponder &respond);
    void onMetrics(const HttpRequest &request, const HttpResponder &respond) const;
    void requestPeerReport(const std::string &address,
                           const std::string &shard,
                           const std::set<std::string> &cordonedVms,
                           std::function<void(std::optional<PoolReport>)> done);
    void requestShard(const std::string &address, const std::string &shard, int held);
    HttpResponse onReportRequest(const Json &payload);
    HttpResponse onShardRequest(const Json &payload);
    std::string unavailableReason() const;
    void reload();
    void onLoopDelay(const LoopDelay &delay);
    void onStop();
    void waitForCalls();
    /// Requests of any server of this entry that have been read and whose response has not been sent.
    std::size_t openRequests() const;

    EventLoop &m_loop;
    EntrySettings m_settings;
    std::string m_settingsPath;
    Clock m_clock;
    HttpClient m_storeHttp;
    HttpClient m_workerHttp;
    HttpClient m_vmHttp;
    HttpClient m_peerHttp;
    Metrics m_metrics;
    StorePort m_store;
    ShardHost m_host;
    Intake m_intake;
    TableFollower m_operator;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_readyServer;
    std::unique_ptr<HttpServer> m_peerServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    bool m_stopping = false;
    bool m_shardsReleased = false;
    /// Boot clock: when the process ends although shards are not released.
    Millis m_stopsAt;
    /// All answers have been given and the time for sending them is over.
    bool m_lastRound = false;
};

Node::Node(EventLoop &loop, const EntrySettings &settings, std::string settingsPath)
    : m_loop(loop)
    , m_settings(settings)
    , m_settingsPath(std::move(settingsPath))
    , m_clock(systemClock())
    , m_storeHttp(loop, {})
    , m_workerHttp(loop, {.connectTimeout = {500}, .maxConnectionsPerAddress = connectionsPerWorker})
    , m_vmHttp(loop, {})
    , m_peerHttp(loop, {.connectTimeout = {500}})
    , m_store(m_metrics.instrument(platform::makeStore(m_storeHttp.port(), settings.storeAddress), m_clock))
    , m_host(m_settings, hostPorts())
    , m_intake(intakePorts())
    , m_operator(m_store,
                 loop.timers(),
                 m_clock,
                 std::string(platform::operatorTable),
                 "",
                 {.replaced = [this](const std::vector<Row> &rows) { onOperatorRows(rows); },
                  .changed =
                      [this](const std::vector<Row> &rows) {
                          onOperatorRows(rows);
                      }})
{
}

ShardHost::Ports Node::hostPorts()
{
    return {.store = m_store,
            .workers = m_metrics.instrument(platform::makeWorkers(m_workerHttp.port()), m_clock),
            .vms = platform::makeVms(m_vmHttp.port(), m_settings.vmAddress),
            .advice = m_settings.adviceAddress.empty() ? AdvicePort{} : platform::makeAdvice(m_vmHttp.port(), m_settings.adviceAddress),
            .timers = m_loop.timers(),
            .clock = m_clock,
            .workerTable = std::string(platform::workerTable),
            .decodeWorker = platform::decodeWorker,
            .waveStatus = platform::encodeWaveStatus,
            .requestPeerReport =
                [this](const std::string &address,
                       const std::string &shard,
                       const std::set<std::string> &cordonedVms,
                       std::function<void(std::optional<PoolReport>)> done) {
                    requestPeerReport(address, shard, cordonedVms, std::move(done));
                },
            .requestShard = [this](const std::string &address, const std::string &shard, int held) { requestShard(address, shard, held); },
            .ackDelayed =
                [this](const OldestUnackedEnd &end) {
                    m_metrics.recordAckDelay(end.delay);
                }};
}

Intake::Ports Node::intakePorts()
{
    return {
        .store = m_store,
        .limits = m_host.storeLimits(),
        .timers = m_loop.timers(),
        .clock = m_clock,
        .configuration = [this] { return m_host.configuration(); },
        .queuedJobs = [this](const Queue &queue) { return m_host.queuedJobs(queue); },
        .admit = [](const Queue &, const JobSpec &) { return Admission{}; },
        .shardsOf = [this](const std::string &pool, const std::string &job) { return m_host.shardsOf(pool, job); },
        .poolsOf = [this](const Queue &queue) { return m_host.poolsOf(queue); },
        .knowsPools = [this] { return m_host.queuePools().isCurrent(); },
        .recordPool = [this](const Queue &queue, std::function<void(bool)> done) { m_host.queuePools().record(queue, std::move(done)); },
        .unavailable = [this] { return unavailableReason(); },
    };
}

std::string Node::unavailableReason() const
{
    if (m_host.configuration() && m_host.cells().count == 0) {
        return "the division of the fleet into cells is not known yet";
    }
    const auto delay = m_loop.lastDelay();
    return jobs::unavailableReason({m_host.leases().lastAnswerAt(), m_operator.confirmedAt(), delay.endedAt, delay.length}, m_clock.boot());
}

void Node::onLoopDelay(const LoopDelay &delay)
{
    m_metrics.recordLoopDelay(delay.length);
    if (delay.length >= loggedLoopDelay) {
        logEvent(LogLevel::Warn,
                 "loop_late",
                 {{"late_ms", delay.length.count}, {"cpu_ms", delay.cpu.count}, {"of_ms", (delay.endedAt - delay.cpuSince).count}});
    }
}

absl::Status Node::listen()
{
    const auto open = [this](std::unique_ptr<HttpServer> &server, const std::string &address, HttpHandler handler) {
        auto listening = HttpServer::listen(m_loop, {.address = address}, std::move(handler));
        if (listening.ok()) {
            server = std::move(*listening);
        }
        return listening.status();
    };
    if (auto status = open(m_callerServer,
                           m_settings.callerAddress,
                           [this](const HttpRequest &request, HttpResponder respond) { onCaller(request, std::move(respond)); });
        !status.ok()) {
        return status;
    }
    if (auto status = open(m_readyServer,
                           m_settings.readyAddress,
                           [this](const HttpRequest &request, const HttpResponder &respond) { onReadiness(request, respond); });
        !status.ok()) {
        return status;
    }
    if (m_settings.metricsPort > 0) {
        const auto host = m_settings.peerAddress.substr(0, m_settings.peerAddress.rfind(':'));
        if (auto status = open(m_metricsServer,
                               host + ":" + std::to_string(m_settings.metricsPort),
                               [this](const HttpRequest &request, const HttpResponder &respond) { onMetrics(request, respond); });
            !status.ok()) {
            return status;
        }
    }
    return open(m_peerServer, m_settings.peerAddress, [this](const HttpRequest &request, const HttpResponder &respond) {
        onPeer(request, respond);
    });
}

absl::Status Node::start()
{
    // Before the entry can be reached: a signal would otherwise end it with callers' connections open.
    m_loop.onStopSignal([this](int) { onStop(); });
    m_loop.onReloadSignal([this] { reload(); });
    m_loop.onDelay([this](const LoopDelay &delay) { onLoopDelay(delay); });
    if (auto status = listen(); !status.ok()) {
        return status;
    }
    m_operator.start();
    m_host.start();
    logEvent(
        LogLevel::Info, "started", {{"zone", m_settings.zone}, {"callers", m_settings.callerAddress}, {"store", m_settings.storeAddress}});
    return absl::OkStatus();
}

void Node::onOperatorRows(const std::vector<Row> &rows)
{
    for (const auto &it : rows) {
        if (it.removed) {
            continue;
        }
        if (it.key.key == platform::configurationKey) {
            if (auto configuration = platform::decodeConfiguration(it.value)) {
                m_host.setConfiguration(std::move(*configuration));
            } else {
                logEvent(LogLevel::Error, "configuration_unreadable", {{"row_version", it.version}, {"bytes", it.value.size()}});
            }
        } else if (platform::isWaveKey(it.key.key)) {
            if (const auto wave = platform::decodeWave(it.value)) {
                m_host.setWave(*wave);
            } else {
                logEvent(LogLevel::Error, "wave_unreadable", {{"key", it.key.key}, {"row_version", it.version}});
            }
        }
    }
}

void Node::onReadiness(const HttpRequest &request, const HttpResponder &respond) const
{
    if (request.path != platform::readinessPath) {
        return respond({.status = 404});
    }
    auto reason = unavailableReason();
    if (m_stopping) {
        reason = "stopping";
    } else if (!m_host.configuration()) {
        reason = "no configuration";
    }
    respond({.status = reason.empty() ? 200 : 503, .body = reason});
}

void Node::requestPeerReport(const std::string &address,
                             const std::string &shard,
                             const std::set<std::string> &cordonedVms,
                             std::function<void(std::optional<PoolReport>)> done)
{
    TargetRequest request{.address = address, .method = "POST", .path = std::string(reportPath), .timeout = peerTimeout};
    request.body = Json{{"shard", shard}, {"keep_empty", cordonedVms}}.dump();
    m_peerHttp.send(std::move(request), [done = std::move(done)](const TargetResult &answer) {
        const bool answered = answer.outcome == TargetOutcome::Answered && answer.status == 200;
        done(answered ? decodeReport(answer.body) : std::nullopt);
    });
}

void Node::requestShard(const std::string &address, const std::string &shard, int held)
{
    TargetRequest request{.address = address, .method = "POST", .path = std::string(shardPath), .timeout = peerTimeout};
    const auto cpu = m_settings.cpuShare * m_settings.cpuSpeed;
    request.body = Json{{"shard", shard}, {"entry", m_settings.name}, {"cpu", cpu}, {"held", held}}.dump();
    m_peerHttp.send(std::move(request), [shard, address](const TargetResult &answer) {
        // The claim row shows a hand-over, and a refusal is the owner's decision, so only transport errors are logged.
        if (answer.outcome != TargetOutcome::Answered) {
            logEvent(LogLevel::Info, "shard_request_failed", {{"shard", shard}, {"owner", address}, {"error", answer.error}});
        }
    });
}

void Node::onPeer(const HttpRequest &request, const HttpResponder &respond)
{
    const auto json = parseJson(request.body);
    if (request.method != "POST" || !json.is_object()) {
        return respond({.status = 404});
    }
    if (request.path == reportPath) {
        return respond(onReportRequest(json));
    }
    respond(request.path == shardPath ? onShardRequest(json) : HttpResponse{.status = 404});
}

HttpResponse Node::onReportRequest(const Json &payload)
{
    const auto names = textsOf(payload, "keep_empty");
    const auto report = m_host.report(textOf(payload, "shard"), {names.begin(), names.end()});
    return report ? HttpResponse{.status = 200, .body = encodeReport(*report)} : HttpResponse{.status = 503};
}

HttpResponse Node::onShardRequest(const Json &payload)
{
    const bool handedOver =
        m_host.onShardRequest(textOf(payload, "shard"), textOf(payload, "entry"), realOf(payload, "cpu", 0), intOf(payload, "held"));
    return {.status = handedOver ? 200 : 409};
}

void Node::onMetrics(const HttpRequest &request, const HttpResponder &respond) const
{
    if (request.path != metricsPath) {
        return respond({.status = 404});
    }
    respond({.status = 200, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = m_metrics.render(m_host)});
}

void Node::onCaller(const HttpRequest &request, HttpResponder respond)
{
    auto call = platform::decodeCall(request);
    if (!call) {
        return respond({.status = 405});
    }
    m_intake.handle(std::move(*call),
                    [this, method = request.method, sentAt = m_clock.boot(), respond = std::move(respond)](const Answer &answer) {
                        m_metrics.recordAnswer(method, answer, m_clock.boot() - sentAt);
                        respond(platform::encodeAnswer(answer));
                    });
}

void Node::reload()
{
    const auto parsed = readEntrySettings(m_settingsPath);
    if (!parsed.ok()) {
        return logEvent(LogLevel::Error, "reload_rejected", {{"file", m_settingsPath}, {"error", std::string(parsed.status().message())}});
    }
    // Addresses and names take effect only at start; other settings apply to shards acquired from now on.
    const bool sameAddresses =
        parsed->settings.callerAddress == m_settings.callerAddress && parsed->settings.readyAddress == m_settings.readyAddress
        && parsed->settings.peerAddress == m_settings.peerAddress && parsed->settings.storeAddress == m_settings.storeAddress;
    logEvent(LogLevel::Info,
             "reloaded",
             {{"file", m_settingsPath}, {"changed", !(parsed->settings == m_settings)}, {"addresses_kept", !sameAddresses}});
    m_settings = parsed->settings;
}

void Node::onStop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    logEvent(LogLevel::Info, "stopping", {{"calls_in_flight", m_intake.inFlight()}, {"shards", m_host.leases().held().size()}});
    m_host.stop([this] { m_shardsReleased = true; });
    const auto grace = m_settings.stopGrace - shutdownReserve;
    m_stopsAt = m_clock.boot() + grace;
    m_intake.stopBy(m_stopsAt - lastAnswersTime);
    m_loop.timers().after(std::min(loadBalancerDelay, grace - lastAnswersTime), [this] {
        m_callerServer->closeConnectionsAfterResponse();
        waitForCalls();
    });
}

std::size_t Node::openRequests() const
{
    std::size_t n = m_callerServer->openRequests() + m_readyServer->openRequests() + m_peerServer->openRequests();
    return m_metricsServer ? n + m_metricsServer->openRequests() : n;
}

void Node::waitForCalls()
{
    const auto now = m_clock.boot();
    if (openRequests() == 0 && (m_shardsReleased || now >= m_stopsAt)) {
        logEvent(LogLevel::Info, "stopped", {{"shards_released", m_shardsReleased}});
        return m_loop.stop();
    }
    if (m_lastRound) {
        logEvent(LogLevel::Warn, "stop_grace_over", {{"calls_in_flight", m_intake.inFlight()}, {"open_requests", openRequests()}});
        return m_loop.stop();
    }
    // Answers are written in the round after they were given, also when that round comes late.
    m_lastRound = now >= m_stopsAt + shutdownReserve - exitTime;
    m_loop.timers().after(m_lastRound ? Millis{0} : stopPollInterval, [this] { waitForCalls(); });
}

} // namespace

absl::Status runNode(EventLoop &loop, const EntrySettings &settings, const std::string &settingsPath)
{
    Node node(loop, settings, settingsPath);
    if (auto status = node.start(); !status.ok()) {
        return status;
    }
    loop.run();
    return absl::OkStatus();
}

} // namespace hibiscusbridge::jobs
