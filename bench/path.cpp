// Compares requests through an entry with direct calls of the target: latency, and requests per second of processor
// time of the entry. Usage: path [REQUESTS]
#include "processstats.hpp"

#include "process/harness.hpp"

#include "adapters/httpclient.hpp"
#include "helpers/ids.hpp"

#include <algorithm>
#include <cstdio>
#include <unistd.h>

using namespace hibiscusbridge;

namespace
{

constexpr std::size_t atOnce = 8;

struct Measured {
    double p50 = 0;
    double p99 = 0;
    std::size_t failed = 0;
    double perCpuSecond = 0;
};

double milliseconds()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

class ClosedLoop
{
public:
    ClosedLoop(std::string address, std::string method, bool withKey)
        : m_client(m_loop, {})
        , m_address(std::move(address))
        , m_method(std::move(method))
        , m_withKey(withKey)
    {
    }

    /// Sends `count` requests, `concurrency` at a time; returns sorted latencies of those answered with 200.
    std::vector<double> run(std::size_t count, std::size_t concurrency)
    {
        m_left = count;
        m_latencies.clear();
        for (std::size_t i = 0; i < concurrency; ++i) {
            next();
        }
        m_loop.run();
        std::sort(m_latencies.begin(), m_latencies.end());
        return std::move(m_latencies);
    }

private:
    void next()
    {
        if (m_left == 0) {
            if (m_open == 0) {
                m_loop.stop();
            }
            return;
        }
        --m_left;
        ++m_open;
        TargetRequest request{.address = m_address, .method = m_method, .path = "/svc0/sleep/0", .timeout = {5'000}};
        if (m_withKey) {
            request.headers.push_back({"Idempotency-Key", m_run + std::to_string(++m_keys)});
            request.body = std::string(200, 'x');
        }
        const auto begin = milliseconds();
        m_client.send(std::move(request), [this, begin](const TargetResult &result) {
            --m_open;
            if (result.outcome == TargetOutcome::Answered && result.status == 200) {
                m_latencies.push_back(milliseconds() - begin);
            }
            next();
        });
    }

    EventLoop m_loop;
    HttpClient m_client;
    std::string m_address;
    std::string m_method;
    bool m_withKey;
    std::string m_run = randomId();
    std::size_t m_left = 0;
    std::size_t m_open = 0;
    std::size_t m_keys = 0;
    std::vector<double> m_latencies;
};

Measured summarize(const std::vector<double> &latencies, std::size_t count)
{
    Measured out{.failed = count - latencies.size()};
    if (!latencies.empty()) {
        out.p50 = latencies[latencies.size() / 2];
        out.p99 = latencies[latencies.size() * 99 / 100];
    }
    return out;
}

void measure(const Fleet &fleet, const std::string &method, bool withKey, std::size_t count)
{
    const auto &entry = fleet.entries.front();
    ClosedLoop direct(fleet.targets.front(), method, withKey);
    ClosedLoop through(entry.callers, method, withKey);
    direct.run(50, 1);
    through.run(50, 1);
    // Alternating rounds, so that other load on the machine meets both.
    std::vector<double> directTimes;
    std::vector<double> throughTimes;
    constexpr std::size_t rounds = 10;
    for (std::size_t i = 0; i < rounds; ++i) {
        std::ranges::copy(direct.run(count / rounds, 1), std::back_inserter(directTimes));
        std::ranges::copy(through.run(count / rounds, 1), std::back_inserter(throughTimes));
    }
    std::ranges::sort(directTimes);
    std::ranges::sort(throughTimes);
    const auto expected = count / rounds * rounds;
    const auto a = summarize(directTimes, expected);
    const auto b = summarize(throughTimes, expected);
    const auto cpu = cpuSeconds(entry.process->pid());
    const auto answered = through.run(count * 4, atOnce).size();
    const auto perCpuSecond = static_cast<double>(answered) / (cpuSeconds(entry.process->pid()) - cpu);
    std::printf("| %s%s | %.2f | %.2f | %.1f | %.2f | %.2f | %.1f | %.0f | %zu |\n",
                method.c_str(),
                withKey ? " with key" : "",
                a.p50,
                b.p50,
                b.p50 / a.p50,
                a.p99,
                b.p99,
                b.p99 / a.p99,
                perCpuSecond,
                a.failed + b.failed + count * 4 - answered);
}

} // namespace

int main(int argc, char **argv)
{
    const std::size_t count = argc > 1 ? std::stoul(argv[1]) : 2'000;
    const auto fleet = startFleet(1, 1, 4);
    std::printf("| request | direct p50 ms | entry p50 ms | ratio | direct p99 ms | entry p99 ms | ratio | requests per core and second | "
                "failed |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    measure(fleet, "GET", false, count);
    measure(fleet, "POST", true, count);
    return 0;
}
