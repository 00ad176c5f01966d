// HTTP client by libcurl's multi interface on the event loop.
#pragma once

#include "adapters/eventloop.hpp"
#include "ports/target.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace hibiscusbridge
{

struct HttpClientOptions {
    Millis connectTimeout{1'000};
    /// Idle connections older than this are not used again: a network device may have forgotten them.
    Millis maxIdleAge{20'000};
    /// Longest response body; a longer one counts as no answer.
    std::size_t maxBodyBytes = 4 << 20;
    /// Longest sum of response header lines.
    std::size_t maxHeaderBytes = 64 << 10;
    /// Connections kept to one address; 0 for no limit. Other calls to the address wait.
    long maxConnectionsPerAddress = 0;
    /// Calls to one address that may wait for a connection; one more is not sent, unless it has a high priority.
    std::size_t maxWaitingPerAddress = 256;
};

/// Sends each request at most once: libcurl's own retry on a fresh connection is refused, because the server may have
/// carried out the first try. A connection whose exchange timed out is closed, so that the next exchange gets a new one.
class HttpClient
{
public:
    HttpClient(EventLoop &loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// The callback runs once, from the loop; not at all when the client is destroyed before.
    void send(TargetRequest request, TargetPort::Callback callback);
    TargetPort port();

private:
    struct Transfer;
    struct Multi;

    std::unique_ptr<Multi> m_multi;
};

} // namespace hibiscusbridge
