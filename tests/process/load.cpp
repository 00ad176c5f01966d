// Callers and balancer.
#include "process/load.hpp"

#include "adapters/httpclient.hpp"
#include "adapters/httpserver.hpp"
#include "helpers/ids.hpp"

#include <algorithm>
#include <set>

namespace hibiscusbridge
{

constexpr Millis probeInterval{100};
constexpr Millis probeTimeout{500};
constexpr Millis retryPause{20};
constexpr Millis attemptTimeout{5'000};

static bool hasOutcome(const TargetResult &result, std::string_view outcome)
{
    return result.outcome == TargetOutcome::Answered && headerValue(result.headers, "X-Outcome") == outcome;
}

bool isNotRun(const TargetResult &result)
{
    return hasOutcome(result, "not-run");
}

bool isFinished(const TargetResult &result)
{
    return hasOutcome(result, "finished");
}

struct Load::Run {
    struct Caller {
        Exchange exchange;
        Millis startedAt;
    };

    Load &load;
    EventLoop loop;
    HttpClient client{loop, {}};
    Clock clock = systemClock();
    std::set<std::string> ready;
    std::vector<Caller> callers;
    std::size_t active = 0;
    std::size_t started = 0;
    std::size_t turns = 0;

    void probe();
    void begin(Caller &caller);
    void attempt(Caller &caller);
    void take(Caller &caller, TargetResult result);
    void finish(Caller &caller);
    std::string pick();
};

void Load::Run::probe()
{
    const std::lock_guard lock(load.m_mutex);
    for (const auto &it : load.m_entries) {
        client.send({.address = it, .method = "GET", .path = "/-/ready", .timeout = probeTimeout}, [this, it](const TargetResult &result) {
            const bool isReady = result.outcome == TargetOutcome::Answered && result.status == 200;
            isReady ? void(ready.insert(it)) : void(ready.erase(it));
        });
    }
    loop.timers().after(probeInterval, [this] { probe(); });
}

void Load::Run::begin(Caller &caller)
{
    const bool keyed = started++ * 37 % 100 < load.m_options.keyedShare;
    const auto key = keyed ? randomId() : std::string();
    caller = {.exchange = {.method = keyed ? "POST" : "GET", .path = load.m_options.path, .key = key}, .startedAt = clock.boot()};
    attempt(caller);
}

/// The ready entries in turn, so that a repeat goes to another one.
std::string Load::Run::pick()
{
    if (ready.empty()) {
        return {};
    }
    return *std::next(ready.begin(), static_cast<std::ptrdiff_t>(turns++ % ready.size()));
}

void Load::Run::attempt(Caller &caller)
{
    const auto address = pick();
    if (address.empty()) {
        return take(caller, {.error = "no entry is ready"});
    }
    auto &exchange = caller.exchange;
    TargetRequest request{
        .address = address, .method = exchange.method, .path = exchange.path, .body = exchange.key, .timeout = attemptTimeout};
    if (!exchange.key.empty()) {
        request.headers.push_back({"Idempotency-Key", exchange.key});
    }
    client.send(std::move(request), [this, &caller](TargetResult result) { take(caller, std::move(result)); });
}

void Load::Run::take(Caller &caller, TargetResult result)
{
    const bool isBroken = result.outcome == TargetOutcome::Unknown;
    const bool isRetried = result.outcome == TargetOutcome::NotSent || isNotRun(result) || (isBroken && load.m_options.repeatBroken);
    caller.exchange.attempts.push_back(std::move(result));
    if (isRetried && clock.boot() - caller.startedAt < load.m_options.patience) {
        loop.timers().after(retryPause, [this, &caller] { attempt(caller); });
        return;
    }
    finish(caller);
}

void Load::Run::finish(Caller &caller)
{
    load.m_finished.push_back(std::move(caller.exchange));
    if (!load.m_stopping) {
        return begin(caller);
    }
    if (--active == 0) {
        loop.stop();
    }
}

Load::Load(const std::vector<std::string> &entries, LoadOptions options)
    : m_options(std::move(options))
    , m_entries(entries)
    , m_thread([this] { run(); })
{
}

Load::~Load()
{
    stop();
}

void Load::run()
{
    Run state{.load = *this};
    state.callers.resize(m_options.callers);
    state.active = m_options.callers;
    state.probe();
    for (auto &it : state.callers) {
        state.begin(it);
    }
    state.loop.run();
}

void Load::addEntry(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_entries.push_back(address);
}

std::vector<Exchange> Load::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return std::move(m_finished);
}

} // namespace hibiscusbridge
