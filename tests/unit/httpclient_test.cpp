// The HTTP client must never send a request twice by itself and never pass on an answer that is not whole.
#include "adapters/platformclient.hpp"
#include "ports/conflicts.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <cstring>
#include <ctime>
#include <netinet/in.h>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace hibiscusbridge;

namespace
{

constexpr auto goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

constexpr Millis slowAnswerTime{350};

/// Answers the n-th request of the test with the n-th script; an empty script closes the connection, "silent" keeps it
/// open without an answer, "slow" gives a good answer after `slowAnswerTime`. Counts requests.
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
            if (script == "slow") {
                usleep(static_cast<useconds_t>(slowAnswerTime.count * 1'000));
                (void)!send(fd, goodAnswer, std::strlen(goodAnswer), MSG_NOSIGNAL);
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

namespace
{

/// Sends calls to one address over at most three connections and runs the loop until all have ended.
struct LimitedClient {
    EventLoop loop;
    HttpClient client;
    Clock clock = systemClock();
    std::size_t sent = 0;
    std::vector<std::pair<std::size_t, TargetResult>> results; ///< number of the call, in the order of their ends

    explicit LimitedClient(std::size_t maxWaiting)
        : client(loop, {.maxConnectionsPerAddress = 3, .maxWaitingPerAddress = maxWaiting})
    {
    }

    void send(TargetRequest request)
    {
        request.method = "POST";
        request.path = "/";
        client.send(std::move(request), [this, number = sent++](TargetResult answer) {
            results.emplace_back(number, std::move(answer));
            if (results.size() == sent) {
                loop.stop();
            }
        });
    }

    std::size_t count(TargetOutcome outcome) const
    {
        return static_cast<std::size_t>(
            std::count_if(results.begin(), results.end(), [&](const auto &it) { return it.second.outcome == outcome; }));
    }
};

} // namespace

TEST_CASE("thousands of calls to one address take time that grows with their number and do not hold up timers", "[httpclient]")
{
    // Guards against an owner that stands still: libcurl looks at all transfers that wait in it whenever one ends.
    constexpr Millis longestDelay{1'000}; // Urgent work starts within 2.2 s.
    Millis longest;
    const auto timeFor = [&longest](std::size_t n) {
        ScriptedServer server({goodAnswer});
        LimitedClient test(n);
        const auto begin = std::clock();
        for (std::size_t i = 0; i < n; ++i) {
            test.send({.address = server.address(), .timeout = {60'000}});
        }
        Millis lastTick = test.clock.boot();
        std::function<void()> tick = [&] {
            longest = std::max(longest, test.clock.boot() - lastTick);
            lastTick = test.clock.boot();
            test.loop.timers().after({10}, tick);
        };
        tick();
        test.loop.run();
        CHECK(test.count(TargetOutcome::Answered) == n);
        CHECK(server.requests() == static_cast<int>(n));
        CHECK(server.connections() <= 3);
        return std::clock() - begin;
    };
    const auto few = timeFor(1'000);
    const auto many = timeFor(8'000);
    CHECK(many < few * 16); // 64 times as long if each end looks at all that wait
    CHECK(longest < longestDelay);
}

TEST_CASE("calls that wait for a connection go by priority, and those that may not go any more end at once", "[httpclient]")
{
    constexpr std::size_t normal = 20;
    ScriptedServer server({goodAnswer});
    LimitedClient test(100);
    std::vector<std::size_t> order; // in which the calls were asked for the first time whether they may still be sent
    const auto callOf = [&](std::size_t number, CallPriority priority, bool maySend) {
        TargetRequest call{.address = server.address(), .timeout = {5'000}, .priority = priority};
        call.mayStillSend = [&order, number, maySend] {
            if (std::find(order.begin(), order.end(), number) == order.end()) {
                order.push_back(number);
            }
            return maySend;
        };
        return call;
    };
    for (std::size_t i = 0; i < normal; ++i) {
        test.send(callOf(i, CallPriority::Normal, true));
    }
    test.send(callOf(normal, CallPriority::Normal, false));
    test.send(callOf(normal + 1, CallPriority::High, true));
    test.loop.run();
    // Three calls do not wait.
    std::erase_if(order, [](std::size_t it) { return it < 3; });
    REQUIRE(order.size() == normal - 1);
    CHECK(order.front() == normal + 1);
    CHECK(std::is_sorted(order.begin() + 1, order.end()));
    CHECK(test.count(TargetOutcome::Answered) == normal + 1);
    CHECK(test.count(TargetOutcome::NotSent) == 1);
    CHECK(server.requests() == static_cast<int>(normal) + 1);
}

TEST_CASE("a call that has waited for a connection has its whole time for the exchange", "[httpclient]")
{
    // Guards against starts that are sent with some milliseconds left, whose outcome is then unknown.
    ScriptedServer server({"slow"});
    LimitedClient test(100);
    for (int i = 0; i < 6; ++i) {
        test.send({.address = server.address(), .timeout = slowAnswerTime * 3 / 2});
    }
    test.loop.run();
    CHECK(test.count(TargetOutcome::Answered) == 6);
}

TEST_CASE("a call that waits too long for a connection, or behind too many others, ends once and is not sent", "[httpclient]")
{
    ScriptedServer server({"silent"});
    LimitedClient test(5);
    const auto begin = test.clock.boot();
    for (int i = 0; i < 12; ++i) {
        test.send({.address = server.address(), .timeout = {i < 3 ? 1'000 : 300}});
    }
    // The renewal of a worker's lease waits however many orders do.
    test.send({.address = server.address(), .timeout = {300}, .priority = CallPriority::High});
    test.loop.run();
    CHECK(test.count(TargetOutcome::Unknown) == 3);
    CHECK(test.count(TargetOutcome::NotSent) == 10);
    CHECK(server.requests() == 3);
    CHECK(test.results[0].second.error == "5 calls wait for a connection to " + server.address());
    CHECK(test.results[4].second.error == "no connection became free in time");
    CHECK(std::find_if(test.results.begin(), test.results.end(), [](const auto &it) { return it.first == 12; })->second.error
          == "no connection became free in time");
    CHECK(test.clock.boot() - begin < Millis{2'500});
    std::set<std::size_t> numbers;
    for (const auto &[number, result] : test.results) {
        numbers.insert(number);
    }
    CHECK(numbers.size() == 13);
}
