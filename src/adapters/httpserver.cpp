// HTTP server by libmicrohttpd. Connections are suspended while their request is being handled.
#include "adapters/httpserver.hpp"

#include "helpers/log.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <microhttpd.h>
#include <netinet/in.h>
#include <optional>
#include <set>

namespace hibiscusbridge
{

absl::StatusOr<SocketAddress> parseSocketAddress(std::string_view text)
{
    const auto malformed = [&] {
        return absl::InvalidArgumentError("'" + std::string(text) + "' is not an IPv4 number and a port");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformed();
    }
    SocketAddress address{.host = std::string(text.substr(0, colon))};
    const auto digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    in_addr number{};
    if (ec != std::errc() || end != digits.data() + digits.size() || inet_pton(AF_INET, address.host.c_str(), &number) != 1) {
        return malformed();
    }
    return address;
}

/// State of one request; shared by libmicrohttpd's connection and the responder.
struct HttpServer::Exchange {
    explicit Exchange(std::shared_ptr<std::size_t> counter)
        : open(std::move(counter))
    {
    }

    /// Number of requests of the server between their headers and the end of their response.
    std::shared_ptr<std::size_t> open;
    /// Null once the connection is gone or the response is queued.
    MHD_Connection *connection = nullptr;
    HttpRequest request;
    std::optional<HttpResponse> response;
    bool dispatched = false;
    bool suspended = false;
};

struct HttpServer::Daemon {
    Daemon(EventLoop &eventLoop, HttpServerOptions serverOptions, HttpHandler requestHandler)
        : loop(eventLoop)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , alive(std::make_shared<bool>(true))
    {
    }

    EventLoop &loop;
    HttpServerOptions options;
    HttpHandler handler;
    MHD_Daemon *daemon = nullptr;
    int epollFd = -1;
    /// Connections that wait for their response.
    std::set<MHD_Connection *> suspended;
    std::shared_ptr<std::size_t> openRequests = std::make_shared<std::size_t>(0);
    bool closeAfterResponse = false;
    bool runPending = false;
    /// Counts calls of `pump`; a timer of an earlier call is stale.
    std::uint64_t pumps = 0;
    /// False after destruction; timers and responders hold a copy.
    std::shared_ptr<bool> alive;

    void pump();
    void scheduleRun();
    MHD_Result onRequest(
        MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **state);
    MHD_Result begin(MHD_Connection *connection, const char *url, const char *method, void **state);
    void dispatch(const std::shared_ptr<Exchange> &exchange);
    MHD_Result reply(MHD_Connection *connection, const HttpResponse &response) const;
};

/// libmicrohttpd keeps one pointer per request: an owning handle on the exchange.
using ExchangeHandle = std::shared_ptr<HttpServer::Exchange>;

static MHD_Result collectHeader(void *cls, MHD_ValueKind, const char *key, const char *value)
{
    static_cast<std::vector<Header> *>(cls)->push_back({key, value ? value : ""});
    return MHD_YES;
}

static MHD_Result collectQuery(void *cls, MHD_ValueKind, const char *key, const char *value)
{
    auto &query = *static_cast<std::string *>(cls);
    query += (query.empty() ? "" : "&") + std::string(key);
    if (value) {
        query += "=" + std::string(value);
    }
    return MHD_YES;
}

MHD_Result HttpServer::Daemon::reply(MHD_Connection *connection, const HttpResponse &response) const
{
    auto *const body = const_cast<char *>(response.body.data()); // Copied by libmicrohttpd.
    MHD_Response *const out = MHD_create_response_from_buffer(response.body.size(), body, MHD_RESPMEM_MUST_COPY);
    for (const auto &[name, value] : response.headers) {
        MHD_add_response_header(out, name.c_str(), value.c_str());
    }
    if (closeAfterResponse) {
        MHD_add_response_header(out, "Connection", "close");
    }
    const auto result = MHD_queue_response(connection, static_cast<unsigned>(response.status), out);
    MHD_destroy_response(out);
    return result;
}

MHD_Result HttpServer::Daemon::begin(MHD_Connection *connection, const char *url, const char *method, void **state)
{
    auto exchange = std::make_shared<Exchange>(openRequests);
    ++*openRequests;
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &exchange->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collectQuery, &exchange->request.query);
    const auto length = headerValue(exchange->request.headers, "Content-Length");
    *state = new ExchangeHandle(exchange);
    std::size_t bytes = 0;
    std::from_chars(length.data(), length.data() + length.size(), bytes);
    if (bytes > options.maxBodyBytes) {
        // Answering before the body is read makes libmicrohttpd close the connection afterwards.
        exchange->dispatched = true;
        return reply(connection, {.status = 413, .headers = {{"X-Outcome", "not-run"}}, .body = "request body is too large\n"});
    }
    return MHD_YES;
}

void HttpServer::Daemon::dispatch(const std::shared_ptr<Exchange> &exchange)
{
    exchange->dispatched = true;
    HttpResponder respond = [this, exchange, stillAlive = alive](HttpResponse response) {
        if (!*stillAlive || !exchange->connection || exchange->response) {
            return;
        }
        exchange->response = std::move(response);
        if (exchange->suspended) {
            exchange->suspended = false;
            suspended.erase(exchange->connection);
            MHD_resume_connection(exchange->connection);
            scheduleRun();
        }
    };
    // An exception must not pass through the frames of libmicrohttpd.
    try {
        handler(std::move(exchange->request), respond);
    } catch (const std::exception &ec) {
        logEvent(LogLevel::Error, "unexpected_error", {{"source", "request"}, {"error", ec.what()}});
        respond({.status = 500});
    }
    if (!exchange->response) {
        exchange->suspended = true;
        suspended.insert(exchange->connection);
        MHD_suspend_connection(exchange->connection);
    }
}

MHD_Result HttpServer::Daemon::onRequest(
    MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **state)
{
    if (!*state) {
        return begin(connection, url, method, state);
    }
    const auto exchange = *static_cast<ExchangeHandle *>(*state);
    if (*size > 0) {
        if (exchange->request.body.size() + *size > options.maxBodyBytes) {
            return MHD_NO; // A chunked body without a declared length; the connection is closed.
        }
        exchange->request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!exchange->dispatched) {
        dispatch(exchange);
    }
    if (exchange->response) {
        const auto result = reply(connection, *exchange->response);
        exchange->connection = nullptr;
        return result;
    }
    return MHD_YES;
}

void HttpServer::Daemon::scheduleRun()
{
    if (runPending) {
        return;
    }
    runPending = true;
    loop.post([this, stillAlive = alive] {
        if (*stillAlive) {
            pump();
        }
    });
}

void HttpServer::Daemon::pump()
{
    runPending = false;
    MHD_run(daemon);
    MHD_UNSIGNED_LONG_LONG wait = 0;
    if (MHD_get_timeout(daemon, &wait) != MHD_YES) {
        return;
    }
    if (wait == 0) {
        return scheduleRun();
    }
    const auto round = ++pumps;
    loop.timers().after({static_cast<std::int64_t>(wait)}, [this, round, stillAlive = alive] {
        if (*stillAlive && round == pumps) {
            pump();
        }
    });
}

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options, HttpHandler handler)
    : m_daemon(std::make_unique<Daemon>(loop, std::move(options), std::move(handler)))
{
}

static MHD_Result accessCallback(void *cls,
                                 MHD_Connection *connection,
                                 const char *url,
                                 const char *method,
                                 const char *,
                                 const char *data,
                                 std::size_t *size,
                                 void **state)
{
    return static_cast<HttpServer::Daemon *>(cls)->onRequest(connection, url, method, data, size, state);
}

static void completedCallback(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    auto *const handle = static_cast<ExchangeHandle *>(*state);
    if (!handle) {
        return;
    }
    (*handle)->connection = nullptr;
    --*(*handle)->open;
    delete handle;
    *state = nullptr;
}

/// Leaves paths and queries as they were sent, so that they can be forwarded unchanged.
static std::size_t keepEscapes(void *, MHD_Connection *, char *text)
{
    return std::string_view(text).size();
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop &loop, HttpServerOptions options, HttpHandler handler)
{
    const auto address = parseSocketAddress(options.address);
    if (!address.ok()) {
        return address.status();
    }
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address->port);
    inet_pton(AF_INET, address->host.c_str(), &socketAddress.sin_addr);

    std::unique_ptr<HttpServer> server(new HttpServer(loop, std::move(options), std::move(handler)));
    auto &daemon = *server->m_daemon;
    daemon.daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                     address->port,
                                     nullptr,
                                     nullptr,
                                     accessCallback,
                                     &daemon,
                                     MHD_OPTION_SOCK_ADDR,
                                     reinterpret_cast<sockaddr *>(&socketAddress),
                                     MHD_OPTION_NOTIFY_COMPLETED,
                                     completedCallback,
                                     &daemon,
                                     MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                     daemon.options.maxHeaderBytes,
                                     MHD_OPTION_CONNECTION_LIMIT,
                                     static_cast<unsigned>(daemon.options.maxConnections),
                                     MHD_OPTION_CONNECTION_TIMEOUT,
                                     static_cast<unsigned>(daemon.options.idleTimeout.count / 1000),
                                     MHD_OPTION_UNESCAPE_CALLBACK,
                                     keepEscapes,
                                     nullptr,
                                     MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                     1U,
                                     MHD_OPTION_END);
    if (!daemon.daemon) {
        return absl::UnavailableError("cannot listen on " + daemon.options.address);
    }
    daemon.epollFd = MHD_get_daemon_info(daemon.daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    loop.watch(daemon.epollFd, {.read = true}, [&daemon](FdInterest) { daemon.pump(); });
    return server;
}

HttpServer::~HttpServer()
{
    *m_daemon->alive = false;
    if (!m_daemon->daemon) {
        return;
    }
    m_daemon->loop.unwatch(m_daemon->epollFd);
    // libmicrohttpd aborts the process when it is stopped with a suspended connection.
    for (auto *const it : m_daemon->suspended) {
        MHD_resume_connection(it);
    }
    MHD_stop_daemon(m_daemon->daemon);
}

std::uint16_t HttpServer::port() const
{
    return MHD_get_daemon_info(m_daemon->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

std::uint32_t HttpServer::openConnections() const
{
    return MHD_get_daemon_info(m_daemon->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
}

std::size_t HttpServer::openRequests() const
{
    return *m_daemon->openRequests;
}

void HttpServer::closeConnectionsAfterResponse()
{
    m_daemon->closeAfterResponse = true;
}

} // namespace hibiscusbridge
