// Series of stops, kills, reloads and store faults that overlap, under callers that submit, read and cancel jobs.
// STOP_SOAK_SEED and STOP_SOAK_ENTRIES choose the seed and the number of entries.
#include "process/platformentries.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>
#include <unistd.h>

using namespace hibiscusbridge;
using nlohmann::json;

namespace
{

constexpr std::size_t callersPerEntry = 8;
constexpr Millis faultsTime{10'000};
constexpr Millis longestStoreFault{4'000};
constexpr Millis longestStoreCalm{800};
constexpr Millis driverPause{15};
constexpr Millis recoveryTime{10'000};
/// Delay of a transaction whose answer is lost.
constexpr Millis lateTime{800};

struct Kill {
    std::string entry;
    Millis at;
};

struct EntryState {
    bool reachable = false;
    bool killed = false;
    std::optional<Millis> stoppedAt;
    Millis restartAt{0};
};

unsigned long numberOf(const char *variable, unsigned long otherwise)
{
    const char *const text = std::getenv(variable);
    return text ? std::strtoul(text, nullptr, 10) : otherwise;
}

json noFaults()
{
    return {{"partMs", 4}, {"silentTables", ""}, {"lateMs", 0}, {"silent", false}, {"refuse", false}};
}

/// Sends the faults of one seed and collects what the processes do wrong.
class FaultDriver
{
public:
    FaultDriver(PlatformEntries &system, unsigned long seed)
        : m_system(system)
        , m_states(system.entries.size(), {.reachable = true})
        , m_random(seed)
    {
    }

    void run()
    {
        for (const auto end = m_clock.boot() + faultsTime; m_clock.boot() < end;) {
            const auto &[at, n] = std::pair(m_clock.boot(), m_system.entries.size());
            step();
            for (std::size_t i = 0; i < n; ++i) {
                observe(i);
            }
            usleep(static_cast<useconds_t>(std::max<std::int64_t>(driverPause.count - (m_clock.boot() - at).count, 1) * 1000));
        }
        m_system.controlStore(noFaults());
    }

    /// Restarts what is down and waits until every entry answers.
    void recover()
    {
        const auto settled = [this] {
            bool all = true;
            for (std::size_t i = 0; i < m_states.size(); ++i) {
                observe(i);
                all = all && !m_states[i].stoppedAt && m_system.entries[i].process && m_system.isReady(m_system.entries[i]);
            }
            return all;
        };
        if (!waitFor(settled, recoveryTime + stopGrace)) {
            found.emplace_back("not every entry answers after the faults");
        }
    }

    std::vector<std::string> found;
    std::vector<Kill> kills;
    std::size_t stops = 0;

private:
    Millis upTo(std::int64_t ms)
    {
        return {std::uniform_int_distribution<std::int64_t>(0, ms)(m_random)};
    }

    void step()
    {
        const auto now = m_clock.boot();
        if (now >= m_nextStoreFault) {
            const std::vector<json> faults{{{"partMs", 50}},
                                           {{"partMs", 200}},
                                           {{"silentTables", "jobs-"}},
                                           {{"silentTables", "jobs-"}, {"lateMs", lateTime.count}},
                                           {{"silentTables", "claims"}},
                                           {{"refuse", true}},
                                           {{"silent", true}}};
            auto next = noFaults();
            m_storeFaulty = !m_storeFaulty;
            if (m_storeFaulty) {
                next.update(faults.at(static_cast<std::size_t>(upTo(static_cast<std::int64_t>(faults.size()) - 1).count)));
            }
            m_system.controlStore(next);
            m_nextStoreFault = now + Millis{200} + upTo((m_storeFaulty ? longestStoreFault : longestStoreCalm).count);
        }
        if (now < m_nextSignal) {
            return;
        }
        m_nextSignal = now + upTo(800 / static_cast<std::int64_t>(m_states.size()) + 30);
        const auto i = static_cast<std::size_t>(upTo(static_cast<std::int64_t>(m_states.size()) - 1).count);
        // A process that does not listen yet may have no signal handlers either.
        if (m_states[i].reachable) {
            disturb(m_system.entries[i], m_states[i]);
        }
    }

    void disturb(const PlatformEntry &entry, EntryState &state)
    {
        const auto kind = upTo(9).count;
        if (kind < 5) { // Also a second time while it stops.
            state.stoppedAt = state.stoppedAt.value_or(m_clock.boot());
            entry.process->signal(SIGTERM);
            ++stops;
        } else if (kind == 5) {
            state.killed = true;
            state.stoppedAt = state.stoppedAt.value_or(m_clock.boot());
            kills.push_back({entry.callers, m_clock.boot()});
            entry.process->signal(SIGKILL);
        } else if (kind == 6) {
            m_system.configure(++m_version);
        } else {
            kind == 7 ? PlatformEntries::breakSettings(entry) : m_system.writeSettings(entry);
            entry.process->signal(SIGHUP);
        }
    }

    void observe(std::size_t i)
    {
        auto &entry = m_system.entries[i];
        auto &state = m_states[i];
        const auto now = m_clock.boot();
        if (!entry.process) {
            if (now >= state.restartAt) {
                state = {};
                m_system.writeSettings(entry);
                m_system.start(entry);
            }
            return;
        }
        if (!state.reachable) {
            state.reachable = Connection(entry.ready).isOpen();
        }
        if (const auto code = entry.process->pollExit(); code) {
            if (!state.killed && (*code != 0 || !state.stoppedAt)) {
                found.push_back(entry.name + " ended with " + std::to_string(*code));
            }
            entry.process.reset();
            state = {.restartAt = now + upTo(500)};
        } else if (state.stoppedAt && now - *state.stoppedAt > stopGrace) {
            found.push_back(entry.name + " did not end within its grace period");
            state.stoppedAt = now;
        }
    }

    PlatformEntries &m_system;
    Clock m_clock = systemClock();
    std::vector<EntryState> m_states;
    std::mt19937 m_random;
    Millis m_nextSignal{0};
    Millis m_nextStoreFault{0};
    bool m_storeFaulty = false;
    std::int64_t m_version = 1;
};

std::string describe(const Submission &it)
{
    return it.method + " " + it.id + " to " + it.entry + ": status " + std::to_string(it.status) + " after "
           + std::to_string((it.endedAt - it.sentAt).count) + " ms, sent at " + std::to_string(it.sentAt.count);
}

/// Answers that are missing, or that contradict what is stored or what callers were told before.
std::vector<std::string> wrongAnswers(const std::vector<Submission> &requests,
                                      const std::set<std::string> &stored,
                                      const std::vector<Kill> &kills)
{
    std::vector<std::string> found;
    for (const auto &it : unanswered(requests)) {
        const bool killed = std::any_of(kills.begin(), kills.end(), [&](const Kill &kill) {
            return kill.entry == it.entry && it.sentAt <= kill.at && kill.at <= it.endedAt;
        });
        if (!killed) {
            found.push_back("no answer: " + describe(it));
        }
    }
    std::map<std::string, int> submitted;
    for (const auto &it : requests) {
        if (it.method == "POST") {
            submitted[it.id] = it.status;
        }
    }
    for (const auto &it : requests) {
        const bool isStored = stored.contains(it.id);
        const auto before = submitted.contains(it.id) ? submitted[it.id] : 503;
        const bool submits = it.method == "POST";
        const bool known = std::set{0, 200, 503, 504}.contains(it.status) || (!submits && it.status == 410);
        const bool wrong = !known || (submits && it.status == 503 && isStored) || (submits && it.status == 200 && !isStored)
                           || (!submits && it.status == 410 && before == 200) || (!submits && it.status == 200 && before == 503);
        if (wrong) {
            found.push_back("wrong answer: " + describe(it) + ", submitted with " + std::to_string(before)
                            + (isStored ? ", stored" : ", not stored"));
        }
    }
    return found;
}

void soak(unsigned long seed, std::size_t entries)
{
    PlatformEntries system(entries);
    // About 300 requests a second in all, or the stand-in of the store is the bottleneck.
    const Millis pause{static_cast<std::int64_t>(std::max<std::size_t>(20 * entries / 3, 20))};
    KeepAliveCallers callers(system.entries, entries * callersPerEntry, {.mixed = true, .pause = pause});
    FaultDriver driver(system, seed);
    driver.run();
    driver.recover();
    const auto requests = callers.finish();
    usleep(static_cast<useconds_t>(lateTime.count * 1000));
    const auto found = wrongAnswers(requests, system.controlStore(noFaults()), driver.kills);
    std::map<int, std::size_t> counts;
    for (const auto &it : requests) {
        ++counts[it.status];
    }
    std::string statuses;
    for (const auto &[status, n] : counts) {
        statuses += std::to_string(status) + ": " + std::to_string(n) + "  ";
    }
    CAPTURE(seed, entries, driver.kills.size(), driver.stops, statuses);
    CAPTURE(driver.found, found);
    CHECK(driver.found.empty());
    CHECK(found.empty());
    CHECK(counts[200] > entries);
    for (auto &it : system.entries) {
        it.process->signal(SIGTERM);
    }
    for (auto &it : system.entries) {
        CHECK(it.process->waitExit(stopGrace) == 0);
    }
}

} // namespace

TEST_CASE("overlapping stops, kills, reloads and store faults leave no request without a true answer")
{
    const auto seed = numberOf("STOP_SOAK_SEED", 0);
    const auto entries = static_cast<std::size_t>(numberOf("STOP_SOAK_ENTRIES", 3));
    if (seed > 0) {
        return soak(seed, entries);
    }
    soak(1, entries);
    soak(2, entries);
}
