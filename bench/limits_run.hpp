// One run of the comparison of ways to share slots: arrivals, balancer, workers and messages on a manual clock.
#pragma once

#include "fakes/fakeloop.hpp"
#include "limits/slotmanager.hpp"
#include "limits_choice.hpp"

#include <algorithm>
#include <deque>
#include <random>

namespace hibiscusbridge
{

enum class Way {
    Alone,
    Exchange,
    Shares,
    Lending,
};

struct Scenario {
    const char *name;
    bool hasSurge;
    bool isUneven;
    bool losesEntry;
    bool runsOn;
};

struct Site {
    const char *name;
    /// Chances in percent of a delay of 1, 2 and 3 ms for one message between VMs.
    std::vector<double> delays;
    Millis callerRoundTrip;
};

struct Figures {
    std::uint64_t arrivals = 0;
    std::uint64_t sends = 0;
    std::uint64_t over = 0;
    std::uint64_t refused = 0;
    std::uint64_t late = 0;
    std::vector<std::int64_t> latencies;
};

inline constexpr std::size_t entryCount = 9;
inline constexpr std::size_t workersPerPool = 10;
inline constexpr std::uint32_t slotsPerWorker = 8;
inline constexpr double meanServiceMs = 100;
inline constexpr double meanLoad = 0.4;
inline constexpr Millis requestDeadline{1000};
inline constexpr Millis phase{5000};
inline constexpr Millis exchangeInterval{100};
/// Balancer and member list notice a dead entry after these times.
inline constexpr Millis balancerNotices{1000};
inline constexpr Millis membersNotice{3000};
/// Length prefix and flags of one ZeroMQ frame.
inline constexpr std::uint64_t frameBytes = 2;

class Run
{
public:
    Run(Way way, const Scenario &scenario, const Site &site, unsigned seed)
        : m_way(way)
        , m_scenario(scenario)
        , m_random(seed)
        , m_delay(site.delays.begin(), site.delays.end())
        , m_callerRoundTrip(site.callerRoundTrip)
    {
        for (const auto *pool : {"p0", "p1", "p2"}) {
            for (std::size_t i = 0; i < workersPerPool; ++i) {
                const auto id = std::string(pool) + "-vm" + std::to_string(i);
                m_view.vms[id] = {.id = id, .pool = pool, .slots = slotsPerWorker};
                m_candidates[pool].push_back(id);
            }
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            const auto id = "entry" + std::to_string(i);
            m_view.members.members.push_back({id, 1, std::to_string(i), ""});
            const SlotManagerPorts ports{m_loop.clock(),
                                         m_loop.timers(),
                                         {[this, i](const auto &to, const auto &message) {
                                             transmit(i, static_cast<std::size_t>(std::atoi(to.c_str())), message);
                                         }},
                                         [] {
                                             return true;
                                         }};
            const LimitsSettings settings{.longestDeadline = requestDeadline, .lending = way == Way::Lending};
            m_managers.push_back(std::make_unique<SlotManager>(id, 1, ports, settings));
            m_choices.emplace_back(slotsPerWorker, seed * 100 + static_cast<unsigned>(i));
        }
        applyView();
        m_loop.advance({10'000}); // New entries wait for their shares.
    }

    void execute()
    {
        const auto start = m_loop.now();
        for (const auto &[pool, workers] : m_candidates) {
            scheduleArrival(pool, start);
        }
        if (m_way == Way::Exchange) {
            exchange();
        }
        if (m_scenario.losesEntry) {
            m_loop.timers().after(phase + phase / 2, [this] { loseEntry(); });
        }
        m_loop.advance(phase * 3);
        m_isOver = true;
        m_loop.advance(requestDeadline * 2);
    }

    Figures surging;
    Figures others;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

private:
    struct Worker {
        std::uint32_t running = 0;
        std::deque<std::function<void()>> queue;
    };
    struct Request {
        std::uint64_t id = 0;
        std::string pool;
        std::size_t entry = 0;
        Millis arrived;
        Millis deadline;
        Millis service;
        Millis sentAt;
        SlotLease lease;
    };

    Figures &figures(const std::string &pool)
    {
        return pool == "p0" ? surging : others;
    }

    Millis delay()
    {
        return {m_delay(m_random) + 1};
    }

    void applyView()
    {
        ++m_view.version;
        for (auto &manager : m_managers) {
            manager->applyView(m_view);
        }
    }

    void transmit(std::size_t from, std::size_t to, const wire::Envelope &message)
    {
        if (from == m_dead) {
            return;
        }
        ++messages;
        bytes += message.ByteSizeLong() + frameBytes;
        m_loop.timers().after(delay(), [this, to, message] {
            if (to != m_dead) {
                m_managers[to]->receive(message);
            }
        });
    }

    void exchange()
    {
        if (m_isOver) {
            return;
        }
        for (std::size_t from = 0; from < entryCount; ++from) {
            wire::Envelope message;
            message.set_sender("entry" + std::to_string(from));
            message.set_incarnation(1);
            for (const auto &[vm, count] : m_choices[from].inFlight()) {
                if (count > 0) {
                    auto *line = message.mutable_heartbeat()->add_in_flight();
                    line->set_vm(vm);
                    line->set_requests(count);
                }
            }
            for (std::size_t to = 0; to < entryCount && from != m_dead; ++to) {
                if (to == from) {
                    continue;
                }
                ++messages;
                bytes += message.ByteSizeLong() + frameBytes;
                m_loop.timers().after(delay(),
                                      [this, from, to, counts = m_choices[from].inFlight()] { m_choices[to].learn(from, counts); });
            }
        }
        m_loop.timers().after(exchangeInterval, [this] { exchange(); });
    }

    void loseEntry()
    {
        m_dead = entryCount / 2;
        m_loop.timers().after(balancerNotices, [this] { m_isRemovedFromBalancer = true; });
        m_loop.timers().after(membersNotice, [this] {
            std::erase_if(m_view.members.members, [this](const Member &member) { return member.address == std::to_string(m_dead); });
            applyView();
            for (auto &choice : m_choices) {
                choice.learn(m_dead, {});
            }
        });
    }

    double rateFactor(const std::string &pool, Millis sinceStart) const
    {
        if (pool != "p0" || !m_scenario.hasSurge || sinceStart < phase) {
            return 1;
        }
        return sinceStart < phase * 2 ? 5 : 0.05;
    }

    void scheduleArrival(const std::string &pool, Millis start)
    {
        const auto perMs = meanLoad * workersPerPool * slotsPerWorker / meanServiceMs * rateFactor(pool, m_loop.now() - start);
        // Arrivals of one millisecond together: the clock has no finer unit.
        const auto n = std::poisson_distribution<int>(perMs)(m_random);
        for (int i = 0; i < n; ++i) {
            arrive(pool);
        }
        m_loop.timers().after({1}, [this, pool, start] {
            if (!m_isOver) {
                scheduleArrival(pool, start);
            }
        });
    }

    std::size_t balance()
    {
        std::vector<double> weights(entryCount, 1);
        if (m_scenario.isUneven) {
            weights[0] = (entryCount - 1) / 2.0;
        }
        if (m_isRemovedFromBalancer) {
            weights[m_dead] = 0;
        }
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
    }

    void arrive(const std::string &pool)
    {
        const auto service = static_cast<std::int64_t>(std::exponential_distribution<double>(1 / meanServiceMs)(m_random)) + 1;
        Request request{++m_lastRequest, pool, balance(), m_loop.now(), m_loop.now() + requestDeadline, {service}, {}, {}};
        auto &count = figures(pool);
        ++count.arrivals;
        if (request.entry == m_dead) {
            return;
        }
        SlotDemand demand{pool, pool, m_candidates[pool], request.deadline};
        std::shuffle(demand.candidates.begin(), demand.candidates.end(), m_random);
        const auto done = [this, request](absl::StatusOr<SlotLease> lease) mutable {
            if (!lease.ok()) {
                auto &counted = figures(request.pool);
                ++(absl::IsResourceExhausted(lease.status()) ? counted.refused : counted.late);
                return;
            }
            request.lease = *lease;
            request.sentAt = m_loop.now();
            m_open.insert(request.id);
            ++figures(request.pool).sends;
            m_loop.timers().after(delay(), [this, request] { reachWorker(request); });
            m_loop.timers().after(request.deadline - m_loop.now(), [this, request] { answer(request); });
        };
        if (m_way == Way::Alone || m_way == Way::Exchange) {
            m_choices[request.entry].acquire(demand, done);
        } else {
            m_managers[request.entry]->acquire(demand, done);
        }
    }

    void reachWorker(const Request &request)
    {
        auto &worker = m_workers[request.lease.vm];
        if (worker.running + worker.queue.size() >= slotsPerWorker) {
            ++figures(request.pool).over;
        }
        worker.queue.emplace_back([this, request] { work(request); });
        startNext(worker);
    }

    void startNext(Worker &worker)
    {
        while (worker.running < slotsPerWorker && !worker.queue.empty()) {
            const auto next = std::move(worker.queue.front());
            worker.queue.pop_front();
            ++worker.running;
            next();
        }
    }

    void work(const Request &request)
    {
        const auto left = std::max(request.deadline - m_loop.now(), Millis{});
        m_loop.timers().after(m_scenario.runsOn ? request.service : std::min(request.service, left), [this, request] {
            auto &worker = m_workers[request.lease.vm];
            --worker.running;
            startNext(worker);
            // The entry gives up at the deadline.
            if (const auto back = delay(); m_loop.now() + back < request.deadline) {
                m_loop.timers().after(back, [this, request] { answer(request); });
            }
        });
    }

    /// The answer or the deadline, whichever is first.
    void answer(const Request &request)
    {
        if (request.entry == m_dead || !m_open.erase(request.id)) {
            return;
        }
        const auto at = m_loop.now();
        if (m_way == Way::Alone || m_way == Way::Exchange) {
            m_choices[request.entry].release(request.lease);
        } else {
            auto lease = request.lease;
            lease.mayStillRun = at >= request.deadline;
            m_managers[request.entry]->release(lease, at - request.sentAt);
        }
        if (at < request.deadline) {
            figures(request.pool).latencies.push_back((at - request.arrived + m_callerRoundTrip).count);
        }
    }

    Way m_way;
    Scenario m_scenario;
    std::mt19937 m_random;
    std::discrete_distribution<int> m_delay;
    Millis m_callerRoundTrip;
    FakeLoop m_loop;
    View m_view;
    std::map<std::string, std::vector<std::string>> m_candidates;
    std::map<std::string, Worker> m_workers;
    std::vector<std::unique_ptr<SlotManager>> m_managers;
    std::vector<TwoChoices> m_choices;
    std::set<std::uint64_t> m_open;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_dead = entryCount;
    bool m_isRemovedFromBalancer = false;
    bool m_isOver = false;
};

} // namespace hibiscusbridge
