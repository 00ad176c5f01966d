// Budgets, wave plans and single steps of VM operations.
#include "audit/audit.hpp"
#include "fakes/fakeloop.hpp"
#include "fleet/manager.hpp"

#include <catch2/catch.hpp>
#include <spdlog/fmt/fmt.h>

using namespace hibiscusbridge;

namespace
{

/// Pools a and b of `size` VMs, one VM per rack and pool, and `spares` spares in racks of their own.
View makeView(int size, std::uint32_t minHealthy, std::uint32_t mayLose, int spares)
{
    View view;
    const auto add = [&](const std::string &pool, int n, const std::string &rack) {
        const auto id = fmt::format("{}{}", pool, n);
        view.document.vms[id] = {.id = id, .pool = pool, .zone = rack, .rack = rack};
        view.vms[id] = {.id = id, .pool = pool, .zone = rack, .rack = rack, .version = 7};
    };
    for (const std::string pool : {"a", "b"}) {
        view.document.pools[pool] = {.name = pool, .minHealthy = minHealthy, .mayLose = mayLose};
        for (int n = 1; n <= size; ++n) {
            add(pool, n, fmt::format("r{}", n));
        }
    }
    view.document.pools["s"] = {.name = "s", .mayLose = 1, .spare = true};
    for (int n = 1; n <= spares; ++n) {
        add("s", n, fmt::format("q{}", n));
    }
    view.documentVersion = 5;
    return view;
}

void putOut(View &view, const std::string &vm, VmState state = VmState::Draining)
{
    view.vms.at(vm).state = state;
    view.vms.at(vm).operation = Operation{.kind = OperationKind::Reboot, .wave = "w"};
    view.ledgers[view.vms.at(vm).pool].out.push_back(vm);
}

RemovalDecision decide(const View &view, std::vector<std::string> vms, const FleetHealth &health = {})
{
    return removalDecision(view, vms, health);
}

bool hasPrecondition(const Transaction &transaction, const std::string &key, std::uint64_t version)
{
    return std::ranges::any_of(transaction.preconditions, [&](const auto &it) { return it.key == key && it.version == version; });
}

std::optional<std::string> valueOf(const Transaction &transaction, const std::string &key)
{
    const auto it = std::ranges::find(transaction.writes, key, &Write::key);
    return it == transaction.writes.end() ? std::nullopt : it->value;
}

VmRow rowOf(const Transaction &transaction, const std::string &vm)
{
    const auto value = valueOf(transaction, "view/vm/" + vm);
    return value ? parseVm(*value).value_or(VmRow{}) : VmRow{};
}

AuditEntry auditOf(const Transaction &transaction)
{
    const auto it = std::ranges::find_if(transaction.writes, [](const auto &write) { return write.key.starts_with(auditPrefix); });
    return it == transaction.writes.end() ? AuditEntry{} : parseAudit(*it->value).value_or(AuditEntry{});
}

} // namespace

// Guards against planned work that breaks a budget, and refusals that an operator cannot check.
TEST_CASE("a refusal names the limit with its figures", "[fleet][budget]")
{
    auto view = makeView(4, 3, 1, 1);
    CHECK(decide(view, {"a1"}).allowed);
    CHECK(decide(view, {"a1", "a2"}).reason == "pool a: 2 VMs would be out for planned work, mayLose is 1");
    view.vms.at("a4").state = VmState::Failed;
    CHECK(decide(view, {"a1"}).reason == "pool a: 2 healthy VMs would remain (1 planned out, 1 failed), minHealthy is 3");
    CHECK(decide(view, {"a4"}).reason == "VM a4 is failed, only an active VM can be taken out");
    CHECK(decide(view, {"b1"}, {{"b1"}}).reason == "VM b1 is reported as failed; repair comes first");
}

// Guards against two removals that each count on the only spare.
TEST_CASE("a spare covers one failure only", "[fleet][budget]")
{
    auto view = makeView(4, 3, 1, 1);
    const auto first = decide(view, {"a1"});
    CHECK(first.allowed);
    CHECK(first.usesSpares);
    CHECK(decide(makeView(4, 3, 1, 0), {"a1"}).reason
          == "pool a: if rack r2 fails, 1 of 3 healthy VMs are lost (1 planned out, 0 failed, minHealthy 3); all pools together would "
             "then need 1 spares and 0 are available");
    putOut(view, "a1");
    CHECK_FALSE(decide(view, {"b2"}).allowed);
    CHECK_FALSE(decide(view, {"s1"}).allowed);
    view = makeView(4, 3, 1, 2);
    putOut(view, "a1");
    CHECK(decide(view, {"b2"}).allowed);
    putOut(view, "s1");
    CHECK_FALSE(decide(view, {"b2"}).allowed);
}

// Guards against ignoring zones for pools that have to survive the loss of one.
TEST_CASE("a zone counts as one failure only when the pool survives zones", "[fleet][budget]")
{
    auto view = makeView(5, 3, 1, 0);
    for (auto &[id, vm] : view.vms) {
        vm.zone = vm.rack < "r4" ? "z1" : "z2";
    }
    CHECK(decide(view, {"a5"}).allowed);
    view.document.pools.at("a").survivesZone = true;
    CHECK_THAT(decide(view, {"a5"}).reason, Catch::Contains("if zone z1 fails, 3 of 4 healthy VMs are lost"));
}

// Guards against two commits that rely on the same facts, and against a missing audit entry.
TEST_CASE("a start is conditional on the VM, the ledgers and the document", "[fleet][step]")
{
    auto view = makeView(4, 3, 1, 1);
    view.ledgers["a"] = {.pool = "a", .version = 9};
    const FleetHealth health;
    const OperationStart start{"a1", {.kind = OperationKind::Reboot}};
    const auto transaction = startOperations({view, health, {}, "e1", {60'000}}, std::span(&start, 1));
    REQUIRE(transaction.ok());
    CHECK(hasPrecondition(*transaction, "view/vm/a1", 7));
    CHECK(hasPrecondition(*transaction, "view/pool/a", 9));
    CHECK(hasPrecondition(*transaction, "view/pool/s", 0));
    CHECK(hasPrecondition(*transaction, "view/docversion", 5));
    CHECK(std::ranges::any_of(transaction->writes, [](const auto &it) { return it.key.starts_with("audit/0000000060000-"); }));
}

// Guards against taking back an operation that entries already act on.
TEST_CASE("only an announced operation can be undone", "[fleet][step]")
{
    auto view = makeView(4, 3, 1, 1);
    putOut(view, "a1", VmState::Announced);
    const FleetHealth health;
    CHECK(undoOperation({view, health, {}, "e1", {}}, "a1", "operator").ok());
    CHECK(nextStep({view, health, {}, "e1", {}}, "a1", {}).kind == StepKind::Wait);
    view.vms.at("a1").state = VmState::Draining;
    CHECK_FALSE(undoOperation({view, health, {}, "e1", {}}, "a1", "operator").ok());
    CHECK(nextStep({view, health, {}, "e1", {}}, "a1", {.waitingFor = "e2"}).reason == "drain waits: e2");
}

// Guards against a majority of an outdated member list: an entry that joined meanwhile may not know the announcement.
TEST_CASE("draining is conditional on the member list", "[fleet][step]")
{
    auto view = makeView(4, 3, 1, 1);
    putOut(view, "a1", VmState::Announced);
    view.members.version = 12;
    const auto step = nextStep({view, {}, {}, "e1", {}}, "a1", {.announcement = true});
    REQUIRE(step.kind == StepKind::Commit);
    CHECK(hasPrecondition(step.transaction, "view/members", 12));
    CHECK(hasPrecondition(step.transaction, "view/vm/a1", 7));
}

// Guards against changes that an operator cannot trace to who, when, why and the figures decided on.
TEST_CASE("a start leaves an audit entry with its figures", "[fleet][audit]")
{
    const auto view = makeView(4, 3, 1, 1);
    const OperationStart start{"a1", {.kind = OperationKind::Drain, .reason = "new disk"}};
    const auto entry = auditOf(*startOperations({view, {}, {}, "ops", {60'000}}, std::span(&start, 1)));
    CHECK(std::tie(entry.action, entry.subject, entry.actor, entry.reason) == std::tuple("vm.drain.start", "vm/a1", "ops", "new disk"));
    CHECK(std::tie(entry.before, entry.after) == std::tuple("active in pool a", "announced in pool a"));
    CHECK(entry.figures == std::map<std::string, double>{{"healthy", 4}, {"minHealthy", 3}, {"mayLose", 1}, {"planned", 0}});
}

// Guards against a VM that an operator drained and can never bring back, and against bringing back one that is gone.
TEST_CASE("a finished drain can be taken back", "[fleet][step]")
{
    auto view = makeView(4, 3, 1, 1);
    putOut(view, "a1", VmState::Drained);
    CHECK_FALSE(undoOperation({view, {}, {}, "ops", {}}, "a1", "done").ok()); // Out for a reboot.
    view.vms.at("a1").operation->kind = OperationKind::Drain;
    const auto transaction = undoOperation({view, {}, {}, "ops", {}}, "a1", "done");
    REQUIRE(transaction.ok());
    const auto after = rowOf(*transaction, "a1");
    CHECK(after.state == VmState::Active);
    CHECK_FALSE(after.operation);
    CHECK(hasPrecondition(*transaction, "view/vm/a1", 7));
    CHECK(hasPrecondition(*transaction, "view/docversion", 5));
    CHECK(parseLedger(*valueOf(*transaction, "view/pool/a"))->out.empty());
    CHECK(auditOf(*transaction).action == "vm.undo");
    CHECK_FALSE(undoOperation({view, {{"a1"}}, {}, "ops", {}}, "a1", "done").ok());
    view.document.vms.erase("a1");
    CHECK_FALSE(undoOperation({view, {}, {}, "ops", {}}, "a1", "done").ok());
}

// Guards against rows that keep outdated properties, and against a new address while requests use the old one.
TEST_CASE("changed declarations reach the row, the address only after a drain", "[fleet][step]")
{
    auto view = makeView(4, 3, 1, 1);
    auto &declared = view.document.vms.at("a1");
    view.vms.at("a1") = withDeclared(view, view.vms.at("a1"));
    CHECK_FALSE(updateProperties({view, {}, {}, "e1", {}}, "a1"));
    declared.slots = 3;
    declared.rack = "r9";
    declared.address = "127.0.0.1:9";
    const auto update = updateProperties({view, {}, {}, "e1", {}}, "a1");
    REQUIRE(update);
    CHECK(rowOf(*update, "a1").slots == 3);
    CHECK(rowOf(*update, "a1").rack == "r9");
    CHECK(rowOf(*update, "a1").address.empty());
    CHECK(hasPrecondition(*update, "view/pool/a", 0));
    putOut(view, "a1", VmState::Draining);
    view.vms.at("a1").operation = Operation{.kind = OperationKind::Drain, .reason = std::string(addressReason)};
    const auto drained = nextStep({view, {}, {}, "e1", {}}, "a1", {.drain = true});
    CHECK(rowOf(drained.transaction, "a1").address == "127.0.0.1:9");
    view.vms.at("a1").state = VmState::Drained;
    CHECK(rowOf(nextStep({view, {}, {}, "e1", {}}, "a1", {}).transaction, "a1").state == VmState::Active);
}

// Guards against a VM that leaves with requests in flight, or that stays out after the platform has kept it.
TEST_CASE("a leaving VM is drained until the platform lists it as live", "[fleet][step]")
{
    FakeLoop loop;
    auto view = makeView(4, 3, 1, 1);
    for (auto &[id, vm] : view.vms) {
        vm = withDeclared(view, vm);
    }
    std::vector<PlatformVm> list{{.id = "a1", .state = PlatformVmState::Leaving}};
    std::vector<Transaction> committed;
    FleetPorts ports{.timers = loop.timers(), .clock = loop.clock()};
    ports.table.commit = [&](Transaction transaction, const auto &) {
        committed.push_back(std::move(transaction));
    };
    ports.vms.list = [&](const auto &callback) {
        callback(list);
    };
    ports.view = [&]() -> const View & {
        return view;
    };
    ports.viewAge = [] {
        return Millis{};
    };
    ports.health = [] {
        return FleetHealth{};
    };
    ports.confirmations = [](const VmRow &) {
        return Confirmations{};
    };
    ports.liveMembers = [] {
        return std::vector<std::string>{"e1"};
    };
    FleetManager manager("e1", ports);
    manager.start();
    loop.advance({1'500});
    REQUIRE(committed.size() == 1);
    CHECK(rowOf(committed[0], "a1").operation->reason == leavingReason);
    putOut(view, "a1", VmState::Drained);
    view.vms.at("a1").operation = rowOf(committed[0], "a1").operation;
    CHECK(nextStep({view, {}, list, "e1", {}}, "a1", {}).kind == StepKind::Wait);
    list[0].state = PlatformVmState::Live;
    CHECK(rowOf(nextStep({view, {}, list, "e1", {}}, "a1", {}).transaction, "a1").state == VmState::Active);
}

// Guards against restarting a flapping VM over and over.
TEST_CASE("restarts back off with each failure", "[fleet][step]")
{
    CHECK(backOffTime(1) == Millis{0});
    CHECK(backOffTime(3) == Millis{120'000});
    CHECK(backOffTime(40) == backOffLimit);
    auto view = makeView(4, 3, 1, 1);
    view.vms.at("a1").state = VmState::Failed;
    view.vms.at("a1").failures = 3;
    view.vms.at("a1").operation = Operation{.kind = OperationKind::Repair};
    const FleetHealth health;
    CHECK(nextStep({view, health, {}, "e1", {60'000}}, "a1", {.drain = true}).reason == "restart after failure 3 in 60 s");
    CHECK(nextStep({view, health, {}, "e1", {120'000}}, "a1", {.drain = true}).kind == StepKind::Commit);
}

// Guards against waves that go on during a failure, ignore the weights or leave a VM without a reason.
TEST_CASE("a wave follows the weights and waits for repairs", "[fleet][wave]")
{
    auto view = makeView(4, 3, 1, 2);
    const Wave wave{.id = "w", .pools = {"a", "b"}, .startedAt = {1}};
    view.document.weights = {.bufferCost = 1, .rollOutTime = 4, .moves = 1};
    auto plan = planWave(view, wave, {}, {2});
    CHECK(plan.remove.size() == 2);
    CHECK(plan.remove.size() + plan.waiting.size() == 8);
    view.document.weights = {.bufferCost = 4, .rollOutTime = 1, .moves = 1};
    CHECK(planWave(view, wave, {}, {2}).remove.size() < 2);
    view.vms.at("a1").state = VmState::Failed;
    plan = planWave(view, wave, {}, {2});
    CHECK(plan.remove.empty());
    CHECK(plan.waiting.front().reason == "pool a: 1 failed VMs are not replaced yet (3 of 4 VMs present)");
}

// Guards against a wave that never ends because a pool has no VM beyond minHealthy.
TEST_CASE("a spare joins a pool that cannot lose a VM", "[fleet][wave]")
{
    const auto plan = planWave(makeView(3, 3, 1, 2), {.id = "w", .pools = {"a"}, .startedAt = {1}}, {}, {2});
    CHECK(plan.remove.empty());
    REQUIRE(plan.bringIn.size() == 1);
    CHECK(plan.bringIn[0].pool == "a");
    CHECK_FALSE(plan.finished);
}

// Guards against sending work to a VM until the platform takes it away, because its pool has no VM to spare.
TEST_CASE("a leaving VM is drained although the budget refuses removals", "[fleet][step]")
{
    auto view = makeView(3, 3, 1, 0);
    const OperationStart planned{"a1", {.kind = OperationKind::Drain, .reason = "operator request"}};
    const OperationStart leaving{"a1", {.kind = OperationKind::Drain, .reason = std::string(leavingReason)}};
    CHECK_FALSE(startOperations({view, {}, {}, "e1", {}}, std::span(&planned, 1)).ok());
    const auto transaction = startOperations({view, {}, {}, "e1", {}}, std::span(&leaving, 1));
    REQUIRE(transaction.ok());
    putOut(view, "a1", VmState::Announced);
    view.vms.at("a1").operation = rowOf(*transaction, "a1").operation;
    CHECK(rowOf(nextStep({view, {}, {}, "e1", {}}, "a1", {.announcement = true}).transaction, "a1").state == VmState::Draining);
}
