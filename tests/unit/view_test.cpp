// The view must never go back to an older version, and must survive malformed rows.
#include "model/view.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;

static Row vmRow(const std::string &id, const std::string &pool, std::uint64_t version)
{
    const VmRow vm{.id = id, .pool = pool, .address = "127.0.0.1:1", .zone = "a", .rack = "a1"};
    return {"view/vm/" + id, encodeVm(vm), version};
}

TEST_CASE("an older answer of the platform does not change the view", "[view]")
{
    View view;
    applyRows(view, 5, {vmRow("vm1", "new", 5)});
    applyRows(view, 4, {vmRow("vm1", "old", 4)});
    CHECK(view.version == 5);
    CHECK(view.vms.at("vm1").pool == "new");
}

TEST_CASE("a row older than the one held is skipped in a newer delta", "[view]")
{
    View view;
    applyRows(view, 5, {vmRow("vm1", "new", 5)});
    applyRows(view, 6, {vmRow("vm1", "old", 3)});
    CHECK(view.vms.at("vm1").pool == "new");
}

TEST_CASE("a deleted row disappears and a malformed one keeps its former value", "[view]")
{
    View view;
    applyRows(view, 5, {vmRow("vm1", "a", 4), vmRow("vm2", "a", 5)});
    const auto malformed = applyRows(view, 7, {{"view/vm/vm1", "{not json", 6}, {"view/vm/vm2", std::nullopt, 7}});
    CHECK(malformed == std::vector<std::string>{"view/vm/vm1"});
    CHECK(view.vms.at("vm1").pool == "a");
    CHECK(view.vms.count("vm2") == 0);
}

TEST_CASE("a VM row keeps every field through its JSON value", "[view]")
{
    VmRow vm{.id = "vm1", .pool = "p", .address = "127.0.0.1:9", .zone = "z", .rack = "r", .slots = 8, .connections = 64};
    vm.state = VmState::Draining;
    vm.operation = Operation{.kind = OperationKind::Move, .destinationPool = "q", .wave = "w", .startedBy = "e1", .startedAt = {7}};
    const auto parsed = parseVm(encodeVm(vm));
    REQUIRE(parsed);
    CHECK(encodeVm(*parsed) == encodeVm(vm));
}
