// The event loop of the process: descriptors, timers and signals on one thread, by an ACE reactor.
#pragma once

#include "helpers/millis.hpp"
#include "ports/timer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace hibiscusbridge
{

/// Shorter delays are not reported.
inline constexpr Millis minLoopDelay{100};

struct FdInterest {
    bool read = false;
    bool write = false;
};

/// A time in which the loop served nothing: a callback took long, or the process was not run.
struct LoopDelay {
    Millis endedAt; ///< boot clock; 0 if there was none
    Millis length;
    /// Processor time that the process used since `cpuSince`, which is at most a second before the delay. Little of it says that the
    /// process was not run.
    Millis cpu;
    Millis cpuSince; ///< boot clock
};

/// Runs callbacks on the thread that calls `run`.
class EventLoop
{
public:
    /// Receives what the descriptor is ready for.
    using FdCallback = std::function<void(FdInterest ready)>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    TimerPort timers();
    /// Runs the function after the current callback.
    void post(std::function<void()> fn);
    /// Watches a descriptor, or changes what is watched. The descriptor stays its owner's.
    void watch(int fd, FdInterest interest, FdCallback callback);
    void unwatch(int fd);
    /// Calls `callback` with the number of each SIGTERM and SIGINT.
    void onStopSignal(std::function<void(int signal)> callback);
    /// Calls `callback` after each SIGHUP.
    void onReloadSignal(std::function<void()> callback);
    /// Calls `callback` after each delay of `minLoopDelay` or more, before the timers that have become due.
    void onDelay(std::function<void(const LoopDelay &)> callback);
    /// The last delay of `minLoopDelay` or more, which may have been caused by an earlier callback of the present round.
    LoopDelay lastDelay() const;
    /// Runs until `stop`.
    void run();
    void stop();

private:
    struct Handler;
    struct Reactor;

    void after(Millis delay, std::function<void()> fn);
    void unregister(Handler &handler);
    void runDueTimers();
    void dispatchSignals();
    Millis untilNextTimer(Millis now) const;
    void noteDelay(Millis now);

    Clock m_clock;
    std::unique_ptr<Reactor> m_reactor;
    /// One for each descriptor number that was ever watched; never freed before the reactor is closed, which keeps a handler whose
    /// descriptor was closed before it could be removed.
    std::map<int, std::unique_ptr<Handler>> m_handlers;
    std::multimap<Millis, std::function<void()>> m_timers;
    std::function<void(int)> m_onStopSignal;
    std::function<void()> m_onReloadSignal;
    std::function<void(const LoopDelay &)> m_onDelay;
    /// Boot clock: latest time at which the present round should end.
    Millis m_roundDueAt;
    LoopDelay m_lastDelay;
    /// Processor time of the process at `m_cpuReadAt`.
    Millis m_cpu;
    Millis m_cpuReadAt;
    bool m_running = false;
};

} // namespace hibiscusbridge
