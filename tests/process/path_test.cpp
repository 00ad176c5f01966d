// The whole path as separate processes: caller, entry, target, and a document that changes where requests go.
#include "process/harness.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;

TEST_CASE("a request through any entry reaches a VM of the right pool and its answer comes back whole", "[process]")
{
    const auto fleet = startFleet(3, 2, 2);
    for (std::size_t i = 0; i < 3; ++i) {
        const auto answer = fleet.call(i, "POST", "/svc1/price?width=3&note=%20x", std::string(100'000, 'b'));
        CHECK(answer.status == 200);
        CHECK(answer.outcome() == "finished");
        const auto vm = std::string(headerValue(answer.headers, "X-Vm"));
        CHECK((vm == fleet.targets[2] || vm == fleet.targets[3]));
        CHECK(headerValue(answer.headers, "X-Echo") == headerValue(answer.headers, "X-Request-Id"));
        const bool whole = answer.body == "POST /svc1/price by " + vm + "\n" + std::string(100'000, 'b');
        CHECK(whole);
    }
}

TEST_CASE("an unknown service and an oversized body are refused before anything reaches a target", "[process]")
{
    const auto fleet = startFleet(1, 1, 1);
    CHECK(fleet.call(0, "GET", "/nosuch/").status == 404);
    const auto before = fleet.targetReport()["byVm"];
    const auto answer = fleet.call(0, "POST", "/svc0/", std::string(2 << 20, 'x'));
    CHECK((answer.status == 413 || answer.status == 0));
    CHECK(fleet.targetReport()["byVm"] == before);
}
