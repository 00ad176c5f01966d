// Compares ways to share the slots of VMs between entries on a manual clock. Usage: limits [first seed] [seeds]
//
// Nine entries and three pools of ten workers with eight slots each. Service times are exponential with a mean of
// 100 ms. A worker runs eight requests at once and queues the rest. It stops a request at its deadline, but where a case
// says that workers run on: there it finishes every request that it has received.
#include "limits_run.hpp"

#include <cstdio>
#include <cstdlib>

using namespace hibiscusbridge;

static void add(Figures &sum, const Figures &it)
{
    sum.arrivals += it.arrivals;
    sum.sends += it.sends;
    sum.over += it.over;
    sum.refused += it.refused;
    sum.late += it.late;
    sum.latencies.insert(sum.latencies.end(), it.latencies.begin(), it.latencies.end());
}

static double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

static std::int64_t quantile(std::vector<std::int64_t> &values, double q)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

/// Share of the surging pool's requests that its slots can serve when none is ever idle from the start of the surge to
/// one deadline after its end.
static double capacityBound(bool hasSurge)
{
    const double served = hasSurge ? 1 + 1.2 / meanLoad + 0.05 : 3;
    const double offered = hasSurge ? 1 + 5 + 0.05 : 3;
    return served / offered;
}

static void report(Way way, const Scenario &scenario, const Site &site, unsigned firstSeed, unsigned seeds)
{
    constexpr const char *names[] = {"(a) two choices", "(b) exchange 100 ms", "(c) fixed shares", "(d) lending"};
    Figures surging;
    Figures others;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    for (unsigned seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        Run run(way, scenario, site, seed);
        run.execute();
        add(surging, run.surging);
        add(others, run.others);
        messages += run.messages;
        bytes += run.bytes;
    }
    const auto entrySeconds = static_cast<double>(seeds * entryCount) * static_cast<double>((phase * 3).count) / 1000;
    std::printf("| %s | %s | %s | %.2f | %.3f | %.3f | %lld | %lld | %.3f | %.3f | %.3f | %lld | %lld | %.0f | %.1f |\n",
                site.name,
                scenario.name,
                names[static_cast<std::size_t>(way)],
                share(surging.over + others.over, surging.sends + others.sends) * 100,
                share(surging.latencies.size(), surging.arrivals),
                capacityBound(scenario.hasSurge),
                static_cast<long long>(quantile(surging.latencies, 0.5)),
                static_cast<long long>(quantile(surging.latencies, 0.99)),
                share(surging.refused, surging.arrivals),
                share(surging.late, surging.arrivals),
                share(others.latencies.size(), others.arrivals),
                static_cast<long long>(quantile(others.latencies, 0.5)),
                static_cast<long long>(quantile(others.latencies, 0.99)),
                static_cast<double>(messages) / entrySeconds,
                static_cast<double>(bytes) / entrySeconds / 1000);
}

int main(int argc, char **argv)
{
    const auto firstSeed = static_cast<unsigned>(argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 1);
    const auto seeds = static_cast<unsigned>(argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 3);
    const Site sites[] = {{"Cedarpost", {80, 15, 5}, {2}}, {"Kelanipura", {50, 45, 5}, {6}}};
    const Scenario scenarios[] = {{"surge", true, false, false, false},
                                  {"surge, uneven balancer", true, true, false, false},
                                  {"surge, entry dies", true, false, true, false},
                                  {"surge, workers run on", true, false, false, true},
                                  {"no surge, uneven balancer", false, true, false, false}};
    std::printf("| site | case | way | over limit %% | goodput | bound | p50 ms | p99 ms | refused | late in queue "
                "| others goodput | others p50 | others p99 | messages/s | KB/s |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &site : sites) {
        for (const auto &scenario : scenarios) {
            for (const auto way : {Way::Alone, Way::Exchange, Way::Shares, Way::Lending}) {
                report(way, scenario, site, firstSeed, seeds);
            }
        }
    }
    return 0;
}
