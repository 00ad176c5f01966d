// Who claims a shard that has no owner, and hand-overs.
#include "shards/leases.hpp"

#include "fakes/fakeloop.hpp"
#include "fakes/fakestore.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <memory>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

/// Entries that differ by their processor only.
struct Entries {
    FakeLoop loop;
    FakeStore store{loop};
    std::map<std::string, std::unique_ptr<Leases>> leases;

    void start(const std::string &name, double cpu, const std::set<std::string> &shards)
    {
        LeaseTimes times;
        times.claimDelay = {static_cast<std::int64_t>(30 / cpu)};
        Leases::Callbacks callbacks;
        callbacks.acquired = [](const std::string &, std::uint64_t, bool) {
        };
        callbacks.lost = [](const std::string &) {
        };
        callbacks.status = [](const std::string &) {
            return std::string();
        };
        auto &it = leases[name];
        it = std::make_unique<Leases>(store.port(name), loop.timers(), loop.clock(), LeaseHolder{name, name, cpu}, times, callbacks);
        it->setShards(shards);
        it->start();
    }
    std::string ownerOf(const std::string &shard) const
    {
        for (const auto &[name, it] : leases) {
            if (it->holds(shard)) {
                return name;
            }
        }
        return {};
    }
};

} // namespace

TEST_CASE("fast entries claim shards first, and one entry does not claim all of them")
{
    // Guards against a busy pool on an entry with an eighth of a core, and against claims that do not count each other.
    Entries world;
    const std::set<std::string> shards{"a", "b", "c"};
    for (const auto *const name : {"slow1", "slow2", "slow3", "slow4"}) {
        world.start(name, 0.12, shards);
    }
    for (const auto *const name : {"fast1", "fast2", "fast3"}) {
        world.start(name, 0.5, shards);
    }
    world.loop.advance({3'000});
    std::set<std::string> owners;
    for (const auto &it : shards) {
        owners.insert(world.ownerOf(it).substr(0, 4));
        CHECK(world.leases.at(world.ownerOf(it))->held().size() < shards.size());
    }
    CHECK(owners == std::set<std::string>{"fast"});
}

TEST_CASE("a shard that is handed over goes to the entry it is meant for, or to another one when that entry is gone")
{
    Entries world;
    world.start("owner", 0.5, {"a"});
    world.loop.advance({2'000});
    REQUIRE(world.ownerOf("a") == "owner");
    world.start("other", 0.5, {"a"});
    world.start("heir", 0.1, {"a"});
    world.loop.advance({2'000});
    world.leases.at("owner")->handOver("a", "heir");
    world.loop.advance({200});
    CHECK(world.ownerOf("a") == "heir");
    world.leases.at("heir")->handOver("a", "gone");
    world.loop.advance(LeaseTimes{}.lapse / 2);
    CHECK(world.ownerOf("a").empty());
    world.loop.advance(LeaseTimes{}.lapse * 2);
    CHECK_FALSE(world.ownerOf("a").empty());
}
