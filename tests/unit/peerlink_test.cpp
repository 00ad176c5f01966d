// Entries must not take messages from strangers, and a malformed message must not stop them.
#include "adapters/peerlink.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <unistd.h>
#include <zmq.hpp>

using namespace hibiscusbridge;

namespace
{

struct KeyPair {
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    KeyPair()
    {
        zmq_curve_keypair(publicKey.data(), secretKey.data());
    }
};

std::string peerAddress(int offset)
{
    return "127.0.0.1:" + std::to_string(9'000 + static_cast<int>(getpid() % 300) * 3 + offset);
}

wire::Envelope heartbeat(const std::string &sender)
{
    wire::Envelope envelope;
    envelope.set_sender(sender);
    envelope.mutable_heartbeat()->set_sent_ms(1);
    return envelope;
}

/// Runs the loop for a while, sending again and again, since a message is dropped while there is no connection.
void runWhileSending(EventLoop &loop, const std::function<void()> &sendOnce)
{
    for (int i = 1; i <= 10; ++i) {
        loop.timers().after(Millis{50} * i, sendOnce);
    }
    loop.timers().after({700}, [&] { loop.stop(); });
    loop.run();
}

} // namespace

TEST_CASE("only holders of the entries' key are heard", "[peerlink]")
{
    const KeyPair own;
    const KeyPair stranger;
    const PeerLinkOptions common{.publicKey = own.publicKey.data(), .secretKey = own.secretKey.data()};
    EventLoop loop;
    std::vector<std::string> senders;
    auto options = common;
    options.address = peerAddress(0);
    const auto server = PeerLink::listen(loop, options, [&](const wire::Envelope &envelope) { senders.push_back(envelope.sender()); });
    REQUIRE(server.ok());
    options.address = peerAddress(1);
    const auto friendly = PeerLink::listen(loop, options, [](const wire::Envelope &) {});

    // The stranger knows the public key of the entries and authenticates with its own key.
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::curve_serverkey, std::string(own.publicKey.data()));
    socket.set(zmq::sockopt::curve_publickey, std::string(stranger.publicKey.data()));
    socket.set(zmq::sockopt::curve_secretkey, std::string(stranger.secretKey.data()));
    socket.connect("tcp://" + peerAddress(0));

    const auto text = heartbeat("stranger").SerializeAsString();
    runWhileSending(loop, [&] {
        (*friendly)->port().send(peerAddress(0), heartbeat("friendly"));
        (void)socket.send(zmq::buffer(text), zmq::send_flags::dontwait);
    });
    CHECK(std::count(senders.begin(), senders.end(), "friendly") > 0);
    CHECK(std::count(senders.begin(), senders.end(), "stranger") == 0);
    CHECK((*server)->counters().rejected > 0);
}

TEST_CASE("malformed messages are dropped and counted", "[peerlink]")
{
    EventLoop loop;
    int received = 0;
    const auto server = PeerLink::listen(loop, {.address = peerAddress(2)}, [&](const wire::Envelope &) { ++received; });
    REQUIRE(server.ok());
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect("tcp://" + peerAddress(2));
    runWhileSending(loop, [&] {
        (void)socket.send(zmq::str_buffer("\xff\xff not protobuf"), zmq::send_flags::dontwait);
        (void)socket.send(zmq::str_buffer(""), zmq::send_flags::dontwait);
    });
    CHECK(received == 0);
    CHECK((*server)->counters().malformed == 20);
}
