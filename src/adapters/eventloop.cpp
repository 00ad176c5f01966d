// The event loop on ACE_Dev_Poll_Reactor.
#include "adapters/eventloop.hpp"

#include "helpers/log.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Log_Msg.h>
#include <ace/Reactor.h>
#include <algorithm>
#include <cerrno>
#include <csignal>
#include <ctime>

namespace hibiscusbridge
{

namespace
{

constexpr Millis longestWait{200};
/// Descriptors served before the timers have their turn.
constexpr int maxEventsPerRound = 256;
/// Interval at which the processor time of the process is read, which takes a system call.
constexpr Millis cpuReadInterval{1'000};

volatile std::sig_atomic_t pendingSignals = 0;
volatile std::sig_atomic_t lastSignal = 0;
volatile std::sig_atomic_t reloadWanted = 0;

void countSignal(int signal)
{
    pendingSignals = pendingSignals + 1;
    lastSignal = signal;
}

void noteReload(int)
{
    reloadWanted = 1;
}

/// Runs a callback. An exception ends that callback only, so that one unexpected input does not end the process.
void guarded(std::string_view source, const std::function<void()> &fn)
{
    try {
        fn();
    } catch (const std::exception &ec) {
        logEvent(LogLevel::Error, "unexpected_error", {{"source", source}, {"error", ec.what()}});
    }
}

} // namespace

struct EventLoop::Reactor {
    ACE_Dev_Poll_Reactor implementation;
    ACE_Reactor reactor{&implementation};
};

struct EventLoop::Handler : ACE_Event_Handler {
    Handler(ACE_Reactor *reactor, int handledFd)
        : ACE_Event_Handler(reactor)
        , fd(handledFd)
    {
    }

    ACE_HANDLE get_handle() const override
    {
        return fd;
    }
    int handle_input(ACE_HANDLE) override
    {
        return dispatch({.read = true});
    }
    int handle_output(ACE_HANDLE) override
    {
        return dispatch({.write = true});
    }
    int dispatch(FdInterest ready)
    {
        // The callback may unwatch its own descriptor.
        if (const auto keep = callback; keep) {
            guarded("descriptor", [&] { keep(ready); });
        }
        return 0;
    }

    int fd;
    bool registered = false;
    FdInterest interest;
    FdCallback callback;
};

EventLoop::EventLoop()
    : m_clock(systemClock())
    , m_reactor(std::make_unique<Reactor>())
{
    // ACE reports each interrupted wait on standard error, outside the process log.
    ACE_Log_Msg::instance()->clr_flags(ACE_Log_Msg::STDERR);
}

EventLoop::~EventLoop()
{
    for (auto &[fd, handler] : m_handlers) {
        unregister(*handler);
    }
    // The reactor calls the handlers that it could not remove, because their descriptors were closed while they were watched.
    m_reactor->reactor.close();
}

TimerPort EventLoop::timers()
{
    return {.after = [this](Millis delay, std::function<void()> fn) {
        after(delay, std::move(fn));
    }};
}

void EventLoop::after(Millis delay, std::function<void()> fn)
{
    m_timers.emplace(m_clock.boot() + std::max(delay, Millis{0}), std::move(fn));
}

void EventLoop::post(std::function<void()> fn)
{
    after({0}, std::move(fn));
}

static ACE_Reactor_Mask toMask(FdInterest interest)
{
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (interest.read) {
        mask |= ACE_Event_Handler::READ_MASK;
    }
    if (interest.write) {
        mask |= ACE_Event_Handler::WRITE_MASK;
    }
    return mask;
}

void EventLoop::watch(int fd, FdInterest interest, FdCallback callback)
{
    auto &handler = m_handlers[fd];
    if (!handler) {
        handler = std::make_unique<Handler>(&m_reactor->reactor, fd);
    }
    handler->callback = std::move(callback);
    if (handler->registered && handler->interest.read == interest.read && handler->interest.write == interest.write) {
        return;
    }
    unregister(*handler);
    handler->interest = interest;
    handler->registered = true;
    if (m_reactor->reactor.register_handler(handler.get(), toMask(interest)) == -1) {
        logEvent(LogLevel::Error, "descriptor_not_watched", {{"fd", fd}, {"errno", errno}});
    }
}

void EventLoop::unregister(Handler &handler)
{
    if (handler.registered) {
        handler.registered = false;
        m_reactor->reactor.remove_handler(handler.fd, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    }
}

void EventLoop::unwatch(int fd)
{
    if (const auto it = m_handlers.find(fd); it != m_handlers.end()) {
        unregister(*it->second);
        it->second->callback = nullptr;
    }
}

void EventLoop::onStopSignal(std::function<void(int)> callback)
{
    m_onStopSignal = std::move(callback);
    struct sigaction action {
    };
    action.sa_handler = countSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void EventLoop::onReloadSignal(std::function<void()> callback)
{
    m_onReloadSignal = std::move(callback);
    struct sigaction action {
    };
    action.sa_handler = noteReload;
    sigaction(SIGHUP, &action, nullptr);
}

void EventLoop::dispatchSignals()
{
    if (reloadWanted != 0) {
        reloadWanted = 0;
        if (m_onReloadSignal) {
            m_onReloadSignal();
        }
    }
    while (pendingSignals > 0) {
        pendingSignals = pendingSignals - 1;
        if (m_onStopSignal) {
            m_onStopSignal(lastSignal);
        }
    }
}

Millis EventLoop::untilNextTimer(Millis now) const
{
    if (m_timers.empty()) {
        return longestWait;
    }
    return std::clamp(m_timers.begin()->first - now, Millis{0}, longestWait);
}

static Millis cpuOfProcess()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return {time.tv_sec * 1'000 + time.tv_nsec / 1'000'000};
}

void EventLoop::onDelay(std::function<void(const LoopDelay &)> callback)
{
    m_onDelay = std::move(callback);
}

void EventLoop::noteDelay(Millis now)
{
    const auto length = now - m_roundDueAt;
    const bool late = m_roundDueAt.count > 0 && length >= minLoopDelay;
    if (!late && now - m_cpuReadAt < cpuReadInterval) {
        return;
    }
    const auto cpu = cpuOfProcess();
    if (late) {
        m_lastDelay = {.endedAt = now, .length = length, .cpu = cpu - m_cpu, .cpuSince = m_cpuReadAt};
        if (m_onDelay) {
            m_onDelay(m_lastDelay);
        }
    }
    m_cpu = cpu;
    m_cpuReadAt = now;
}

LoopDelay EventLoop::lastDelay() const
{
    const auto now = m_clock.boot();
    if (const auto length = now - m_roundDueAt; m_roundDueAt.count > 0 && length >= minLoopDelay) {
        return {.endedAt = now, .length = length};
    }
    return m_lastDelay;
}

void EventLoop::runDueTimers()
{
    // Timers that a callback adds for now run in the next round, so that descriptors are served in between.
    const auto now = m_clock.boot();
    std::vector<std::function<void()>> due;
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        due.push_back(std::move(m_timers.begin()->second));
        m_timers.erase(m_timers.begin());
    }
    for (auto &fn : due) {
        guarded("timer", fn);
    }
}

void EventLoop::run()
{
    m_running = true;
    while (m_running) {
        const auto now = m_clock.boot();
        noteDelay(now);
        // ACE's own timer queue reads the wall clock, which may jump, so timers are kept here.
        const auto wait = untilNextTimer(now);
        m_roundDueAt = now + wait;
        ACE_Time_Value timeout(wait.count / 1000, static_cast<suseconds_t>(wait.count % 1000 * 1000));
        // The reactor serves one descriptor a call. All ready ones are served before timers run: a late process would otherwise
        // give up calls whose answers have arrived.
        for (int n = 0; n < maxEventsPerRound && m_reactor->reactor.handle_events(&timeout) > 0; ++n) {
            timeout = ACE_Time_Value::zero;
        }
        dispatchSignals();
        runDueTimers();
    }
}

void EventLoop::stop()
{
    m_running = false;
}

} // namespace hibiscusbridge
