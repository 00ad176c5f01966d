// Hearing, drain confirmation and member changes must not rest on messages or rows that prove nothing.
#include "fakes/faketable.hpp"
#include "membership/membership.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;

namespace
{

constexpr Millis start{100'000};

PeerTable tableOf(const std::string &id, std::uint64_t incarnation = 1)
{
    return {.self = id, .incarnation = incarnation, .address = id + ":1"};
}

/// `b` receives a heartbeat of `a` at `now`, and `a` the answer of `b`.
void exchange(PeerTable &a, PeerTable &b, Millis now, const OwnState &stateOfB = {.viewVersion = 1})
{
    receiveHeartbeat(b, buildHeartbeat(a, {}, now), 1, now);
    receiveHeartbeat(a, buildHeartbeat(b, stateOfB, now), 1, now);
}

View viewOf(std::initializer_list<std::string> ids, std::uint64_t version = 1)
{
    View view{.version = version};
    view.members.version = 1;
    for (const auto &id : ids) {
        view.members.members.push_back({.id = id, .incarnation = 1, .address = id + ":1"});
    }
    return view;
}

} // namespace

TEST_CASE("a peer is heard by its echo, not by its messages or by another incarnation", "[membership]")
{
    auto a = tableOf("a");
    auto b = tableOf("b");
    receiveHeartbeat(a, buildHeartbeat(b, {}, start), 1, start);
    CHECK_FALSE(hears(a, {.id = "b", .incarnation = 1}, start));
    exchange(a, b, start + Millis{1});
    CHECK(hears(a, {.id = "b", .incarnation = 1}, start + Millis{1} + hearingTimeout));
    CHECK_FALSE(hears(a, {.id = "b", .incarnation = 2}, start + Millis{1}));
    const auto late = start + hearingTimeout * 2;
    receiveHeartbeat(a, buildHeartbeat(b, {}, late), 1, late);
    CHECK_FALSE(hears(a, {.id = "b", .incarnation = 1}, late));
    auto restarted = tableOf("b", 2);
    CHECK(receiveHeartbeat(a, buildHeartbeat(restarted, {}, late), 1, late));
    CHECK_FALSE(receiveHeartbeat(a, buildHeartbeat(b, {}, late + Millis{9}), 1, late + Millis{9}));
}

TEST_CASE("an entry serves from a peer's read only with the peer's view, and refuses with a reason", "[membership]")
{
    auto a = tableOf("a");
    auto b = tableOf("b");
    exchange(a, b, start, {.viewVersion = 5, .lastRead = start - Millis{500}});
    const auto members = {std::string("a"), std::string("b"), std::string("c")};
    CHECK(servingDecision(viewOf(members, 5), a, std::nullopt, start + Millis{1'500}).basis == ServingBasis::PeerRead);
    CHECK(servingDecision(viewOf(members, 5), a, std::nullopt, start + Millis{1'501}).basis == ServingBasis::Majority);
    CHECK(servingDecision(viewOf(members, 5), a, start, start + Millis{1'501}).basis == ServingBasis::OwnRead);
    const auto refusal = servingDecision(viewOf(members, 4), a, std::nullopt, start);
    CHECK_FALSE(refusal.serves());
    CHECK(refusal.reason() == "no recent platform read and only 1 of the 2 members needed for a majority are heard");
    CHECK_FALSE(servingDecision({}, a, start, start).serves());
}

TEST_CASE("a drain waits for requests in flight, and for a silent entry until nothing of it can be in flight", "[membership]")
{
    auto a = tableOf("a");
    auto b = tableOf("b");
    wire::VmInFlight inFlight;
    inFlight.set_vm("vm");
    inFlight.set_requests(2);
    exchange(a, b, start, {.viewVersion = 5, .inFlight = {inFlight}});
    const auto view = viewOf({"a", "b"}, 5);
    const std::vector<Registration> registrations{{"a", 1, start}, {"b", 1, start}, {"c", 1, start + Millis{3'000}}};
    DrainQuery query{.vm = "vm", .version = 5, .seenAt = start, .longestDeadline = {7'000}, .bootNow = start, .wallNow = start};
    const auto first = drainConfirmation(view, a, registrations, query).waitingFor;
    REQUIRE(first.size() == 2);
    CHECK(first[0].entry + ": " + first[0].reason == "b: 2 requests in flight");
    CHECK(first[1].entry + ": " + first[1].reason == "c: not confirmed and its registration has not expired");
    exchange(a, b, start + Millis{10}, {.viewVersion = 5});
    query.bootNow = query.wallNow = start + Millis{9'999};
    CHECK(drainConfirmation(view, a, registrations, query).waitingFor.size() == 1);
    query.bootNow = query.wallNow = start + Millis{10'000};
    CHECK(drainConfirmation(view, a, registrations, query).isConfirmed());
    query.seenAt = start + Millis{5'000};
    CHECK_FALSE(drainConfirmation(view, a, registrations, query).isConfirmed());
}

TEST_CASE("silent members are removed one at a time with confirmation, dead ones at once", "[membership]")
{
    auto a = tableOf("a");
    const auto view = viewOf({"a", "b", "c"}, 5);
    MemberFacts facts{.self = view.members.members[0], .vms = {{.id = "a"}, {.id = "b"}, {.id = "c"}}, .bootNow = start, .wallNow = start};
    CHECK_FALSE(nextMemberChange(view, a, facts).list);
    auto b = tableOf("b");
    exchange(a, b, start, {.viewVersion = 5});
    REQUIRE(nextMemberChange(view, a, facts).list);
    CHECK(nextMemberChange(view, a, facts).list->members.size() == 2);
    facts.registrations = {{"c", 1, start + Millis{1}}};
    facts.vms = {{.id = "a"}};
    CHECK_FALSE(nextMemberChange(view, a, facts).list); // b is heard and c is registered.
    facts.bootNow = facts.wallNow = start + hearingTimeout * 2;
    CHECK(nextMemberChange(view, a, facts).list->members.size() == 1);
    // A newer incarnation replaces the former one without confirmation only at the same address.
    facts.registrations = {{"b", 1, facts.wallNow + Millis{1}}, {"c", 1, facts.wallNow + Millis{1}}};
    facts.self.incarnation = 2;
    const auto restarted = tableOf("a", 2);
    CHECK(nextMemberChange(view, restarted, facts).list->members.size() == 2);
    facts.self.address = "elsewhere:1";
    CHECK_FALSE(nextMemberChange(view, restarted, facts).list);
}

TEST_CASE("an entry registers, joins and leaves although replies are lost after the write", "[membership]")
{
    FakeLoop loop;
    FakeTable table(loop);
    const Member self{.id = "a", .incarnation = 2, .address = "a:1"};
    const Membership::Ports ports{
        .table = table.port(),
        .vms = {.list =
                    [&](auto callback) {
                        loop.timers().after({1}, [callback] { callback(std::vector<PlatformVm>{{.id = "a"}}); });
                    }},
        .peers = {.send =
                      [](const auto &, const auto &) {
                      }},
        .timers = loop.timers(),
        .clock = loop.clock(),
    };
    table.put("view/vm/vm1", encodeVm({.id = "vm1", .pool = "p"}));
    ViewManager views({"a", 2}, ports.table, ports.peers, ports.timers, ports.clock);
    Membership membership(self, {}, ports, views);
    const auto isJoined = [&] {
        const auto row = table.row(std::string(membersKey));
        return row.value && !parseMembers(*row.value)->members.empty();
    };
    const auto advanceWithLostCommits = [&](Millis duration) {
        for (const auto end = loop.now() + duration; loop.now() < end;) {
            table.faults = {table.calls % 2 == 0 ? TableFault::ReplyLost : TableFault::None};
            loop.advance({50});
        }
    };
    views.start();
    membership.start();
    CHECK_FALSE(membership.serving().serves());
    advanceWithLostCommits({20'000});
    CHECK(isJoined());
    CHECK(membership.serving().serves());
    REQUIRE(parseRegistration(table.row("registration/a")));
    CHECK(parseRegistration(table.row("registration/a"))->expiresAt > loop.now());
    std::size_t left = 0;
    membership.leave([&] { ++left; });
    advanceWithLostCommits({20'000});
    CHECK(left == 1);
    CHECK_FALSE(isJoined());
    CHECK(table.row("registration/a").version == 0);
    // A newer incarnation of the same id takes over; this process must not go on.
    Membership former(self, {}, ports, views);
    table.put("registration/a", encodeRegistration({.id = "a", .incarnation = 3, .expiresAt = loop.now()}));
    table.faults.clear();
    former.start();
    loop.advance({100});
    CHECK(former.isSuperseded());
    CHECK_FALSE(former.serving().serves());
}
