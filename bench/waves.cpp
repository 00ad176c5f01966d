// Compares the wave planner with simple schedules and a lower bound. Steps a view with a fake clock of one minute; an
// operation takes a fixed time.
#include "fleet/wave.hpp"

#include <algorithm>
#include <cstdio>
#include <random>
#include <spdlog/fmt/fmt.h>

using namespace hibiscusbridge;

namespace
{

constexpr Millis minute{60'000};
constexpr Millis maintenanceTime = minute * 10;
constexpr Millis moveTime = minute * 2;
constexpr Millis repairTime = minute * 30;
constexpr Millis domainRepairTime = minute * 60;
constexpr Millis failureAt = minute * 20;
constexpr Millis limit = minute * 60 * 24;
constexpr unsigned seed = 20;

using Policy = WavePlan (*)(const View &, const Wave &, const FleetHealth &, Millis);

struct Shape {
    std::string name;
    int pools;
    int perPool;
    int sparePools;
    int perSparePool;
    int zones;
    Pool budget;
    Weights weights;
};

struct Result {
    std::int64_t minutes = 0;
    double vmHoursOut = 0;
    double vmHoursReserved = 0;
    int moves = 0;
    /// Pool-minutes below minHealthy, and the part of them in which the pool also had VMs out for planned work.
    int violations = 0;
    int plannedViolations = 0;
};

View makeFleet(const Shape &shape)
{
    View view;
    view.document.weights = shape.weights;
    const int total = shape.pools * shape.perPool + shape.sparePools * shape.perSparePool;
    std::vector<std::string> slots;
    for (int n = 0; n < std::max(shape.perPool, shape.perSparePool); ++n) {
        for (int pool = 0; pool < shape.pools + shape.sparePools; ++pool) {
            const bool spare = pool >= shape.pools;
            if (n < (spare ? shape.perSparePool : shape.perPool)) {
                slots.push_back(fmt::format("{}{}", spare ? "spare" : "p", pool));
            }
        }
    }
    for (int j = 0; j < total; ++j) {
        const auto id = fmt::format("vm{:03}", j);
        const auto &pool = slots[static_cast<std::size_t>(j)];
        auto budget = pool.starts_with("spare") ? Pool{.mayLose = 4, .spare = true} : shape.budget;
        budget.name = pool;
        view.document.pools[pool] = budget;
        const auto rack = fmt::format("r{:03}", j / 4);
        const auto zone = fmt::format("z{}", j / 4 % shape.zones);
        view.document.vms[id] = {.id = id, .pool = pool, .zone = zone, .rack = rack};
        view.vms[id] = {.id = id, .pool = pool, .zone = zone, .rack = rack};
    }
    return view;
}

/// Takes out as many VMs of each pool as `perPool` allows, whatever else has failed.
WavePlan fixedPerPool(const View &view, const Wave &wave, std::uint32_t perPool)
{
    WavePlan plan;
    auto count = countFleet(view, {});
    plan.finished = true;
    for (const auto &[id, vm] : view.vms) {
        plan.finished = plan.finished && !(vm.operation && vm.operation->wave == wave.id);
        if (vm.state != VmState::Active || vm.maintainedAt >= wave.startedAt) {
            continue;
        }
        plan.finished = false;
        if (count.pools[vm.pool].planned < perPool) {
            countRemoval(count, vm);
            plan.remove.push_back(id);
        }
    }
    return plan;
}

WavePlan oneAtATime(const View &view, const Wave &wave, const FleetHealth & /*health*/, Millis /*now*/)
{
    return fixedPerPool(view, wave, 1);
}

WavePlan twoAtATime(const View &view, const Wave &wave, const FleetHealth & /*health*/, Millis /*now*/)
{
    return fixedPerPool(view, wave, 2);
}

/// All VMs of the first rack that is not done, when no other rack is out.
WavePlan rackByRack(const View &view, const Wave &wave, const FleetHealth & /*health*/, Millis /*now*/)
{
    auto plan = fixedPerPool(view, wave, 0);
    const bool out =
        std::ranges::any_of(view.vms, [](const auto &it) { return it.second.operation && !it.second.operation->wave.empty(); });
    std::string rack;
    for (const auto &[id, vm] : view.vms) {
        const bool due = !out && vm.state == VmState::Active && vm.maintainedAt < wave.startedAt;
        if (due && (rack.empty() || rack == vm.rack)) {
            rack = vm.rack;
            plan.remove.push_back(id);
        }
    }
    return plan;
}

void begin(View &view, const std::string &vm, Operation operation, Millis now)
{
    auto &row = view.vms.at(vm);
    row.state = VmState::Drained;
    row.since = now;
    row.operation = std::move(operation);
}

void finishDue(View &view, Millis now, const std::map<std::string, Millis> &repairedAt)
{
    for (auto &[id, vm] : view.vms) {
        if (vm.state == VmState::Failed) {
            if (now < repairedAt.at(id)) {
                continue;
            }
            const auto count = countFleet(view, {});
            const auto &own = count.pools.at(vm.pool);
            if (own.healthy + own.planned + own.inbound >= own.declared && !own.budget.spare) {
                vm.pool = std::ranges::find_if(count.pools, [](const auto &it) { return it.second.budget.spare; })->first;
                vm.declaredPool = view.document.vms.at(id).pool;
            }
            vm.maintainedAt = now;
        } else if (!vm.operation || now < vm.since + (vm.operation->kind == OperationKind::Move ? moveTime : maintenanceTime)) {
            continue;
        } else if (vm.operation->kind == OperationKind::Move) {
            vm.declaredPool = view.document.vms.at(id).pool;
            vm.pool = vm.operation->destinationPool;
        } else {
            vm.maintainedAt = now;
        }
        vm.state = VmState::Active;
        vm.operation.reset();
    }
}

using Failures = std::multimap<Millis, std::pair<std::string, Millis>>;

Failures makeFailures(const View &view, const std::string &scenario, Millis start)
{
    Failures failures;
    std::mt19937 random(seed);
    for (int n = 0; scenario == "vm failures" && n < 3; ++n) {
        auto it = std::next(view.vms.begin(), static_cast<std::ptrdiff_t>(random() % view.vms.size()));
        failures.emplace(start + minute * static_cast<std::int64_t>(random() % 60), std::pair(it->first, repairTime));
    }
    for (const auto &[id, vm] : view.vms) {
        if ((scenario == "rack lost" && vm.rack == "r002") || (scenario == "zone lost" && vm.zone == "z1")) {
            failures.emplace(start + failureAt, std::pair(id, domainRepairTime));
        }
    }
    return failures;
}

/// Spares that each pool would hold for itself; the planner shares them instead.
std::uint32_t separateReserve(const FleetCount &count)
{
    std::uint32_t sum = 0;
    for (const auto &[name, pool] : count.pools) {
        std::uint32_t worst = 0;
        for (const auto &[domain, lost] : pool.domains) {
            const auto needed = pool.budget.minHealthy + lost;
            worst = std::max(worst, needed > pool.healthy ? needed - pool.healthy : 0);
        }
        sum += pool.budget.spare ? 0 : worst;
    }
    return sum;
}

void measure(const View &view, bool shared, Result &result)
{
    const auto count = countFleet(view, {});
    for (const auto &[name, pool] : count.pools) {
        result.vmHoursOut += pool.planned / 60.0;
        const bool below = pool.healthy < pool.budget.minHealthy;
        result.violations += below ? 1 : 0;
        result.plannedViolations += below && pool.planned > 0 ? 1 : 0;
    }
    result.vmHoursReserved += (shared ? count.reserve() : separateReserve(count)) / 60.0;
}

/// Replaces failed VMs from the spares; the same for every policy.
int refill(View &view, Millis now)
{
    int moves = 0;
    for (const auto &[name, budget] : view.document.pools) {
        const auto count = countFleet(view, {});
        const auto &pool = count.pools.at(name);
        const bool lacks = !budget.spare && pool.failed > 0 && pool.healthy + pool.planned + pool.inbound < pool.declared;
        if (const auto *spare = lacks ? findSpare(view, count, {}, name) : nullptr) {
            begin(view, spare->id, {.kind = OperationKind::Move, .destinationPool = name}, now);
            ++moves;
        }
    }
    return moves;
}

Result run(const Shape &shape, Policy policy, const std::string &scenario)
{
    auto view = makeFleet(shape);
    const Millis start = minute;
    const Wave wave{.id = "w", .startedAt = start};
    auto failures = makeFailures(view, scenario, start);
    std::map<std::string, Millis> repairedAt;
    Result result;
    for (auto now = start; now < start + limit; now += minute) {
        finishDue(view, now, repairedAt);
        for (; !failures.empty() && failures.begin()->first <= now; failures.erase(failures.begin())) {
            const auto &[vm, duration] = failures.begin()->second;
            repairedAt[vm] = now + duration;
            view.vms.at(vm).state = VmState::Failed;
            view.vms.at(vm).operation.reset();
        }
        const bool failed = std::ranges::any_of(view.vms, [](const auto &it) { return it.second.state == VmState::Failed; });
        result.moves += failed ? refill(view, now) : 0;
        const auto plan = policy(view, wave, {}, now);
        if (plan.finished && !failed && failures.empty()) {
            return result;
        }
        for (const auto &vm : plan.remove) {
            begin(view, vm, {.kind = OperationKind::Reboot, .wave = "w"}, now);
        }
        for (const auto &moves : {plan.bringIn, plan.restore}) {
            for (const auto &move : moves) {
                begin(view, move.vm, {.kind = OperationKind::Move, .destinationPool = move.pool, .wave = "w"}, now);
                ++result.moves;
            }
        }
        measure(view, policy == planWave, result);
        result.minutes += plan.finished ? 0 : 1;
    }
    return result;
}

/// Holds for schedules that keep mayLose: each VM is out for one maintenance, and a pool has at most mayLose VMs out, so
/// the longest pool needs ceil(VMs / mayLose) maintenances one after the other. Under faults, VMs that fail are left out,
/// because their restart counts as maintenance, and so are spare pools, because their VMs may be maintained elsewhere.
Result lowerBound(const Shape &shape, const std::string &scenario)
{
    const auto view = makeFleet(shape);
    std::set<std::string> failed;
    for (const auto &[at, failure] : makeFailures(view, scenario, {})) {
        failed.insert(failure.first);
    }
    std::map<std::string, std::uint32_t> due;
    for (const auto &[id, vm] : view.vms) {
        due[vm.pool] += failed.contains(id) ? 0 : 1;
    }
    Result result;
    for (const auto &[name, pool] : view.document.pools) {
        const auto rounds = pool.spare && !failed.empty() ? 0 : (due[name] + pool.mayLose - 1) / pool.mayLose;
        result.minutes = std::max(result.minutes, rounds * maintenanceTime.count / minute.count);
    }
    result.vmHoursOut = static_cast<double>(view.vms.size() - failed.size()) * static_cast<double>(maintenanceTime.count) / 3'600'000.0;
    return result;
}

void print(const Shape &shape, const std::string &scenario, const std::string &name, const Result &result, const Result &bound)
{
    const auto buffer = result.vmHoursOut + result.vmHoursReserved;
    fmt::print("| {} | {} | {} | {:.1f} | {:.2f} | {:.2f} | {:.2f} | {} | {} | {} |\n",
               shape.name,
               scenario,
               name,
               buffer,
               buffer / bound.vmHoursOut,
               static_cast<double>(result.minutes) / 60.0,
               static_cast<double>(result.minutes) / static_cast<double>(bound.minutes),
               result.moves,
               result.violations,
               result.plannedViolations);
    std::fflush(stdout);
}

} // namespace

int main()
{
    const Pool small{.minHealthy = 8, .mayLose = 2};
    const std::vector<Shape> shapes{
        {"Cedarpost", 4, 10, 1, 10, 3, small, {.bufferCost = 4, .rollOutTime = 1, .moves = 1}},
        {"Kelanipura", 4, 10, 1, 10, 3, small, {.bufferCost = 1, .rollOutTime = 4, .moves = 1}},
        {"target", 150, 3, 3, 20, 7, {.minHealthy = 2, .mayLose = 1}, {}},
    };
    fmt::print("| fleet | scenario | schedule | buffer VM-h | ratio | roll-out h | ratio | moves | pool-min below | of these planned |\n");
    fmt::print("|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &shape : shapes) {
        for (const std::string scenario : {"no faults", "vm failures", "rack lost", "zone lost"}) {
            const auto bound = lowerBound(shape, scenario);
            print(shape, scenario, "planner", run(shape, planWave, scenario), bound);
            print(shape, scenario, "one per pool", run(shape, oneAtATime, scenario), bound);
            print(shape, scenario, "two per pool", run(shape, twoAtATime, scenario), bound);
            print(shape, scenario, "rack by rack", run(shape, rackByRack, scenario), bound);
            print(shape, scenario, "lower bound", bound, bound);
        }
    }
    return 0;
}
