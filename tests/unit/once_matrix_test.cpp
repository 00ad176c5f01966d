// Fault matrix of the at-most-once record: each table call of a claim and its outcome meets each fault.
#include "requestentry.hpp"

#include <catch2/catch.hpp>
#include <iostream>

using namespace hibiscusbridge;

namespace
{

constexpr std::array allFaults{
    TableFault::None, TableFault::ServiceDown, TableFault::ReplyLost, TableFault::LateWrite, TableFault::Slow, TableFault::StaleRead};
constexpr int faultPositions = 6;
/// Without faults, the outcome is written before this step.
constexpr std::int64_t lastStep = 72;

enum class Scene {
    OneEntry,
    TwoEntriesRace,
    /// The second entry asks while the first one waits between its claim and its send.
    SecondEntryLater,
    /// The table service is down for two seconds.
    Outage,
    EntryDies,
    EntryFrozen,
    EntryFrozenReversed,
};

struct Case {
    Scene scene = Scene::OneEntry;
    int position = 0;
    TableFault first = TableFault::None;
    TableFault second = TableFault::None;
    /// When the entry dies or freezes, or the second entry asks.
    Millis at;
};

std::string describe(const Case &it)
{
    return "scene " + std::to_string(int(it.scene)) + " call " + std::to_string(it.position) + " faults " + std::to_string(int(it.first))
           + "," + std::to_string(int(it.second)) + " at " + std::to_string(it.at.count);
}

/// Empty when all invariants hold, otherwise the one that was violated.
std::string violation(const std::vector<Execution> &executions, const std::vector<const TestEntry *> &entries)
{
    std::map<std::string, int> perKey;
    std::set<std::string> ids;
    for (const auto &it : executions) {
        ids.insert(it.requestId);
        if (++perKey[it.key] > 1) {
            return "key ran twice";
        }
    }
    for (const auto *entry : entries) {
        for (const auto &it : entry->answers) {
            const std::string id(headerValue(it.headers, "X-Request-Id"));
            const bool ran = ids.contains(id);
            if (it.outcome == RequestOutcome::NotRun && ran) {
                return "answered not run, but ran";
            }
            if (it.outcome == RequestOutcome::Finished && it.body != entry->bodies.at(id)) {
                return "answer of another request";
            }
        }
        if (entry->slots.invalidReleases > 0 || (entry->requests && !entry->slots.held.empty())) {
            return "slot not released exactly once";
        }
    }
    return {};
}

std::string runCase(const Case &it)
{
    FakeLoop loop;
    FakeTable table(loop);
    std::vector<Execution> executions;
    TestEntry a(loop, table, executions, testView(3, 1));
    TestEntry b(loop, table, executions, testView(3, 1));
    TestEntry c(loop, table, executions, testView(3, 1));
    table.faults.assign(static_cast<std::size_t>(it.position), TableFault::None);
    table.faults.push_back(it.first);
    table.faults.push_back(it.second);

    const auto deadline = loop.now() + Millis{5'000};
    const auto first = a.ask(post("k", "body"));
    const auto innocent = a.ask(post("innocent", "other"));
    if (it.scene == Scene::TwoEntriesRace) {
        b.ask(post("k", "body"));
    }
    loop.advance(it.at);
    if (it.scene == Scene::SecondEntryLater) {
        b.ask(post("k", "body"));
    } else if (it.scene == Scene::Outage) {
        table.defaultFault = TableFault::ServiceDown;
        loop.timers().after({2'000}, [&] { table.defaultFault = TableFault::None; });
    } else if (it.scene == Scene::EntryDies) {
        a.die();
    } else if (it.scene == Scene::EntryFrozen || it.scene == Scene::EntryFrozenReversed) {
        a.frozen = true;
    }
    loop.advance({1'000});
    c.ask(post("k", "body"));
    loop.advance({10'000});
    if (a.frozen) {
        a.resume(it.scene == Scene::EntryFrozenReversed);
    }
    table.faults.clear();
    loop.advance({60'000});
    c.ask(post("k", "body"));
    c.ask(post("k", "another body"));
    loop.advance({10'000});

    for (const auto &run : executions) {
        if ((run.requestId == first || run.requestId == innocent) && run.at >= deadline) {
            return "sent after the deadline";
        }
    }
    if (auto text = violation(executions, {&a, &b, &c}); !text.empty()) {
        return text;
    }
    const auto expected = it.scene == Scene::EntryDies ? 0U : 2U;
    if (a.answers.size() < expected || c.answers.size() != 3 || (a.requests && a.requests->inFlightTotal() != 0)) {
        return "request without an answer";
    }
    if (c.answers.back().status != 422 && c.answers[1].status != 422) {
        return "another body under the key was not refused";
    }
    const bool ranKey = std::any_of(executions.begin(), executions.end(), [](const auto &run) { return run.key == "k"; });
    const auto &later = c.answers[c.answers.back().status == 422 ? 1 : 2];
    if (it.scene != Scene::EntryDies && ranKey && later.outcome != RequestOutcome::Finished) {
        return "the outcome of a finished request was not recorded";
    }
    const bool survivable = it.second == TableFault::None && it.first != TableFault::ServiceDown;
    const bool untouched = it.scene == Scene::OneEntry || it.scene == Scene::TwoEntriesRace || it.scene == Scene::SecondEntryLater;
    if (survivable && untouched && executions.size() != 2) {
        return "a single lost, late or slow reply kept a request from running";
    }
    if ((untouched || it.scene == Scene::Outage) && !ranKey) {
        return "a key that did not run could not be used later";
    }
    return {};
}

} // namespace

TEST_CASE("fault matrix: a key runs at most once and answers stay truthful", "[once][matrix]")
{
    std::vector<Case> cases;
    for (const auto scene : {Scene::OneEntry,
                             Scene::TwoEntriesRace,
                             Scene::SecondEntryLater,
                             Scene::Outage,
                             Scene::EntryDies,
                             Scene::EntryFrozen,
                             Scene::EntryFrozenReversed}) {
        for (int position = 0; position < faultPositions; ++position) {
            for (const auto first : allFaults) {
                for (const auto second : allFaults) {
                    const bool timed = scene != Scene::OneEntry && scene != Scene::TwoEntriesRace;
                    for (std::int64_t at = 0; at <= (timed ? lastStep : 0); at += at == 20 ? 44 : 1) {
                        cases.push_back({scene, position, first, second, {at}});
                    }
                }
            }
        }
    }
    std::size_t failed = 0;
    std::map<std::string, std::size_t> kinds;
    for (const auto &it : cases) {
        const auto text = runCase(it);
        if (!text.empty()) {
            ++failed;
            if (++kinds[text] <= 3) {
                UNSCOPED_INFO(text << ": " << describe(it));
            }
        }
    }
    std::cout << "at-most-once fault matrix: cases run " << cases.size() << ", failed " << failed << '\n';
    for (const auto &[text, n] : kinds) {
        std::cout << "  " << text << ": " << n << '\n';
    }
    CHECK(failed == 0);
}
