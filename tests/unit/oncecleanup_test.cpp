// Cleanup of at-most-once records: no key may become usable before its retention time, whatever fails.
#include "fakes/faketable.hpp"
#include "requests/oncecleanup.hpp"
#include "requests/oncerecord.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <random>
#include <set>

using namespace hibiscusbridge;

namespace
{

constexpr OnceCleanupSettings quick{.retention = {48'000}, .step = {100}, .maxDeletions = 4};
/// More than a pass over the buckets in use and the time by which marks lengthen the retention.
constexpr Millis pass{150'000};

struct Cleaners {
    /// `n` entries, each of which cleans the buckets whose prefix hashes to it; with `overlap` each cleans all. Buckets
    /// without a record are left out, which keeps a pass short.
    Cleaners(std::size_t n, bool overlap)
    {
        table.onCommit = [this] {
            checkDeletions();
        };
        for (std::size_t i = 0; i < n; ++i) {
            add([n, i, overlap](std::string_view subject) { return overlap || std::hash<std::string_view>()(subject) % n == i; });
        }
    }
    void add(const OnceCleanup::Owns &owns, OnceCleanupSettings settings = quick)
    {
        // Boot clocks of different machines have nothing in common.
        const Millis offset{static_cast<std::int64_t>(entries.size()) * 1'000'000'000};
        const auto inner = table.port();
        const TablePort port{.commit =
                                 [this, inner](Transaction transaction, TablePort::CommitCallback callback) {
                                     if (deletionsAreLate && !transaction.writes.front().value) {
                                         table.faults.push_front(TableFault::LateWrite);
                                     }
                                     inner.commit(std::move(transaction), std::move(callback));
                                 },
                             .read = inner.read};
        const Clock clock{.boot = [this, offset] { return loop.now() + offset; }, .wall = {}};
        entries.push_back(std::make_unique<OnceCleanup>(port, loop.timers(), clock, settings));
        entries.back()->start([this, owns](std::string_view subject) { return used.contains(subject) && owns(subject); });
    }
    void write(const std::string &key)
    {
        table.put(key, "{}");
        written[key] = loop.now();
        used.insert(key.substr(0, onceBucketPrefix(0).size()));
    }
    void checkDeletions()
    {
        for (auto it = written.begin(); it != written.end();) {
            const bool isGone = !table.row(it->first).value;
            early += isGone && loop.now() - it->second < quick.retention ? 1 : 0;
            it = isGone ? written.erase(it) : std::next(it);
        }
    }

    FakeLoop loop;
    FakeTable table{loop};
    std::map<std::string, Millis> written;
    std::vector<std::unique_ptr<OnceCleanup>> entries;
    std::set<std::string, std::less<>> used;
    bool deletionsAreLate = false;
    int early = 0;
};

} // namespace

TEST_CASE("a record stays for its retention, goes after it, and a rewritten one stays anew", "[once][cleanup]")
{
    // Guards against a key that a repeat may use again too early, and against records that stay for ever.
    Cleaners cleaners(1, true);
    cleaners.write(onceKey("pay", "old"));
    cleaners.write(onceKey("pay", "rewritten"));
    cleaners.write("view/other");
    for (int i = 0; i < 6; ++i) {
        cleaners.loop.advance(quick.retention / 2);
        cleaners.write(onceKey("pay", "rewritten"));
    }
    REQUIRE(cleaners.table.rows("once/").size() == 1);
    CHECK(cleaners.table.row(onceKey("pay", "rewritten")).value);
    cleaners.loop.advance(pass + quick.retention);
    CHECK(cleaners.table.rows("once/").empty());
    CHECK(cleaners.table.row("view/other").value);
    CHECK(cleaners.early == 0);
}

TEST_CASE("of two retention times the longer one counts", "[once][cleanup]")
{
    // Guards against marks made too fast by an entry with a shorter retention, as during a change of the setting.
    Cleaners cleaners(1, true);
    cleaners.add([](std::string_view) { return true; }, {.retention = {12'000}, .step = {100}});
    cleaners.write(onceKey("pay", "k"));
    cleaners.loop.advance(quick.retention + pass);
    CHECK(cleaners.early == 0);
    CHECK(cleaners.table.rows("once/").empty());
}

TEST_CASE("a deletion that is carried out late does not delete a newer record of the key", "[once][cleanup]")
{
    // Guards against a second run: the record that a new claim has written must survive an old deletion.
    Cleaners cleaners(1, true);
    const auto key = onceKey("pay", "k");
    cleaners.write(key);
    cleaners.loop.advance(quick.retention);
    cleaners.table.lateWriteDelay = {20'000};
    cleaners.deletionsAreLate = true;
    for (int i = 0; i < 600 && cleaners.entries[0]->counters().failed == 0; ++i) {
        cleaners.loop.advance({100});
    }
    REQUIRE(cleaners.entries[0]->counters().failed == 1);
    REQUIRE(cleaners.table.row(key).value);
    cleaners.deletionsAreLate = false;
    cleaners.write(key);
    cleaners.loop.advance({40'000});
    CHECK(cleaners.table.row(key).value);
    CHECK(cleaners.early == 0);
}

TEST_CASE("fault matrix: several cleaners under faults delete nothing early, and everything in the end", "[once][cleanup][matrix]")
{
    // Guards against marks that run too fast when replies are lost, commits land late, reads are old, entries are
    // replaced, or several entries add marks and delete the same rows at once.
    constexpr std::array faults{
        TableFault::None, TableFault::ServiceDown, TableFault::ReplyLost, TableFault::LateWrite, TableFault::Slow, TableFault::StaleRead};
    int cases = 0;
    int early = 0;
    int left = 0;
    for (const auto fault : faults) {
        for (const auto second : faults) {
            for (const bool overlap : {false, true}) {
                ++cases;
                std::mt19937 random(static_cast<unsigned>(cases));
                Cleaners cleaners(3, overlap);
                for (int i = 0; i < 120; ++i) {
                    for (int n = 0; n < 5; ++n) {
                        cleaners.table.faults.push_back(random() % 2 == 0 ? fault : second);
                    }
                    cleaners.write(onceKey("pay", "k" + std::to_string(random() % 60)));
                    cleaners.loop.advance({static_cast<std::int64_t>(random() % 1'600)});
                    if (i == 60) { // An entry is replaced: the marks must go on without its memory.
                        cleaners.entries.erase(cleaners.entries.begin());
                        cleaners.add([](std::string_view) { return true; });
                    }
                }
                cleaners.table.faults.clear();
                cleaners.loop.advance(quick.retention + pass);
                early += cleaners.early;
                left += static_cast<int>(cleaners.table.rows("once/").size());
            }
        }
    }
    std::cout << "cleanup fault matrix: cases run " << cases << ", deleted early " << early << ", left over " << left << '\n';
    CHECK(early == 0);
    CHECK(left == 0);
}

TEST_CASE("a cleanup stays within one read and one transaction for each step", "[once][cleanup]")
{
    // Guards against a burst of reads or writes after an outage, when many records are due.
    Cleaners cleaners(1, true);
    for (int i = 0; i < 1'000; ++i) {
        cleaners.write(onceKey("pay", std::to_string(i)));
    }
    cleaners.loop.advance(quick.retention);
    cleaners.table.defaultFault = TableFault::ServiceDown;
    cleaners.loop.advance({10'000});
    cleaners.table.defaultFault = TableFault::None;
    for (int second = 0; second < 20; ++second) {
        const auto calls = cleaners.table.calls;
        const auto commits = cleaners.table.commits;
        cleaners.loop.advance({1'000});
        CHECK(cleaners.table.calls - calls <= 20);
        CHECK(cleaners.table.commits - commits <= 10);
    }
    CHECK(cleaners.entries[0]->counters().deleted > 0);
}

TEST_CASE("a bucket with more old records than one transaction takes is emptied over several steps", "[once][cleanup]")
{
    Cleaners cleaners(1, true);
    for (int i = 0; i < 11; ++i) {
        cleaners.write(onceBucketPrefix(7) + "pay/" + std::to_string(i));
    }
    cleaners.loop.advance(quick.retention + pass);
    CHECK(cleaners.table.rows("once/").empty());
    CHECK(cleaners.entries[0]->counters().deleted == 11);
    CHECK(cleaners.early == 0);
}
