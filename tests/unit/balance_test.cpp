// Which shards should change their owner.
#include "shards/balance.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge::jobs;

TEST_CASE("an idle fast entry asks for the shard of a slow one")
{
    // Guards against a busy pool that stays with an entry of an eighth of a core after a fast one has come back.
    const std::map<std::string, ShardHolder> others{{"a", {"slow", "x", 0.12}}, {"b", {"fast", "y", 0.5}}};
    CHECK(shardToRequest(0.5, 0, others) == "a");
    CHECK(shardToRequest(0.5, 1, others) == "a");
    CHECK_FALSE(shardToRequest(0.5, 2, others));
    CHECK_FALSE(shardToRequest(0.12, 0, others));
}

TEST_CASE("an idle entry takes one of two shards of an equal one, and neither asks again")
{
    // Guards against shards that go back and forth.
    const std::map<std::string, ShardHolder> both{{"a", {"e1", "x", 0.25}}, {"b", {"e1", "x", 0.25}}};
    CHECK(shardToRequest(0.25, 0, both) == "a");
    CHECK(shouldHandOver(0.25, 2, 0.25, 0));
    const std::map<std::string, ShardHolder> one{{"a", {"e1", "x", 0.25}}};
    CHECK_FALSE(shardToRequest(0.25, 1, one));
    CHECK_FALSE(shardToRequest(0.25, 0, one));
    CHECK_FALSE(shouldHandOver(0.25, 0, 1.0, 0));
}
