// Tests of claiming vacant shards and of hand-overs.
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

/// Entries that differ only in their CPU.
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

TEST_CASE("fast entries claim vacant shards before slow ones, and no entry claims all of them")
{
    // Guards against a busy pool on an entry with an eighth of a core, and against claims whose delay ignores the shards that
    // the entry already holds or is claiming.
    Entries entries;
    const std::set<std::string> shards{"a", "b", "c"};
    for (const auto *const name : {"slow1", "slow2", "slow3", "slow4"}) {
        entries.start(name, 0.12, shards);
    }
    for (const auto *const name : {"fast1", "fast2", "fast3"}) {
        entries.start(name, 0.5, shards);
    }
    entries.loop.advance({3'000});
    std::set<std::string> owners;
    for (const auto &it : shards) {
        owners.insert(entries.ownerOf(it).substr(0, 4));
        CHECK(entries.leases.at(entries.ownerOf(it))->held().size() < shards.size());
    }
    CHECK(owners == std::set<std::string>{"fast"});
}

TEST_CASE("a shard that is handed over goes to its successor, or to another entry if the successor is gone")
{
    Entries entries;
    entries.start("owner", 0.5, {"a"});
    entries.loop.advance({2'000});
    REQUIRE(entries.ownerOf("a") == "owner");
    entries.start("other", 0.5, {"a"});
    entries.start("heir", 0.1, {"a"});
    entries.loop.advance({2'000});
    entries.leases.at("owner")->handOver("a", "heir");
    entries.loop.advance({200});
    CHECK(entries.ownerOf("a") == "heir");
    entries.leases.at("heir")->handOver("a", "gone");
    entries.loop.advance(LeaseTimes{}.leaseDuration / 2);
    CHECK(entries.ownerOf("a").empty());
    entries.loop.advance(LeaseTimes{}.leaseDuration * 2);
    CHECK_FALSE(entries.ownerOf("a").empty());
}

TEST_CASE("a stopping entry releases its shards although the store refuses at first")
{
    Entries entries;
    entries.start("first", 0.25, {"a"});
    entries.loop.advance({2'000});
    REQUIRE(entries.ownerOf("a") == "first");
    entries.start("second", 0.25, {"a"});
    entries.loop.advance({1'000});
    bool released = false;
    entries.store.refusing = true;
    entries.leases["first"]->stop([&] { released = true; });
    entries.loop.advance({100});
    CHECK(!released);
    entries.store.refusing = false;
    entries.loop.advance({700});
    CHECK(released);
    CHECK(entries.ownerOf("a") == "second");
}

TEST_CASE("a stopping entry leaves no shard behind, whether its claim was in flight or not")
{
    constexpr Millis longestDelay{1'000};
    for (Millis delay; delay < longestDelay; delay = delay + Millis{25}) {
        Entries entries;
        entries.store.latency = {50};
        entries.start("first", 0.25, {"a"});
        entries.loop.advance(delay);
        bool released = false;
        entries.leases["first"]->stop([&] { released = true; });
        entries.loop.advance({200});
        INFO("stopped after " << delay.count << " ms");
        CHECK(released);
        entries.store.latency = {4};
        entries.start("second", 0.25, {"a"});
        entries.loop.advance({1'000});
        CHECK(entries.ownerOf("a") == "second");
    }
}

TEST_CASE("a stopping entry releases a shard although its claim was applied without an answer")
{
    Entries entries;
    entries.store.loseResponseEvery = 1;
    entries.store.loss = FakeStore::Loss::Applied;
    entries.start("first", 0.25, {"a"});
    entries.loop.advance({700});
    entries.leases["first"]->stop([] {});
    entries.store.loseResponseEvery = 0;
    entries.loop.advance({1'500});
    entries.start("second", 0.25, {"a"});
    entries.loop.advance({1'000});
    CHECK(entries.ownerOf("a") == "second");
}

TEST_CASE("a shard is handed over although the store refuses the release at first")
{
    constexpr Millis longestRefusal{700};
    for (Millis refusal{25}; refusal < longestRefusal; refusal = refusal + Millis{25}) {
        Entries entries;
        entries.start("first", 0.25, {"a"});
        entries.loop.advance({1'000});
        entries.start("second", 0.25, {"a"});
        entries.loop.advance({1'000});
        REQUIRE(entries.ownerOf("a") == "first");
        entries.store.refusing = true;
        entries.leases["first"]->handOver("a", "second");
        entries.loop.advance(refusal);
        entries.store.refusing = false;
        entries.loop.advance({1'000});
        INFO("the store refused for " << refusal.count << " ms");
        CHECK(entries.ownerOf("a") == "second");
    }
}

TEST_CASE("a claim that is answered after its shard was removed is released")
{
    constexpr Millis longestDelay{1'000};
    for (Millis delay; delay < longestDelay; delay = delay + Millis{25}) {
        Entries entries;
        entries.store.latency = {50};
        entries.start("first", 0.25, {"a"});
        entries.loop.advance(delay);
        entries.leases["first"]->setShards({});
        entries.loop.advance({2'000});
        INFO("removed after " << delay.count << " ms");
        CHECK(entries.ownerOf("a").empty());
    }
}
