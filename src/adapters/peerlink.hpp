// Messages between entries over ZeroMQ, one protobuf Envelope each.
#pragma once

#include "adapters/eventloop.hpp"
#include "ports/peer.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hibiscusbridge
{

struct PeerLinkOptions {
    /// IP number and port to receive on.
    std::string address;
    /// Messages that wait for one peer at most; later ones are dropped.
    int queueLength = 256;
    /// Longest message accepted.
    std::int64_t maxMessageBytes = 4 << 20;
    /// CURVE keys, 40 characters of Z85 each; all entries share one pair, and only its owner may connect. Empty for no
    /// authentication.
    std::string publicKey;
    std::string secretKey;
};

struct PeerCounters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    /// Not sent because the peer's queue is full or it is not connected.
    std::uint64_t dropped = 0;
    std::uint64_t malformed = 0;
    /// Connections with another key than that of the entries.
    std::uint64_t rejected = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

class PeerLink
{
public:
    using Receiver = std::function<void(const wire::Envelope &)>;

    /// Listens at once. Fails with kUnavailable when the address cannot be bound, kInvalidArgument for malformed keys.
    static absl::StatusOr<std::unique_ptr<PeerLink>> listen(EventLoop &loop, PeerLinkOptions options, Receiver receiver);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    PeerPort port();
    const PeerCounters &counters() const;

private:
    struct Sockets;
    explicit PeerLink(std::unique_ptr<Sockets> sockets);

    std::unique_ptr<Sockets> m_sockets;
};

} // namespace hibiscusbridge
