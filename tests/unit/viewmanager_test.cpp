// The view must never go back, must not seem fresh after an older read, and must recover after an outage.
#include "fakes/faketable.hpp"
#include "routing/viewmanager.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;

namespace
{

struct Fixture {
    explicit Fixture(std::string id = "a")
        : views({std::move(id), 1},
                table.port(),
                {.send =
                     [this](const auto &, const auto &envelope) {
                         sent.push_back(envelope);
                     }},
                loop.timers(),
                loop.clock())
    {
        put("one");
    }
    void put(const std::string &pool)
    {
        table.put("view/vm/vm1", encodeVm({.id = "vm1", .pool = pool}));
    }
    std::string pool() const
    {
        const auto it = views.view().vms.find("vm1");
        return it == views.view().vms.end() ? "" : it->second.pool;
    }

    FakeLoop loop;
    FakeTable table{loop};
    std::vector<wire::Envelope> sent;
    ViewManager views;
};

wire::Heartbeat heartbeatWith(std::uint64_t version)
{
    wire::Heartbeat heartbeat;
    heartbeat.set_view_version(version);
    heartbeat.set_address("b:1");
    return heartbeat;
}

} // namespace

TEST_CASE("an older read neither takes the view back nor makes it fresh", "[viewmanager]")
{
    Fixture f;
    f.put("two");
    f.views.start();
    f.loop.advance({10});
    const auto fresh = f.views.lastRead();
    REQUIRE(f.pool() == "two");
    f.table.defaultFault = TableFault::StaleRead;
    f.loop.advance({5'000});
    CHECK(f.pool() == "two");
    CHECK(f.views.lastRead() == fresh);
    f.table.defaultFault = TableFault::None;
    f.loop.advance({1'100});
    CHECK(f.views.lastRead() > fresh);
}

TEST_CASE("a read older than a version seen at a peer does not count as fresh", "[viewmanager]")
{
    Fixture f;
    f.views.receiveHeartbeat(heartbeatWith(9));
    f.views.start();
    f.loop.advance({10});
    CHECK(f.pool() == "one");
    CHECK_FALSE(f.views.lastRead());
}

TEST_CASE("polls back off during an outage, never overlap, and resume", "[viewmanager]")
{
    Fixture f;
    f.table.defaultFault = TableFault::ServiceDown;
    f.views.start();
    f.loop.advance({60'000});
    CHECK_FALSE(f.views.isReady());
    CHECK(f.table.calls >= 60'000 / pollBackoffLimit.count);
    CHECK(f.table.calls <= 60'000 / (pollBackoffLimit.count / 2) + 4);
    f.table.defaultFault = TableFault::None;
    f.loop.advance(pollBackoffLimit);
    CHECK(f.pool() == "one");
    const auto before = f.table.calls;
    f.loop.advance({10'000});
    CHECK(f.table.calls - before <= 11);
}

TEST_CASE("lost and late replies do not stop the polls, and ages count from the request", "[viewmanager]")
{
    Fixture f;
    f.table.faults = {TableFault::ReplyLost, TableFault::Slow};
    f.table.slowReplyDelay = {3'000};
    f.views.start();
    f.loop.advance({8'000});
    CHECK(f.pool() == "one");
    CHECK(f.loop.now() - *f.views.lastRead() <= pollInterval + Millis{10});
    Fixture slow;
    slow.table.defaultFault = TableFault::Slow;
    slow.table.slowReplyDelay = {1'500};
    const auto requested = slow.loop.now();
    slow.views.start();
    slow.loop.advance({1'510});
    CHECK(slow.pool() == "one");
    CHECK(slow.views.lastRead() == requested);
}

TEST_CASE("with the platform down a view comes from a peer, without gaps", "[viewmanager]")
{
    Fixture peer("b");
    peer.views.start();
    peer.loop.advance({10});
    Fixture f;
    f.table.defaultFault = TableFault::ServiceDown;
    f.views.start();
    std::size_t changes = 0;
    f.views.onChange([&] { ++changes; });
    f.views.receiveHeartbeat(heartbeatWith(peer.views.view().version));
    f.views.receiveHeartbeat(heartbeatWith(peer.views.view().version));
    REQUIRE(f.sent.size() == 1); // The second request would follow too soon.
    peer.views.answer(f.sent.front().view_request(), "a:1");
    REQUIRE(peer.sent.size() == 1);
    auto delta = peer.sent.front().view_delta();
    auto gap = delta;
    gap.set_since(f.views.view().version + 1);
    gap.set_version(99);
    f.views.receiveDelta(gap);
    CHECK_FALSE(f.views.isReady());
    f.views.receiveDelta(delta);
    f.views.receiveDelta(delta);
    CHECK(f.pool() == "one");
    CHECK(changes == 1);
    CHECK_FALSE(f.views.lastRead());
    f.loop.advance(deltaRequestSpacing);
    f.views.receiveHeartbeat(heartbeatWith(99));
    CHECK(f.sent.back().view_request().since() == f.views.view().version);
}
