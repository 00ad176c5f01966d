// One entry's request handling over fakes, which a test can freeze or destroy.
#pragma once

#include "fakes/faketable.hpp"
#include "fakes/faketarget.hpp"
#include "requests/requestmanager.hpp"

#include <spdlog/spdlog.h>

namespace hibiscusbridge
{

inline View testView(std::size_t vms, std::uint32_t minHealthy)
{
    View view;
    view.document.services["pay"] = {.name = "pay", .pool = "payers", .deadline = {5000}};
    view.document.pools["payers"] = {.name = "payers", .minHealthy = minHealthy};
    for (std::size_t i = 1; i <= vms; ++i) {
        const auto id = "vm" + std::to_string(i);
        view.vms[id] = {.id = id, .pool = "payers", .address = id + ":80"};
    }
    return view;
}

inline CallerRequest post(const std::string &key, const std::string &body, const std::string &method = "POST")
{
    CallerRequest request{.method = method, .path = "/pay/charge", .body = body};
    if (!key.empty()) {
        request.headers = {{"Idempotency-Key", key}};
    }
    return request;
}

/// Callbacks that fall due while the process is frozen run when it resumes; those of a dead process never run.
class TestEntry
{
    /// Before the fakes, which are built with it.
    std::shared_ptr<bool> m_dead = std::make_shared<bool>(false);

public:
    TestEntry(FakeLoop &loop, FakeTable &table, std::vector<Execution> &executions, View initial)
        : view(std::move(initial))
        , target{.timers = gate(loop.timers()), .clock = loop.clock(), .executions = &executions}
        , slots{.timers = gate(loop.timers())}
    {
        spdlog::set_level(spdlog::level::off);
        const auto port = table.port();
        const TablePort gated{
            .commit = [this, port](Transaction transaction,
                                   TablePort::CommitCallback fn) { port.commit(std::move(transaction), gate(std::move(fn))); },
            .read = [this, port](ReadRequest request, TablePort::ReadCallback fn) { port.read(std::move(request), gate(std::move(fn))); },
        };
        once = std::make_unique<OnceManager>(gated, gate(loop.timers()), loop.clock(), counters);
        requests = std::make_unique<RequestManager>(RequestPorts{.target = target.port(),
                                                                 .slots = slots.port(),
                                                                 .clock = loop.clock(),
                                                                 .view = [this]() -> const View & { return view; },
                                                                 .mayServe =
                                                                     [this] {
                                                                         return serving;
                                                                     }},
                                                    *once,
                                                    counters);
    }

    /// Answers in the order of their arrival.
    std::string ask(CallerRequest request)
    {
        const auto body = request.body;
        auto id = requests->handle(std::move(request), [this](CallerResponse it) { answers.push_back(std::move(it)); });
        bodies[id] = body;
        return id;
    }
    void die()
    {
        *m_dead = true;
        requests.reset();
        once.reset();
    }
    void resume(bool reversed)
    {
        frozen = false;
        auto due = std::exchange(m_due, {});
        if (reversed) {
            std::reverse(due.begin(), due.end());
        }
        for (const auto &fn : due) {
            fn();
        }
    }

    View view;
    absl::Status serving;
    bool frozen = false;
    FakeTarget target;
    FakeSlots slots;
    RequestCounters counters;
    std::unique_ptr<OnceManager> once;
    std::unique_ptr<RequestManager> requests;
    std::vector<CallerResponse> answers;
    /// Request id to the body that was sent.
    std::map<std::string, std::string, std::less<>> bodies;

private:
    void run(std::function<void()> fn)
    {
        if (frozen) {
            m_due.push_back(std::move(fn));
        } else {
            fn();
        }
    }
    template<typename Result>
    std::function<void(Result)> gate(std::function<void(Result)> fn)
    {
        return [this, dead = m_dead, fn = std::move(fn)](Result result) {
            if (!*dead) {
                run([fn, result = std::move(result)] { fn(result); });
            }
        };
    }
    TimerPort gate(TimerPort timers)
    {
        return {.after = [this, dead = m_dead, timers](Millis delay, std::function<void()> fn) {
            timers.after(delay, [this, dead, fn = std::move(fn)] {
                if (!*dead) {
                    run(fn);
                }
            });
        }};
    }

    std::vector<std::function<void()>> m_due;
};

} // namespace hibiscusbridge
