// A proxy of one TCP address.
#include "proxy.hpp"

#include "adapters/httpserver.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{

static sockaddr_in toSocketAddress(const std::string &address)
{
    const auto parsed = hibiscusbridge::parseSocketAddress(address);
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(parsed->port);
    inet_pton(AF_INET, parsed->host.c_str(), &out.sin_addr);
    return out;
}

Proxy::Proxy(const std::string &listenAddress, const std::string &serverAddress)
{
    m_state->server = serverAddress;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = toSocketAddress(listenAddress);
    bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    listen(fd, 64);
    std::thread([fd, state = m_state] {
        for (;;) {
            const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (client >= 0) {
                std::thread([client, state] { serve(client, state); }).detach();
            }
        }
    }).detach();
}

/// Attempts to reach a server that does not listen.
constexpr int maxAttempts = 2'500;
constexpr std::chrono::milliseconds attemptPause{2};

void Proxy::deliverLate(std::string request, std::int64_t lateMs, const std::shared_ptr<State> &state)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(lateMs));
    const auto address = toSocketAddress(state->server);
    for (int i = 0; i < maxAttempts; ++i) {
        const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
            std::array<char, 4096> buf{};
            send(server, request.data(), request.size(), MSG_NOSIGNAL);
            recv(server, buf.data(), buf.size(), 0);
            close(server);
            return;
        }
        close(server);
        std::this_thread::sleep_for(attemptPause);
    }
}

void Proxy::forward(int from, int to, const std::shared_ptr<State> &state, bool delayed)
{
    std::array<char, 65536> buf{};
    for (;;) {
        const auto n = recv(from, buf.data(), buf.size(), 0);
        if (n <= 0) {
            break;
        }
        if (delayed) {
            std::this_thread::sleep_for(std::chrono::milliseconds(state->delayMs.load()));
        }
        while (state->cut) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        const std::string_view text(buf.data(), static_cast<std::size_t>(n));
        if (const auto late = state->startsLateMs.load(); !delayed && late > 0 && text.starts_with("POST /-/run-start")) {
            std::thread([request = std::string(text), late, state] { deliverLate(request, late, state); }).detach();
            continue;
        }
        for (ssize_t sent = 0; sent < n;) {
            const auto done = send(to, buf.data() + sent, static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
            if (done <= 0) {
                break;
            }
            sent += done;
        }
    }
    shutdown(to, SHUT_WR);
}

void Proxy::serve(int client, const std::shared_ptr<State> &state)
{
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = toSocketAddress(state->server);
    if (connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread answers([&] { forward(server, client, state, true); });
        forward(client, server, state, false);
        answers.join();
    }
    close(server);
    close(client);
}

} // namespace review
