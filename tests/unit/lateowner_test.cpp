// Promises of a pool whose owner is late: its VM has too little processor time, or the store answers slowly.
#include "unit/jobcluster.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis startupTime{3'000};
/// The users allow this long for an end to be acknowledged.
constexpr Millis ackTimeout{4'000};

} // namespace

TEST_CASE("an end that waits for its acknowledgement is reported with the reason")
{
    const auto fault = GENERATE(std::string("none"), std::string("store"), std::string("worker"));
    CAPTURE(fault);
    JobCluster cluster(1, 1);
    cluster.loop.advance(startupTime);
    cluster.submit("e0", makeJob(jobId(1), {makeStep(4, 1'000, {300})}));
    cluster.loop.advance({200});
    cluster.store.unresponsive = fault == "store";
    cluster.loop.advance({140});
    if (fault == "worker") {
        cluster.workers.unresponsive = {"w0"};
    }
    cluster.loop.advance({3'000});
    const std::map<std::string, std::set<AckDelay>> expected{
        {"none", {}}, {"store", {AckDelay::RecordNotCommitted}}, {"worker", {AckDelay::WorkerUnreachable}}};
    std::set<AckDelay> seen;
    for (const auto &[delay, reports] : cluster.ackDelays) {
        seen.insert(delay);
    }
    CHECK(seen == expected.at(fault));
}

TEST_CASE("the ends on busy workers are acknowledged although their owner is late")
{
    const auto lag = GENERATE(Millis{0}, Millis{150}, Millis{320}, Millis{450});
    const auto storeLatency = GENERATE(Millis{4}, Millis{250}, Millis{400});
    CAPTURE(lag.count, storeLatency.count);
    JobCluster cluster(1, 3);
    cluster.loop.advance(startupTime);
    cluster.store.latency = storeLatency;
    cluster.delayEntry("e0", lag);
    Millis longest;
    for (int i = 0; i < 200; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(3, 1'000, {180 + 13 * (i % 7)})}));
        cluster.loop.advance({50});
        longest = std::max(longest, cluster.workers.oldestUnacknowledged());
    }
    CHECK(cluster.workers.starts > 50);
    CHECK(longest < ackTimeout);
}
