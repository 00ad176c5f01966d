// Life of one entry process: listens, serves, and stops without interrupting a request.
#include "entry/entry.hpp"

#include "entry/callerport.hpp"
#include "entry/components.hpp"
#include "entry/operatorport.hpp"
#include "helpers/log.hpp"

namespace hibiscusbridge
{

constexpr Millis stopCheckInterval{50};
/// Time for the removal from the member list; afterwards the registration expires by itself.
constexpr Millis leaveTimeout{3'000};
/// Time for the last responses to reach their sockets.
constexpr Millis flushTime{100};
/// A document of the target size has about 200 sections; one section has at most 256 KB.
constexpr std::size_t maxOperatorBodyBytes = std::size_t{1} << 20;

namespace
{

class Entry
{
public:
    Entry(EventLoop &loop, const Settings &settings)
        : m_loop(loop)
        , m_settings(settings)
    {
    }

    absl::Status start();
    /// Result of the run.
    const absl::Status &status() const
    {
        return m_status;
    }

private:
    absl::Status listen();
    void checkSuperseded();
    void onStopSignal();
    void close();
    void waitForRequests();
    void leave();

    EventLoop &m_loop;
    Settings m_settings;
    std::unique_ptr<Components> m_components;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
    EntryPhase m_phase = EntryPhase::Serving;
    absl::Status m_status;
};

absl::Status Entry::listen()
{
    HttpServerOptions callerOptions{.address = m_settings.callerAddress,
                                    .maxBodyBytes = m_settings.maxBodyBytes,
                                    .maxConnections = static_cast<std::uint32_t>(m_settings.maxConnections)};
    auto callers = HttpServer::listen(m_loop, std::move(callerOptions), [this](HttpRequest request, HttpResponder respond) {
        handleCaller(*m_components, m_phase, std::move(request), std::move(respond));
    });
    if (!callers.ok()) {
        return callers.status();
    }
    m_callerServer = std::move(*callers);
    auto operators = HttpServer::listen(
        m_loop,
        {.address = m_settings.operatorAddress, .maxBodyBytes = maxOperatorBodyBytes},
        [this](const HttpRequest &request, HttpResponder respond) { handleOperator(*m_components, request, std::move(respond)); });
    if (!operators.ok()) {
        return operators.status();
    }
    m_operatorServer = std::move(*operators);
    return absl::OkStatus();
}

absl::Status Entry::start()
{
    auto components = makeComponents(m_loop, m_settings);
    if (!components.ok()) {
        return components.status();
    }
    m_components = std::move(*components);
    if (auto status = listen(); !status.ok()) {
        return status;
    }
    m_loop.onStopSignal([this](int) { onStopSignal(); });
    checkSuperseded();
    logEvent(LogLevel::Info,
             "started",
             {{"zone", m_settings.zone},
              {"incarnation", m_components->incarnation},
              {"callers", m_settings.callerAddress},
              {"operators", m_settings.operatorAddress}});
    return absl::OkStatus();
}

void Entry::checkSuperseded()
{
    if (m_components->membership->isSuperseded()) {
        logEvent(LogLevel::Error, "superseded", {{"reason", "a newer process with the same entry id has registered"}});
        m_status = absl::FailedPreconditionError("a newer process with the same entry id has registered");
        return m_loop.stop();
    }
    m_loop.timers().after({1'000}, [this] { checkSuperseded(); });
}

void Entry::onStopSignal()
{
    if (m_phase != EntryPhase::Serving) {
        logEvent(LogLevel::Warn, "stopping_at_once", {{"in_flight", m_components->requests->inFlightTotal()}});
        return m_loop.stop();
    }
    m_phase = EntryPhase::Leaving;
    logEvent(LogLevel::Info, "stopping", {{"in_flight", m_components->requests->inFlightTotal()}});
    m_loop.timers().after(m_settings.readyDelay, [this] { close(); });
    m_loop.timers().after(m_settings.stopGrace, [this] {
        logEvent(LogLevel::Warn, "stop_grace_over", {{"in_flight", m_components->requests->inFlightTotal()}});
        m_loop.stop();
    });
}

void Entry::close()
{
    m_phase = EntryPhase::Closing;
    m_callerServer->closeConnectionsAfterResponse();
    waitForRequests();
}

void Entry::waitForRequests()
{
    if (m_components->requests->inFlightTotal() == 0) {
        return leave();
    }
    m_loop.timers().after(stopCheckInterval, [this] { waitForRequests(); });
}

void Entry::leave()
{
    const auto stop = [this] {
        m_loop.timers().after(flushTime, [this] { m_loop.stop(); });
    };
    m_components->membership->leave([stop] {
        logEvent(LogLevel::Info, "left");
        stop();
    });
    m_loop.timers().after(leaveTimeout, stop);
}

} // namespace

absl::Status runEntry(EventLoop &loop, const Settings &settings)
{
    Entry entry(loop, settings);
    if (auto status = entry.start(); !status.ok()) {
        return status;
    }
    loop.run();
    return entry.status();
}

} // namespace hibiscusbridge
