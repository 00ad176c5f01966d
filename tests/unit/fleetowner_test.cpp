// The fleet's owner and the stored progress of maintenance waves.
#include "decode.hpp"
#include "fakes/fakeloop.hpp"
#include "fakes/fakestore.hpp"
#include "shards/leases.hpp"
#include "upkeep/fleetowner.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

TEST_CASE("a new fleet owner knows completed waves beyond the first page of the store")
{
    // VMs were maintained a second time: with more than 500 waves in the store, the later ones counted as new.
    constexpr int waveCount = 600;
    FakeLoop loop;
    FakeStore store(loop);
    std::map<std::int64_t, Wave> waves;
    VmListResult vms{.answered = true};
    for (int i = 1; i <= waveCount; ++i) {
        const auto n = std::to_string(i);
        store.put({"waves", fleetShard, n}, R"({"wave":)" + n + R"(,"done":["vm)" + n + R"("],"ordered":[],"completed":true})");
        waves[i].number = i;
        waves[i].vms = {"vm" + n};
        vms.vms.push_back({.vm = "vm" + n, .pool = "pool", .state = VmState::Up});
    }
    FleetOwner::Ports ports{.store = store.port("e"), .timers = loop.timers(), .clock = loop.clock(), .holder = "e"};
    int maintained = 0;
    ports.vms.list = [&](Millis, const std::function<void(VmListResult)> &done) {
        loop.post([done, vms] { done(vms); });
    };
    ports.vms.maintain = [&](const std::string &,
                             std::int64_t,
                             const VmActionHolder &,
                             Millis,
                             const std::function<bool()> &,
                             const std::function<void(VmActionOutcome)> &done) {
        ++maintained;
        loop.post([done] { done(VmActionOutcome::Accepted); });
    };
    ports.mayAct = [] {
        return true;
    };
    ports.condition = [] {
        return RowCondition{{claimTable, fleetShard, "owner"}, 0};
    };
    ports.waves = [&]() -> const std::map<std::int64_t, Wave> & {
        return waves;
    };
    ports.isIdle = [](const std::string &) {
        return true;
    };
    ports.activePools = ports.standbyPools = [] {
        return std::set<std::string>();
    };
    ports.waveStatus = platform::encodeWaveStatus;
    ports.cells = [] {
        return Cells{1};
    };
    FleetOwner owner(1, {}, std::move(ports));
    owner.start();
    loop.advance({5'000});
    CHECK(maintained == 0);
    CHECK(store.value(platform::encodeWaveStatus(99, false).key) == platform::encodeWaveStatus(99, true).value);
}
