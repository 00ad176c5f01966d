// A proxy of one TCP address on loopback that can delay what the server sends.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace review
{

/// Each connection has threads of its own, which end with it.
class Proxy
{
public:
    Proxy(const std::string &listenAddress, const std::string &serverAddress);
    /// Bytes that the server sends from now on reach the client so much later. Bytes on the way keep their delay, also if the server is
    /// gone.
    void delayAnswers(std::int64_t ms)
    {
        m_state->delayMs = ms;
    }
    /// While it is cut, nothing passes in either direction; what was sent meanwhile arrives afterwards.
    void cut(bool on)
    {
        m_state->cut = on;
    }
    /// Start orders that come from now on get no answer and reach the server so much later, as soon as it listens; 0 for none.
    void makeStartsLate(std::int64_t ms)
    {
        m_state->startsLateMs = ms;
    }

private:
    struct State {
        std::string server;
        std::atomic<std::int64_t> delayMs{0};
        std::atomic<bool> cut{false};
        std::atomic<std::int64_t> startsLateMs{0};
    };

    static void forward(int from, int to, const std::shared_ptr<State> &state, bool delayed);
    static void deliverLate(std::string request, std::int64_t lateMs, const std::shared_ptr<State> &state);
    static void serve(int client, const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace review
