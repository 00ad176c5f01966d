// The HTTP client must never send a request twice by itself and never pass on an answer that is not whole.
#include "adapters/platformclient.hpp"
#include "ports/conflicts.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace hibiscusbridge;

namespace
{

constexpr auto goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Answers the n-th request of the test with the n-th script; an empty script closes the connection, "silent" keeps it
/// open without an answer. Counts requests.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<std::string> scripts)
        : m_scripts(std::move(scripts))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_listener, 8);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this] { acceptLoop(); });
    }
    ~ScriptedServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
        for (auto &it : m_connections) {
            it.join();
        }
    }

    const std::string &address() const
    {
        return m_address;
    }
    int requests() const
    {
        return m_requests;
    }
    int connections() const
    {
        return m_accepted;
    }

private:
    void acceptLoop()
    {
        for (int fd = accept(m_listener, nullptr, nullptr); fd >= 0; fd = accept(m_listener, nullptr, nullptr)) {
            ++m_accepted;
            const timeval limit{.tv_sec = 3, .tv_usec = 0};
            setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            m_connections.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd)
    {
        std::array<char, 4096> buf{};
        while (recv(fd, buf.data(), buf.size(), 0) > 0) {
            const auto &script = m_scripts[std::min<std::size_t>(static_cast<std::size_t>(m_requests++), m_scripts.size() - 1)];
            if (script.empty()) {
                break;
            }
            if (script == "silent") {
                continue;
            }
            (void)!send(fd, script.data(), script.size(), MSG_NOSIGNAL);
            if (!script.ends_with("ok")) {
                break;
            }
        }
        close(fd);
    }

    std::vector<std::string> m_scripts;
    int m_listener;
    std::string m_address;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_accepted = 0;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

struct ClientUnderTest {
    EventLoop loop;
    HttpClient client{loop, {}};

    TargetResult send(const std::string &address, const std::string &method = "GET", std::function<bool()> mayStillSend = {})
    {
        std::optional<TargetResult> result;
        TargetRequest request{.address = address, .method = method, .path = "/", .timeout = {500}, .mayStillSend = std::move(mayStillSend)};
        client.send(std::move(request), [&](TargetResult answer) {
            result = std::move(answer);
            loop.stop();
        });
        loop.run();
        return *result;
    }
};

} // namespace

TEST_CASE("a request on a kept connection that the server closes is not sent a second time", "[httpclient]")
{
    for (const std::string method : {"GET", "POST"}) {
        ScriptedServer server({goodAnswer, "", goodAnswer});
        ClientUnderTest test;
        CHECK(test.send(server.address(), method).outcome == TargetOutcome::Answered);
        CHECK(test.send(server.address(), method).outcome == TargetOutcome::Unknown);
        CHECK(server.requests() == 2);
    }
}

TEST_CASE("truncated answers and answers without a length are not passed on", "[httpclient]")
{
    const auto script = GENERATE(as<std::string>(),
                                 "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ntruncated",
                                 "HTTP/1.1 200 OK\r\n\r\nno length",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
                                 "HTTP/1.1 200 OK\r\nContent-Le",
                                 "not HTTP at all\r\n\r\n");
    ScriptedServer server({script});
    ClientUnderTest test;
    const auto result = test.send(server.address());
    CHECK(result.outcome == TargetOutcome::Unknown);
    CHECK(result.body.empty());
    CHECK_FALSE(result.error.empty());
}

TEST_CASE("after a silent exchange the next one uses a new connection", "[httpclient]")
{
    ScriptedServer server({goodAnswer, "silent", goodAnswer});
    ClientUnderTest test;
    CHECK(test.send(server.address()).outcome == TargetOutcome::Answered);
    CHECK(test.send(server.address()).outcome == TargetOutcome::Unknown);
    CHECK(test.send(server.address()).outcome == TargetOutcome::Answered);
    CHECK(server.connections() == 2);
}

TEST_CASE("a refused connection and a withdrawn permission count as not sent", "[httpclient]")
{
    ClientUnderTest test;
    CHECK(test.send("127.0.0.1:1").outcome == TargetOutcome::NotSent);
    ScriptedServer server({goodAnswer});
    CHECK(test.send(server.address(), "POST", [] { return false; }).outcome == TargetOutcome::NotSent);
    CHECK(server.requests() == 0);
}

TEST_CASE("an aborted commit carries the keys that the platform names", "[platformclient]")
{
    // Guards against a read of every row of a batch when one of them has changed.
    const std::string body = R"({"conflicts":["once/pay/a b","view/vm/\u00e4"]})";
    ScriptedServer server({"HTTP/1.1 409 Conflict\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body});
    ClientUnderTest test;
    PlatformClient platform(test.client, {.address = server.address(), .timeout = {500}});
    absl::Status status;
    platform.table().commit({}, [&](const absl::StatusOr<std::uint64_t> &version) {
        status = version.status();
        test.loop.stop();
    });
    test.loop.run();
    CHECK(absl::IsAborted(status));
    CHECK(conflictingKeys(status) == std::vector<std::string>{"once/pay/a b", "view/vm/\u00e4"});
    CHECK(conflictingKeys(absl::AbortedError("unnamed")).empty());
}
