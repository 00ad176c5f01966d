// HTTP server by libmicrohttpd on the event loop: whole requests in, whole responses out.
#pragma once

#include "adapters/eventloop.hpp"
#include "ports/target.hpp"

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

struct HttpRequest {
    std::string method;
    /// Path without the query, as sent.
    std::string path;
    /// Without '?'; empty for none.
    std::string query;
    std::vector<Header> headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    std::vector<Header> headers;
    std::string body;
};

/// Answers one request; later calls and calls after the client has gone are ignored.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerOptions {
    /// IP number and port; port 0 takes a free one.
    std::string address;
    std::size_t maxBodyBytes = 1 << 20;
    /// Memory for the request line and headers of one connection; larger ones get status 431.
    std::size_t maxHeaderBytes = 32 << 10;
    std::uint32_t maxConnections = 4096;
    /// Closes connections that neither send nor receive for this long.
    Millis idleTimeout{30'000};
};

class HttpServer
{
public:
    /// Listens at once. Fails with kInvalidArgument for a malformed address, kUnavailable when it cannot be bound.
    static absl::StatusOr<std::unique_ptr<HttpServer>> listen(EventLoop &loop, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Port that the server listens on.
    std::uint16_t port() const;
    /// Connections that are open now.
    std::uint32_t openConnections() const;
    /// Requests whose headers have been read and whose response has not been sent in full.
    std::size_t openRequests() const;
    /// Later responses tell the client to close its connection.
    void closeConnectionsAfterResponse();

    struct Exchange;
    struct Daemon;

private:
    HttpServer(EventLoop &loop, HttpServerOptions options, HttpHandler handler);

    std::unique_ptr<Daemon> m_daemon;
};

/// Splits `1.2.3.4:80`. Fails with kInvalidArgument unless it is an IPv4 number and a port.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;
};
absl::StatusOr<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace hibiscusbridge
