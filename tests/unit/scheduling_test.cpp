// Scheduling order, placement, VM moves and maintenance planning, tested on plain structs.
#include "model/queues.hpp"
#include "scheduling/order.hpp"
#include "scheduling/placement.hpp"
#include "upkeep/maintenance.hpp"
#include "upkeep/moves.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

static Candidate makeCandidate(std::int64_t freeCpu, std::string_view rack = "r1")
{
    return {.free = {freeCpu, 10'000, 0}, .capacity = {32'000, 64'000, 0}, .rack = rack, .usable = true};
}

TEST_CASE("placement respects free resources, labels and the per-worker limit")
{
    const std::vector<std::string> labels{"fast", "r1"};
    StepSpec step{.count = 1, .need = {2'000, 100, 0}};
    auto worker = makeCandidate(2'000);
    worker.labels = labels;
    CHECK(canTake(step, worker));
    step.need.cpuMilli = 2'001;
    CHECK_FALSE(canTake(step, worker));
    step.usesSpareCpu = true;
    CHECK(canTake(step, worker));
    step.requiredLabel = "slow";
    CHECK_FALSE(canTake(step, worker));
    step.requiredLabel = "fast";
    step.maxPerWorker = 1;
    worker.siblings = 1;
    CHECK_FALSE(canTake(step, worker));
    worker.siblings = 0;
    worker.usable = false;
    CHECK_FALSE(canTake(step, worker));
}

TEST_CASE("short subtasks are packed onto the fullest worker and long-running ones onto workers that run others")
{
    // If subtasks were spread, every VM of a nearly idle pool would run one or two and none could be moved to a pool under a load
    // surge.
    std::vector<Candidate> workers{makeCandidate(30'000), makeCandidate(4'000), makeCandidate(16'000)};
    StepSpec step{.count = 1, .need = {3'000, 100, 0}};
    CHECK(chooseWorker(step, workers, {}) == 1U);
    step.need.cpuMilli = 8'000;
    CHECK(chooseWorker(step, workers, {}) == 2U);
    step.longRunning = true;
    CHECK(chooseWorker(step, workers, {}) == 2U);
    workers[0].serving = 1;
    CHECK(chooseWorker(step, workers, {}) == 0U);
    workers[2].serving = 2;
    CHECK(chooseWorker(step, workers, {}) == 2U);
}

TEST_CASE("placement prefers the rack of the data unless the worker has a failure penalty")
{
    std::vector<Candidate> workers{makeCandidate(4'000, "r1"), makeCandidate(20'000, "r2")};
    StepSpec step{.count = 1, .need = {1'000, 100, 0}};
    step.preferredRack = "r2";
    CHECK(chooseWorker(step, workers, {}) == 1U);
    workers[1].failurePenalty = 1;
    CHECK(chooseWorker(step, workers, {}) == 0U);
}

TEST_CASE("a gang is placed completely or not at all, on a single rack if one has room")
{
    const std::vector<Candidate> workers{makeCandidate(2'000, "r1"), makeCandidate(2'000, "r2"), makeCandidate(2'000, "r2")};
    StepSpec step{.count = 2, .need = {2'000, 100, 0}};
    step.gang = step.sameRack = true;
    CHECK(chooseGang(step, workers, 2) == std::vector<std::size_t>{1, 2});
    CHECK(chooseGang(step, workers, 3) == std::vector<std::size_t>{0, 1, 2});
    CHECK_FALSE(chooseGang(step, workers, 4));
}

TEST_CASE("the latency objective is derived from the critical path of the steps")
{
    JobSpec spec;
    spec.steps = {{.count = 1, .estimate = {400}}, {.count = 4, .estimate = {300}, .after = {0}}, {.count = 1, .estimate = {500}}};
    spec.policy = {.stretch = 2, .latencyTarget = {600}};
    CHECK(criticalPath(spec) == Millis{700});
    CHECK(latencyObjective(spec) == Millis{2'000});
}

TEST_CASE("jobs that can meet their objective precede late ones, smallest remaining work first")
{
    const QueuedWork small{.age = {100}, .objective = {1'000}, .remainingCriticalPath = {500}, .remainingWork = 10};
    QueuedWork large = small;
    large.remainingWork = 100;
    QueuedWork late = small;
    late.age = {800};
    QueuedWork expired = small;
    expired.age = {9'000};
    QueuedWork longRunningWork = expired;
    longRunningWork.longRunning = true;
    CHECK(precedes(small, large));
    CHECK(precedes(large, late));
    CHECK(precedes(late, expired));
    CHECK(precedes(longRunningWork, small));
    QueuedWork urgent = large;
    large.priority = 1;
    CHECK(precedes(urgent, large));
}

static PoolDemand makePool(int vms, std::int64_t arrivingCpu, const std::string &name)
{
    PoolDemand pool;
    for (int i = 0; i < vms; ++i) {
        pool.report.vms[name + std::to_string(i)] = {.capacityCpu = 32'000};
    }
    pool.report.arrivingCpu = pool.report.previousArrivingCpu = arrivingCpu;
    pool.averageVms = vms;
    return pool;
}

TEST_CASE("an overloaded pool gets standby VMs first, then idle VMs of other pools")
{
    const MoveSettings settings;
    FleetDemand fleet;
    fleet.pools["busy"] = makePool(4, 400'000, "b");
    fleet.pools["idle"] = makePool(10, 0, "i");
    fleet.standby["spare"] = {"s0", "s1"};
    const auto moves = planMoves(fleet, settings);
    const int need = neededVms(fleet.pools["busy"], settings);
    REQUIRE(need > 10);
    // The shortage exceeds the standby pool; the idle pool keeps the VMs that it needs.
    CHECK(static_cast<int>(moves.size()) == std::min(need - 4, 2 + 10 - neededVms(fleet.pools["idle"], settings)));
    CHECK(moves[0].from == "spare");
    CHECK(moves[1].from == "spare");
    CHECK(moves[2].from == "idle");
}

TEST_CASE("scarce VMs are divided in proportion to need, and a pool above its share gives VMs up")
{
    // The pool whose backlog is largest must not take every VM and keep it while other pools start to need some.
    const MoveSettings settings;
    FleetDemand fleet;
    fleet.pools["large"] = makePool(69, 6'000'000, "l");
    fleet.pools["small"] = makePool(5, 2'000'000, "s");
    fleet.pools["third"] = makePool(21, 1'000'000, "t");
    const auto shares = divideVms(fleet, settings);
    const auto part = [&](const std::string &name) {
        return static_cast<double>(shares.at(name)) / neededVms(fleet.pools.at(name), settings);
    };
    CHECK(part("large") == Approx(part("small")).margin(0.05));
    CHECK(part("third") == Approx(part("small")).margin(0.05));
    CHECK(shares.at("large") + shares.at("small") + shares.at("third") <= 95);
    const auto moves = planMoves(fleet, settings);
    REQUIRE_FALSE(moves.empty());
    for (const auto &it : moves) {
        CHECK(it.to == "small");
    }
    // Near the shares nothing moves.
    fleet.pools["large"] = makePool(shares.at("large") + 2, 6'000'000, "l");
    fleet.pools["small"] = makePool(shares.at("small") - 1, 2'000'000, "s");
    fleet.pools["third"] = makePool(95 - shares.at("large") - shares.at("small") - 1, 1'000'000, "t");
    CHECK(planMoves(fleet, settings).empty());
}

TEST_CASE("expired work takes no VM that work with value needs")
{
    FleetDemand fleet;
    fleet.pools["busy"] = makePool(10, 400'000, "b");
    fleet.pools["expired"] = makePool(20, 0, "e");
    fleet.pools["expired"].report.expiredBacklog = 60'000'000;
    fleet.pools["expired"].report.expiredRunnableCpu = 6'000'000;
    const int need = neededVms(fleet.pools.at("busy"), {});
    REQUIRE(need > 10);
    REQUIRE(need < 30);
    auto shares = divideVms(fleet, {});
    CHECK(shares.at("busy") == need);
    CHECK(shares.at("expired") == 30 - need);
    CHECK(static_cast<int>(planMoves(fleet, {}).size()) == need - 10);
    // With no VM left over, the pool keeps its minimum.
    fleet.pools["busy"] = makePool(10, 4'000'000, "b");
    shares = divideVms(fleet, {});
    CHECK(shares.at("expired") == MoveSettings{}.spareVms);
    CHECK(shares.at("busy") == 30 - MoveSettings{}.spareVms);
}

TEST_CASE("standby VMs go to work with value before expired work, however large its backlog")
{
    FleetDemand fleet;
    fleet.pools["busy"] = makePool(2, 64'000, "b");
    fleet.pools["expired"] = makePool(2, 0, "e");
    fleet.pools["expired"].report.expiredBacklog = 60'000'000;
    fleet.pools["expired"].report.expiredRunnableCpu = 6'000'000;
    fleet.standby["standby"] = {"s0", "s1", "s2"};
    MoveSettings settings;
    settings.maxMoves = 1;
    REQUIRE(neededVms(fleet.pools.at("busy"), settings) == 3);
    const auto moves = planMoves(fleet, settings);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].to == "busy");
}

TEST_CASE("the VMs of long-running subtasks come before any other need")
{
    FleetDemand fleet;
    fleet.pools["busy"] = makePool(20, 6'000'000, "b");
    fleet.pools["lasting"] = makePool(10, 0, "l");
    fleet.pools["lasting"].report.longRunningVms = 9;
    CHECK(divideVms(fleet, {}).at("lasting") == 10);
}

TEST_CASE("pinned VMs and VMs with long-running subtasks are not moved")
{
    FleetDemand fleet;
    fleet.pools["busy"] = makePool(1, 400'000, "b");
    fleet.pools["idle"] = makePool(3, 0, "i");
    fleet.pools["idle"].report.vms["i0"].longRunning = 1;
    fleet.pinned = {"i1"};
    const auto moves = planMoves(fleet, {});
    REQUIRE(moves.size() == 1);
    CHECK(moves[0] == VmMove{"i2", "idle", "busy"});
}

TEST_CASE("a pool that is idle for long releases only the VMs above its usual size")
{
    FleetDemand fleet;
    fleet.pools["pool"] = makePool(6, 0, "p");
    fleet.pools["pool"].averageVms = 4;
    fleet.standby["spare"] = {};
    CHECK(planMoves(fleet, {}).empty());
    fleet.pools["pool"].sustainedSurplus = true;
    CHECK(planMoves(fleet, {}).size() == 2);
}

TEST_CASE("work that will miss its objective requires fewer VMs than work that can meet it")
{
    // Otherwise a pool would claim the VMs needed for the next load surge for jobs that have lost their value.
    auto pool = makePool(4, 0, "p");
    pool.report.urgentCpu = cpuForObjective(600'000, {2'400});
    const int onTime = neededVms(pool, {});
    pool.report.urgentCpu = 0;
    pool.report.lateBacklog = 600'000;
    CHECK(neededVms(pool, {}) < onTime / 2);
}

TEST_CASE("work with a long objective requires less CPU than the same work with a short one")
{
    // Otherwise a pool of long jobs would claim all VMs while a load surge begins in a pool of short jobs.
    CHECK(cpuForObjective(600'000, {6'000}) * 2 < cpuForObjective(600'000, {2'400}) + 1);
    CHECK(cpuForObjective(600'000, {10}) <= 1'000'000);
}

static WaveProgress makeWave(int vms, int maxAtOnce)
{
    WaveProgress progress;
    progress.wave = {.number = 1, .maxAtOnce = maxAtOnce};
    for (int i = 0; i < vms; ++i) {
        progress.wave.vms.push_back("v" + std::to_string(i));
    }
    return progress;
}

static FleetView makeFleet(int vms)
{
    FleetView fleet;
    for (int i = 0; i < vms; ++i) {
        const auto name = "v" + std::to_string(i);
        fleet.vms[name] = {.vm = name, .pool = "pool", .state = VmState::Up};
    }
    return fleet;
}

TEST_CASE("a wave never has more VMs ordered or in maintenance than its limit")
{
    auto wave = makeWave(6, 2);
    auto fleet = makeFleet(30);
    for (const auto &it : wave.wave.vms) {
        fleet.drained.insert(it);
        fleet.draining.insert(it);
    }
    CHECK(planMaintenance({wave}, fleet).maintain.size() == 2);
    wave.ordered = {"v0"};
    CHECK(planMaintenance({wave}, fleet).maintain.size() == 1);
    fleet.inMaintenance = {"v1"};
    wave.done = {"v1"};
    CHECK(planMaintenance({wave}, fleet).maintain.empty());
}

TEST_CASE("a VM ordered for maintenance stays cordoned, and one not reported empty is not ordered")
{
    // Guards against a pool placing work on a VM between its report and the maintenance order.
    auto wave = makeWave(3, 1);
    auto fleet = makeFleet(9);
    CHECK(planMaintenance({wave}, fleet).maintain.empty());
    wave.ordered = {"v2"};
    CHECK(planMaintenance({wave}, fleet).drain.contains("v2"));
}

TEST_CASE("a wave completes only when each of its VMs has started maintenance or is gone")
{
    auto wave = makeWave(2, 2);
    auto fleet = makeFleet(1);
    wave.done = {"v0"};
    const auto plan = planMaintenance({wave}, fleet);
    CHECK(plan.completed.empty());
    REQUIRE(plan.removed.size() == 1);
    wave.done.insert("v1");
    CHECK(planMaintenance({wave}, fleet).completed.size() == 1);
    wave.done.erase("v0");
    CHECK(planMaintenance({wave}, fleet).completed.empty());
}

TEST_CASE("a queue is matched by host and longest path prefix")
{
    Configuration configuration;
    configuration.queues = {{.name = "a", .host = "h", .pathPrefix = "/x/"}, {.name = "b", .host = "h", .pathPrefix = "/x/y/"}};
    CHECK(findQueue(configuration, "h:80", "/x/y/1")->name == "b");
    CHECK(findQueue(configuration, "h", "/x/1")->name == "a");
    CHECK(findQueue(configuration, "g", "/x/1") == nullptr);
    CHECK(findQueue(configuration, "h", "/z") == nullptr);
}
