// Tests of the transactions in which submissions are written.
#include "intake/submissionwriter.hpp"

#include "fakes/fakeloop.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis patience{2'700};
constexpr Millis retryTime{350};
/// A part of the store lets a transaction wait for this long before it rejects it.
constexpr Millis maxPartWait{1'000};

struct SentTransaction {
    RowTransaction tx;
    Millis timeout;
    std::function<void(CommitResult)> done;
};

/// Transactions wait until the test answers them.
struct WriterWorld {
    FakeLoop loop;
    std::deque<SentTransaction> sent;
    std::size_t sentCount = 0;
    std::map<std::string, WriteResult> results;
    std::map<std::string, SubmissionWritePtr> writes;
    SubmissionWriter writer{{.store = {.commit =
                                           [this](RowTransaction tx, Millis timeout, std::function<void(CommitResult)> done) {
                                               ++sentCount;
                                               sent.push_back({std::move(tx), timeout, std::move(done)});
                                           }},
                             .timers = loop.timers(),
                             .clock = loop.clock()}};

    void add(const std::string &key, const std::string &value = "v", Millis timeout = patience)
    {
        auto write = std::make_shared<SubmissionWrite>(SubmissionWrite{
            .key = {"table", "part", key}, .value = value, .deadline = loop.now() + timeout, .retryUntil = loop.now() + retryTime});
        write->done = [this, key](const WriteResult &result) {
            CHECK(!results.contains(key));
            results[key] = result;
        };
        writes[key] = write;
        writer.add(write);
    }
    std::vector<std::string> rowsOf(std::size_t i) const
    {
        std::vector<std::string> keys;
        for (const auto &it : sent.at(i).tx.puts) {
            keys.push_back(it.key.key);
        }
        return keys;
    }
    void answerFirst(const CommitResult &result)
    {
        REQUIRE(!sent.empty());
        const auto done = sent.front().done;
        sent.pop_front();
        done(result);
    }
    WriteOutcome outcome(const std::string &key) const
    {
        return results.at(key).outcome;
    }
};

using Keys = std::vector<std::string>;
const CommitResult applied{.outcome = CommitOutcome::Applied, .version = 7};
const CommitResult refused{.outcome = CommitOutcome::Refused, .error = "HTTP status 429"};
const CommitResult unknown{.outcome = CommitOutcome::Unknown, .error = "no response"};

} // namespace

TEST_CASE("submissions that arrive during a transaction share the next one, and the first does not wait")
{
    WriterWorld world;
    world.add("a");
    REQUIRE(world.sent.size() == 1);
    CHECK(world.sent.front().timeout > maxPartWait);
    CHECK(world.sent.front().timeout < patience);
    world.add("b");
    world.add("c");
    CHECK(world.sent.size() == 1);
    world.answerFirst(applied);
    CHECK(world.outcome("a") == WriteOutcome::Stored);
    CHECK(world.results.at("a").version == 7);
    REQUIRE(world.sent.size() == 1);
    CHECK(world.rowsOf(0) == Keys{"b", "c"});
    CHECK(world.sent.front().tx.conditions.size() == 2);
    world.answerFirst(applied);
    CHECK(world.outcome("b") == WriteOutcome::Stored);
    CHECK(world.outcome("c") == WriteOutcome::Stored);
    CHECK(world.sent.empty());
}

TEST_CASE("a row that exists does not keep the other rows of its transaction from being stored")
{
    WriterWorld world;
    world.add("first");
    world.add("a");
    world.add("b");
    world.answerFirst(applied);
    world.answerFirst(
        {.outcome = CommitOutcome::Conflict, .current = {{{"table", "part", "a"}, "v", 3, false}, {{"table", "part", "b"}, "", 0, false}}});
    CHECK(world.outcome("a") == WriteOutcome::KnownBefore);
    CHECK(!world.results.contains("b"));
    REQUIRE(world.sent.size() == 1);
    CHECK(world.rowsOf(0) == Keys{"b"});
    world.answerFirst(applied);
    CHECK(world.outcome("b") == WriteOutcome::Stored);
}

TEST_CASE("two submissions of one job are not sent in one transaction")
{
    WriterWorld world;
    world.add("first");
    world.add("a");
    const auto again = std::make_shared<SubmissionWrite>(*world.writes["a"]);
    std::optional<WriteOutcome> outcome;
    again->done = [&outcome](const WriteResult &result) {
        outcome = result.outcome;
    };
    world.writer.add(again);
    world.answerFirst(applied);
    CHECK(world.rowsOf(0) == Keys{"a"});
    world.answerFirst(applied);
    world.answerFirst({.outcome = CommitOutcome::Conflict, .current = {{{"table", "part", "a"}, "v", 7, false}}});
    CHECK(world.outcome("a") == WriteOutcome::Stored);
    CHECK(outcome == WriteOutcome::KnownBefore);
}

TEST_CASE("a store that rejects transactions gets fewer of them, and callers get a true refusal")
{
    WriterWorld world;
    const auto loadEnd = world.loop.now() + Millis{10'000};
    while (world.loop.now() < loadEnd + patience) {
        if (world.loop.now() < loadEnd) {
            world.add("job" + std::to_string(world.loop.now().count));
        }
        while (!world.sent.empty()) {
            world.answerFirst(refused);
        }
        world.loop.advance({20});
    }
    CHECK(world.sentCount < 60); // One each 250 ms at least when the delay has reached its bound.
    CHECK(world.results.size() == 500);
    for (const auto &[key, result] : world.results) {
        CHECK(result.outcome == WriteOutcome::Refused);
    }
    CHECK(world.sent.empty());
    world.add("late");
    REQUIRE(world.sent.size() == 1);
    world.answerFirst(applied);
    CHECK(world.outcome("late") == WriteOutcome::Stored);
}

TEST_CASE("a write without an answer is repeated alone and stays unknown, and those that waited can still be refused")
{
    WriterWorld world;
    world.add("a");
    world.loop.advance({200});
    world.answerFirst(unknown);
    world.add("b", "v", {300});
    world.loop.advance({100});
    REQUIRE(world.sent.size() == 1);
    CHECK(world.rowsOf(0) == Keys{"a"});
    CHECK(world.sent.front().tx.conditions.front().version == 0);
    world.loop.advance({250});
    CHECK(world.outcome("b") == WriteOutcome::Refused);
    world.answerFirst(refused);
    world.loop.advance({10'000});
    CHECK(world.outcome("a") == WriteOutcome::Unknown);
    CHECK(world.writes["a"]->mayBeApplied());
}

TEST_CASE("a write that was applied without an answer is found by its repetition")
{
    WriterWorld world;
    world.add("a");
    world.answerFirst(unknown);
    world.loop.advance({100});
    world.answerFirst({.outcome = CommitOutcome::Conflict, .current = {{{"table", "part", "a"}, "v", 7, false}}});
    CHECK(world.outcome("a") == WriteOutcome::KnownBefore);
}

TEST_CASE("a silent connection does not hold back the submissions behind it")
{
    WriterWorld world;
    world.add("a");
    world.add("b");
    world.loop.advance({400});
    REQUIRE(world.sent.size() == 2);
    CHECK(world.rowsOf(1) == Keys{"b"});
    world.add("c");
    world.loop.advance({5'000});
    CHECK(world.sent.size() == 2);
    CHECK(world.outcome("a") == WriteOutcome::Unknown);
    CHECK(world.outcome("b") == WriteOutcome::Unknown);
    CHECK(world.outcome("c") == WriteOutcome::Refused);
}

TEST_CASE("a submission that cannot be served in time is refused at once and not sent")
{
    WriterWorld world;
    world.add("a");
    world.loop.advance({250});
    world.answerFirst(applied); // The part takes 250 ms.
    world.add("b");
    world.add("c", "v", {300});
    CHECK(world.outcome("c") == WriteOutcome::Refused);
    world.answerFirst(applied);
    CHECK(world.sent.empty());
}

TEST_CASE("a withdrawn submission is not sent after it was answered")
{
    WriterWorld world;
    world.add("a");
    world.add("b");
    CHECK(world.writes["a"]->mayBeApplied());
    CHECK(!world.writes["b"]->mayBeApplied());
    SubmissionWriter::withdraw(*world.writes["b"]);
    world.answerFirst(refused);
    SubmissionWriter::withdraw(*world.writes["a"]);
    CHECK(!world.writes["a"]->mayBeApplied());
    world.loop.advance({10'000});
    CHECK(world.sent.empty());
    CHECK(world.results.empty());
}

TEST_CASE("rows that the store does not take together are sent one by one, and only the invalid one is answered so")
{
    const CommitResult invalid{.outcome = CommitOutcome::Invalid, .error = "HTTP status 413"};
    WriterWorld world;
    world.add("a");
    world.add("b");
    world.add("c");
    world.answerFirst({.outcome = CommitOutcome::Applied, .version = 1});
    REQUIRE(world.rowsOf(0) == Keys{"b", "c"});
    world.answerFirst(invalid);
    REQUIRE(world.rowsOf(0) == Keys{"b"});
    world.answerFirst(invalid);
    CHECK(world.outcome("b") == WriteOutcome::Invalid);
    // Without a delay: the store is not overloaded.
    REQUIRE(world.rowsOf(0) == Keys{"c"});
    world.answerFirst({.outcome = CommitOutcome::Applied, .version = 2});
    CHECK(world.outcome("c") == WriteOutcome::Stored);
}

TEST_CASE("transactions stay below the store's limits of entries and bytes, and a large row is sent alone")
{
    constexpr std::size_t maxEntries = 100;
    constexpr std::size_t maxBytes = 1'000'000;
    WriterWorld world;
    world.add("first");
    for (int i = 0; i < 200; ++i) {
        world.add("row" + std::to_string(i), std::string(20'000, 'x'));
    }
    for (int i = 0; i < 200; ++i) {
        world.add("small" + std::to_string(i));
    }
    world.add("large", std::string(60'000, 'x'));
    bool largeAlone = false;
    while (!world.sent.empty()) {
        const auto &tx = world.sent.front().tx;
        std::size_t bytes = 0;
        for (const auto &it : tx.puts) {
            bytes += it.value.size() * 4 / 3;
            largeAlone = largeAlone || (it.key.key == "large" && tx.puts.size() == 1);
        }
        CHECK(tx.conditions.size() + tx.puts.size() <= maxEntries);
        CHECK(bytes <= maxBytes / 2);
        world.answerFirst(applied);
    }
    CHECK(largeAlone);
    CHECK(world.results.size() == 402);
}
