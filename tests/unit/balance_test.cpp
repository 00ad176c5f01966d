// Tests of the decision which shards move to another entry.
#include "shards/balance.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge::jobs;

TEST_CASE("a fast entry requests the shard of a slow entry until it owns two shards")
{
    // Guards against a busy pool that stays on an entry with an eighth of a core after a fast entry has returned.
    const std::map<std::string, ShardHolder> others{{"a", {"slow", "x", 0.12}}, {"b", {"fast", "y", 0.5}}};
    CHECK(shardToRequest(0.5, 0, others) == "a");
    CHECK(shardToRequest(0.5, 1, others) == "a");
    CHECK_FALSE(shardToRequest(0.5, 2, others));
    CHECK_FALSE(shardToRequest(0.12, 0, others));
}

TEST_CASE("an idle entry takes one of two shards of an equally fast entry, and no shard moves back")
{
    // Guards against shards that move back and forth.
    const std::map<std::string, ShardHolder> both{{"a", {"e1", "x", 0.25}}, {"b", {"e1", "x", 0.25}}};
    CHECK(shardToRequest(0.25, 0, both) == "a");
    CHECK(shouldHandOver(0.25, 2, 0.25, 0));
    const std::map<std::string, ShardHolder> one{{"a", {"e1", "x", 0.25}}};
    CHECK_FALSE(shardToRequest(0.25, 1, one));
    CHECK_FALSE(shardToRequest(0.25, 0, one));
    CHECK_FALSE(shouldHandOver(0.25, 0, 1.0, 0));
}
