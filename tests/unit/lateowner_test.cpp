// Promises of a pool whose owner is late: its VM has too little processor time, or the store answers slowly.
#include "unit/jobcluster.hpp"


#include <catch2/catch.hpp>
#include <set>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis startupTime{3'000};

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
