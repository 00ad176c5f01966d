// Fault matrix of the fleet manager: every operation x every step x every fault x one or two acting managers.
#include "fleet_world.hpp"

#include "helpers/log.hpp"

#include <catch2/catch.hpp>
#include <cstdio>
#include <spdlog/fmt/fmt.h>

using namespace hibiscusbridge;

namespace
{

std::vector<Case> casesOf(const std::string &operation, int step, bool race)
{
    std::vector<Case> cases;
    const auto faults = {TableFault::ServiceDown, TableFault::ReplyLost, TableFault::LateWrite, TableFault::Slow, TableFault::StaleRead};
    for (const auto fault : faults) {
        for (const int times : {1, 2}) {
            cases.push_back({operation, step, Fault::Commit, fault, times, race});
            cases.push_back({operation, step, Fault::Read, fault, times, race});
        }
    }
    for (const auto fault : {Fault::Dies, Fault::Pauses, Fault::VmFails, Fault::LateReboot}) {
        cases.push_back({operation, step, fault, TableFault::None, 1, race});
    }
    return cases;
}

} // namespace

// Guards against lost, doubled or half-done operations under every listed fault at every commit of the operation.
TEST_CASE("fault matrix of fleet operations", "[fleet][matrix]")
{
    setupLog("error", "test");
    int ran = 0;
    std::map<std::string, int> failures;
    for (const std::string operation : {"drain", "move", "reboot", "repair", "wave"}) {
        for (const bool race : {false, true}) {
            World plain({.operation = operation, .step = -1, .race = race});
            plain.run();
            CHECK(plain.violations.empty());
            for (int step = 0; step < plain.managerCommits; ++step) {
                for (const auto &it : casesOf(operation, step, race)) {
                    World world(it);
                    world.run();
                    ++ran;
                    for (const auto &violation : world.violations) {
                        std::printf("matrix case operation=%s race=%d step=%d fault=%d table=%d times=%d: %s\n",
                                    operation.c_str(),
                                    race,
                                    step,
                                    static_cast<int>(it.fault),
                                    static_cast<int>(it.tableFault),
                                    it.times,
                                    violation.c_str());
                        ++failures[fmt::format("{}{}: {}", operation, race ? " race" : "", violation)];
                    }
                }
            }
            std::printf("matrix operation=%s race=%d steps=%d\n", operation.c_str(), race, plain.managerCommits);
        }
    }
    int failed = 0;
    for (const auto &[what, n] : failures) {
        std::printf("matrix failed %s: %d cases\n", what.c_str(), n);
        failed += n;
    }
    std::printf("matrix cases=%d violations=%d\n", ran, failed);
    CHECK(failed == 0);
}
