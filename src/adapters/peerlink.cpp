// Messages between entries over ZeroMQ PUSH and PULL sockets.
#include "adapters/peerlink.hpp"

#include <array>
#include <map>
#include <vector>
#include <zmq.hpp>
#include <zmq_addon.hpp>

namespace hibiscusbridge
{

/// A silent connection is noticed and replaced after this time.
constexpr Millis connectionHeartbeat{500};
constexpr Millis connectionTimeout{1'500};
constexpr Millis reconnectInterval{100};
constexpr Millis longestReconnectInterval{1'000};

struct PeerLink::Sockets {
    EventLoop &loop;
    PeerLinkOptions options;
    Receiver receiver;
    zmq::context_t context{1};
    /// Answers ZeroMQ's questions whether a client's key is allowed (RFC 27, ZAP).
    zmq::socket_t authenticator{context, zmq::socket_type::rep};
    zmq::socket_t inbox{context, zmq::socket_type::pull};
    std::map<std::string, zmq::socket_t> outboxes;
    PeerCounters counters;
    int fd = -1;
    int authenticatorFd = -1;

    void applyCommonOptions(zmq::socket_t &socket) const;
    void listen();
    void startAuthenticator();
    void authenticateAll();
    zmq::socket_t &outbox(const std::string &address);
    void send(const std::string &address, const wire::Envelope &envelope);
    void receiveAll();
    void receive(const zmq::message_t &message);
};

void PeerLink::Sockets::applyCommonOptions(zmq::socket_t &socket) const
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, options.queueLength);
    socket.set(zmq::sockopt::rcvhwm, options.queueLength);
    socket.set(zmq::sockopt::maxmsgsize, options.maxMessageBytes);
    socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(connectionHeartbeat.count));
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(connectionTimeout.count));
    socket.set(zmq::sockopt::reconnect_ivl, static_cast<int>(reconnectInterval.count));
    socket.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(longestReconnectInterval.count));
    socket.set(zmq::sockopt::connect_timeout, static_cast<int>(connectionTimeout.count));
    if (options.secretKey.empty()) {
        return;
    }
    socket.set(zmq::sockopt::curve_publickey, options.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, options.secretKey);
}

void PeerLink::Sockets::listen()
{
    applyCommonOptions(inbox);
    if (!options.secretKey.empty()) {
        startAuthenticator();
        inbox.set(zmq::sockopt::curve_server, true);
    }
    inbox.bind("tcp://" + options.address);
    fd = inbox.get(zmq::sockopt::fd);
    loop.watch(fd, {.read = true}, [this](FdInterest) { receiveAll(); });
}

void PeerLink::Sockets::startAuthenticator()
{
    authenticator.set(zmq::sockopt::linger, 0);
    authenticator.bind("inproc://zeromq.zap.01");
    authenticatorFd = authenticator.get(zmq::sockopt::fd);
    loop.watch(authenticatorFd, {.read = true}, [this](FdInterest) { authenticateAll(); });
}

void PeerLink::Sockets::authenticateAll()
{
    // Frames of a request: version, request id, domain, address, identity, mechanism, client key of 32 bytes.
    constexpr std::size_t requestFrames = 7;
    std::vector<zmq::message_t> frames;
    while (zmq::recv_multipart(authenticator, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
        std::array<unsigned char, 32> allowedKey{};
        zmq_z85_decode(allowedKey.data(), options.publicKey.c_str());
        const bool isAllowed =
            frames.size() == requestFrames
            && frames.back().to_string_view() == std::string_view(reinterpret_cast<char *>(allowedKey.data()), allowedKey.size());
        counters.rejected += isAllowed ? 0 : 1;
        const auto id = frames.size() > 1 ? frames[1].to_string() : std::string();
        const std::array<zmq::const_buffer, 6> reply{zmq::str_buffer("1.0"),
                                                     zmq::buffer(id),
                                                     isAllowed ? zmq::str_buffer("200") : zmq::str_buffer("400"),
                                                     zmq::str_buffer(""),
                                                     zmq::str_buffer(""),
                                                     zmq::str_buffer("")};
        zmq::send_multipart(authenticator, reply, zmq::send_flags::dontwait);
        frames.clear();
    }
}

zmq::socket_t &PeerLink::Sockets::outbox(const std::string &address)
{
    if (const auto it = outboxes.find(address); it != outboxes.end()) {
        return it->second;
    }
    zmq::socket_t socket(context, zmq::socket_type::push);
    applyCommonOptions(socket);
    // Without this, messages for a peer that is down would wait and arrive much later.
    socket.set(zmq::sockopt::immediate, true);
    if (!options.secretKey.empty()) {
        socket.set(zmq::sockopt::curve_serverkey, options.publicKey);
    }
    socket.connect("tcp://" + address);
    return outboxes.emplace(address, std::move(socket)).first->second;
}

void PeerLink::Sockets::send(const std::string &address, const wire::Envelope &envelope)
{
    try {
        const auto text = envelope.SerializeAsString();
        if (!outbox(address).send(zmq::buffer(text), zmq::send_flags::dontwait)) {
            ++counters.dropped;
            return;
        }
        ++counters.sent;
        counters.bytesSent += text.size();
    } catch (const zmq::error_t &) {
        ++counters.dropped; // A malformed address of a member row.
    }
}

void PeerLink::Sockets::receive(const zmq::message_t &message)
{
    counters.bytesReceived += message.size();
    wire::Envelope envelope;
    const bool parsed = envelope.ParseFromArray(message.data(), static_cast<int>(message.size()));
    if (!parsed || envelope.sender().empty() || envelope.body_case() == wire::Envelope::BODY_NOT_SET) {
        ++counters.malformed;
        return;
    }
    ++counters.received;
    receiver(envelope);
}

void PeerLink::Sockets::receiveAll()
{
    // The descriptor is edge-triggered: it becomes readable again only after everything has been received.
    zmq::message_t message;
    while (inbox.recv(message, zmq::recv_flags::dontwait)) {
        receive(message);
    }
}

PeerLink::PeerLink(std::unique_ptr<Sockets> sockets)
    : m_sockets(std::move(sockets))
{
}

absl::StatusOr<std::unique_ptr<PeerLink>> PeerLink::listen(EventLoop &loop, PeerLinkOptions options, Receiver receiver)
{
    std::unique_ptr<Sockets> sockets(new Sockets{.loop = loop, .options = std::move(options), .receiver = std::move(receiver)});
    try {
        sockets->listen();
    } catch (const zmq::error_t &error) {
        if (error.num() == EINVAL) {
            return absl::InvalidArgumentError("peer address or CURVE keys are malformed");
        }
        return absl::UnavailableError("cannot listen on " + sockets->options.address + ": " + error.what());
    }
    return std::unique_ptr<PeerLink>(new PeerLink(std::move(sockets)));
}

PeerLink::~PeerLink()
{
    m_sockets->loop.unwatch(m_sockets->fd);
    m_sockets->loop.unwatch(m_sockets->authenticatorFd);
}

PeerPort PeerLink::port()
{
    return {.send = [this](const std::string &address, const wire::Envelope &envelope) {
        m_sockets->send(address, envelope);
    }};
}

const PeerCounters &PeerLink::counters() const
{
    return m_sockets->counters;
}

} // namespace hibiscusbridge
