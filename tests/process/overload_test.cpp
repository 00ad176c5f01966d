// A surge of one service against real entries, slots and targets.
#include "adapters/httpclient.hpp"
#include "process/harness.hpp"

#include <catch2/catch.hpp>
#include <iostream>

using namespace hibiscusbridge;

namespace
{

constexpr std::size_t entryCount = 3;
constexpr int slotsPerVm = 8;
/// Two VMs of 8 slots finish 160 requests of 100 ms a second: the mean load is 40 %, the surge is beyond the capacity.
constexpr auto servicePath = "/sleep/100";
constexpr int meanRate = 64;
constexpr int surgeFactor = 5;
constexpr Millis meanTime{1'500};
constexpr Millis surgeTime{3'000};
constexpr Millis callerTimeout{6'000};
/// Of seven requests, four go to the first entry, two to the second, one to the third.
constexpr std::array<std::size_t, 7> balancer{0, 0, 1, 0, 0, 1, 2};
/// The entry that the test kills gets the fewest callers, so that the uneven balancer stays uneven.
constexpr std::size_t killedEntry = 2;

struct Sent {
    std::size_t entry = 0;
    Millis at;
    Answer answer;
};

/// Callers with a steady rate for each service, on one loop.
class Callers
{
public:
    explicit Callers(const Fleet &fleet)
        : m_fleet(fleet)
        , m_client(m_loop, {})
        , m_start(m_clock.boot())
    {
    }

    /// Sends `rate` requests a second to the service until `end`, counted from the start.
    void load(const std::string &service, Millis from, Millis end, int rate)
    {
        for (std::int64_t i = 0; from + Millis{i * 1000 / rate} < end; ++i) {
            m_loop.timers().after(from + Millis{i * 1000 / rate}, [this, service] { send(service); });
            ++m_left;
        }
    }
    void at(Millis time, std::function<void()> fn)
    {
        m_loop.timers().after(time, std::move(fn));
    }
    /// Until each request has its answer or its timeout.
    void run()
    {
        m_loop.run();
    }
    /// The balancer sends no more requests to this entry.
    void remove(std::size_t entry)
    {
        m_removed = entry;
    }

    std::map<std::string, std::vector<Sent>> sent;

private:
    std::size_t pickEntry()
    {
        const auto entry = balancer[m_next++ % balancer.size()];
        return entry == m_removed ? 0 : entry;
    }
    void send(const std::string &service)
    {
        auto &list = sent[service];
        const auto index = list.size();
        const auto entry = pickEntry();
        list.push_back({entry, m_clock.boot() - m_start, {}});
        TargetRequest request{.address = m_fleet.entries[entry].callers,
                              .method = "POST",
                              .path = "/" + service + servicePath,
                              .headers = {{"X-Deadline-Ms", "1000"}},
                              .timeout = callerTimeout};
        m_client.send(std::move(request), [this, &list, index](TargetResult result) {
            if (result.outcome == TargetOutcome::Answered) {
                list[index].answer = {result.status, std::move(result.headers), std::move(result.body)};
            }
            if (--m_left == 0) {
                m_loop.stop();
            }
        });
    }

    const Fleet &m_fleet;
    EventLoop m_loop;
    HttpClient m_client;
    Clock m_clock = systemClock();
    Millis m_start;
    std::size_t m_next = 0;
    std::size_t m_left = 0;
    std::size_t m_removed = entryCount;
};

/// Answers by kind; checks each refusal for its status, its headers and that no target saw the request.
std::map<std::string, int> checkAnswers(const std::vector<Sent> &sent, const nlohmann::json &byRequest, bool isEntryKilled)
{
    std::map<std::string, int> kinds;
    for (const auto &[entry, at, answer] : sent) {
        const auto kind = answer.status == 0 ? "none" : answer.outcome();
        ++kinds[kind];
        // Only an entry that was killed may leave a caller without an answer.
        CHECK((answer.status != 0 || (isEntryKilled && entry == killedEntry)));
        const std::string id(headerValue(answer.headers, "X-Request-Id"));
        if (kind == "finished") {
            CHECK(answer.status == 200);
            CHECK(byRequest.value(id, 0) == 1);
        } else if (kind == "not-run") {
            CHECK(answer.status == 503);
            CHECK(!headerValue(answer.headers, "Retry-After").empty());
            CHECK(byRequest.value(id, 0) == 0);
        }
    }
    return kinds;
}

std::string text(const std::map<std::string, int> &kinds)
{
    std::string out;
    for (const auto &[kind, n] : kinds) {
        out += " " + kind + " " + std::to_string(n);
    }
    return out;
}

} // namespace

TEST_CASE("a surge of one service exceeds no VM's slots, touches no other service and is refused truthfully", "[process][overload]")
{
    // Guards against: a VM with more requests than slots while entries lend slots under an uneven load; a surge that
    // delays or refuses another service's requests; a refusal without Retry-After; a refusal of a request that ran.
    // With a killed entry also against: slots of the dead entry given away while its requests still run, and callers
    // of the other entries who get no answer.
    const bool isEntryKilled = GENERATE(false, true);
    const auto fleet = startFleet(entryCount, 2, 2);
    Callers callers(fleet);
    const auto end = meanTime + surgeTime + meanTime;
    callers.load("svc0", {}, meanTime, meanRate);
    callers.load("svc0", meanTime, meanTime + surgeTime, meanRate * surgeFactor);
    callers.load("svc0", meanTime + surgeTime, end, meanRate / 20);
    callers.load("svc1", {}, end, meanRate);
    if (isEntryKilled) {
        callers.at(meanTime + surgeTime / 2, [&] {
            fleet.entries[killedEntry].process->signal(SIGKILL);
            callers.remove(killedEntry);
        });
    }
    callers.run();
    const auto report = fleet.targetReport();
    const auto surging = checkAnswers(callers.sent["svc0"], report.at("byRequest"), isEntryKilled);
    const auto other = checkAnswers(callers.sent["svc1"], report.at("byRequest"), isEntryKilled);
    std::cout << "surge" << (isEntryKilled ? ", one entry killed" : "") << ": surging service" << text(surging) << "; other service"
              << text(other) << "; most in flight " << report.at("maxInFlight").dump() << '\n';
    for (const auto &vm : fleet.targets) {
        CHECK(report.at("maxInFlight").value(vm, 0) <= slotsPerVm);
    }
    CHECK(surging.contains("not-run")); // Without refusals the surge was within the capacity and shows nothing.
    for (const auto &[entry, at, answer] : callers.sent["svc1"]) {
        const bool lostWithEntry = isEntryKilled && entry == killedEntry && answer.status == 0;
        CHECK((answer.outcome() == "finished" || lostWithEntry));
    }
}
