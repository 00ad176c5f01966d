// Diffs, dry runs and audit entries must describe a change exactly, because operators act on them.
#include "audit/audit.hpp"
#include "document/dryrun.hpp"
#include "document/linediff.hpp"
#include "fakes/faketable.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace hibiscusbridge;

/// Applies hunks of a unified diff to the lines of a text.
static std::string applyPatch(const std::string &before, const std::string &diff)
{
    std::vector<std::string> lines;
    std::string out;
    std::istringstream text(before);
    for (std::string line; std::getline(text, line);) {
        lines.push_back(line);
    }
    std::size_t next = 0;
    std::istringstream hunks(diff);
    for (std::string line; std::getline(hunks, line);) {
        if (line.starts_with("@@")) {
            const auto start = std::stoul(line.substr(4));
            const auto count = std::stoul(line.substr(line.find(',') + 1));
            for (const auto end = count == 0 ? start : start - 1; next < end; ++next) {
                out += lines.at(next) + "\n";
            }
            continue;
        }
        if (line[0] != '+') {
            REQUIRE(lines.at(next++) == line.substr(1));
        }
        out += line[0] == '-' ? "" : line.substr(1) + "\n";
    }
    for (; next < lines.size(); ++next) {
        out += lines[next] + "\n";
    }
    return out;
}

TEST_CASE("a diff shows changed lines with three lines of context", "[linediff]")
{
    CHECK(lineDiff("a\nb\n", "a\nb\n").empty());
    CHECK(lineDiff("1\n2\n3\n4\n5\n6\n", "1\n2\n3\n4\nfive\n6\n") == "@@ -2,5 +2,5 @@\n 2\n 3\n 4\n-5\n+five\n 6\n");
    CHECK(lineDiff("", "a\n") == "@@ -0,0 +1,1 @@\n+a\n");
    CHECK(lineDiff("a\n", "") == "@@ -1,1 +0,0 @@\n-a\n");
}

TEST_CASE("applying a diff to the old text gives the new text", "[linediff]")
{
    std::mt19937 random(7);
    const auto randomText = [&random](std::size_t n, unsigned kinds) {
        std::string out;
        for (std::size_t i = 0; i < n; ++i) {
            out += std::to_string(random() % kinds) + "\n";
        }
        return out;
    };
    for (int i = 0; i < 300; ++i) {
        const auto before = randomText(random() % 60, 1 + random() % 40);
        auto after = i % 2 == 0 ? before : randomText(random() % 60, 5);
        if (i % 2 == 0 && !after.empty()) {
            after.insert(after.find('\n') + 1, "new\n");
        }
        CHECK(applyPatch(before, lineDiff(before, after)) == after);
    }
    // More edits than maxDiffEdits.
    const auto before = "same\n" + randomText(3'000, 1'000'000) + "end\n";
    const auto after = "same\n" + randomText(3'000, 1'000'000) + "end\n";
    CHECK(applyPatch(before, lineDiff(before, after)) == after);
    CHECK(lineDiff(before, after).find("-same") == std::string::npos);
}

static View makeView(std::initializer_list<std::pair<std::string, std::string>> vms)
{
    View view;
    for (const auto &[id, pool] : vms) {
        view.vms[id] = {.id = id, .pool = pool};
        view.document.vms[id] = {.id = id, .pool = pool};
    }
    view.document.pools["a"] = {.name = "a", .owner = "t", .minHealthy = 1, .mayLose = 2};
    view.document.pools["b"] = {.name = "b", .owner = "t"};
    view.document.services["s"] = {.name = "s", .pool = "a"};
    return view;
}

TEST_CASE("a dry run lists the changes of an edit and estimates the roll-out time", "[dryrun]")
{
    const auto view = makeView({{"v1", "a"}, {"v2", "a"}, {"v3", "a"}, {"v4", "a"}, {"v5", "a"}});
    auto document = view.document;
    document.vms["v1"].pool = "b";
    document.vms.erase("v2");
    document.vms["v3"].pool = "b";
    document.vms["v6"] = {.id = "v6", .pool = "a"};
    document.services["s"].pool = "b";
    document.pools["a"].minHealthy = 2;
    const auto result = dryRun(view, document, Millis{60'000});
    CHECK(result.vmsAdded == std::vector<std::string>{"v6"});
    CHECK(result.vmsRemoved == std::vector<std::string>{"v2"});
    CHECK(result.rollOut == Millis{120'000}); // Three VMs leave pool a, two at a time, 60 s each.
    CHECK(renderDryRun(result)
          == "VMs added: 1 v6\nVMs removed: 1 v2\nVMs moved: 2\n  v1: a -> b\n  v3: a -> b\nservices rerouted: 1\n  s: a -> b\n"
             "buffer: 4 -> 3 VMs\n  pool a: 4 -> 1, stricter budget\n  pool b: 0 -> 2\nroll-out: about 120 s\n");
    document.pools["a"].mayLose = 0;
    const auto blocked = dryRun(view, document, Millis{60'000});
    CHECK(!blocked.rollOut);
    CHECK(blocked.blockedPools == std::vector<std::string>{"a"});
}

TEST_CASE("a dry run compares a moving VM by its current pool, not by its declared pool", "[dryrun]")
{
    auto view = makeView({{"v1", "a"}});
    view.document.vms["v1"].pool = "b";
    CHECK(dryRun(view, view.document, std::nullopt).vmsMoved.size() == 1);
}

TEST_CASE("reading audit entries returns the newest of a subject in ascending order", "[audit]")
{
    FakeLoop loop;
    FakeTable table(loop);
    // Without zero padding, the key of 10 would sort before that of 9.
    for (const std::int64_t at : {9, 10, 1'000}) {
        Transaction transaction;
        addAudit(transaction, {.id = "e" + std::to_string(at), .at = {at}, .actor = "ops", .subject = "vm/a", .figures = {{"n", 1.5}}});
        addAudit(transaction, {.id = "other" + std::to_string(at), .at = {at}, .subject = "vm/ab"});
        table.port().commit(transaction, [](const auto &) {});
    }
    table.put("audit/0000000000011-x", "{malformed");
    std::vector<AuditEntry> entries;
    readAudit(table.port(), "vm/a", 2, {2'000}, [&entries](const auto &result) { entries = *result; });
    loop.advance({100});
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].id == "e10");
    CHECK(entries[1].id == "e1000");
    CHECK(entries[1].figures.at("n") == 1.5);
    CHECK(auditKey(entries[1]) == "audit/0000000001000-e1000");
    absl::Status status;
    table.defaultFault = TableFault::ServiceDown;
    readAudit(table.port(), "vm/a", 2, {2'000}, [&status](const auto &result) { status = result.status(); });
    loop.advance({100});
    CHECK(absl::IsUnavailable(status));
}

TEST_CASE("recent audit entries are read without a full scan, and older ones are still found", "[audit]")
{
    FakeLoop loop;
    FakeTable table(loop);
    const Millis now{1'796'365'345'000};
    const Millis day{86'400'000};
    // The last time is in the future: written by an entry whose clock is ahead.
    const std::vector<Millis> times{{7}, now - day * 4'000, now - day * 40, now - day * 2, now - day, now, now + Millis{59'000}};
    for (const auto at : times) {
        Transaction transaction;
        addAudit(transaction, {.id = std::to_string(at.count), .at = at, .subject = "vm/a"});
        table.port().commit(transaction, [](const auto &) {});
    }
    auto port = table.port();
    std::size_t rowsRead = 0;
    port.read = [&, read = port.read](const ReadRequest &request, const TablePort::ReadCallback &callback) {
        read(request, [&rowsRead, callback](const absl::StatusOr<ReadResult> &result) {
            rowsRead += result.ok() ? result->rows.size() : 0;
            callback(result);
        });
    };
    for (std::size_t limit = 1; limit <= times.size() + 1; ++limit) {
        std::vector<AuditEntry> entries;
        rowsRead = 0;
        readAudit(port, "vm/a", limit, now, [&entries](const auto &result) { entries = *result; });
        loop.advance({10'000});
        REQUIRE(entries.size() == std::min(limit, times.size()));
        for (std::size_t i = 0; i < entries.size(); ++i) {
            CHECK(entries[i].at == times[times.size() - entries.size() + i]);
        }
        CHECK((limit > 2 || rowsRead <= 3));
    }
}

TEST_CASE("an audit entry with text that is not UTF-8 is still stored", "[audit]")
{
    const auto entry = parseAudit(encodeAudit({.id = "a", .reason = "bad \xff byte"}));
    REQUIRE(entry);
    CHECK(entry->reason.starts_with("bad "));
}
