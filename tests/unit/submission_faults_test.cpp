// Fault matrix of submissions: injects every fault at every table call of every scenario, alone, followed by each other
// fault, and persistently. Guards against lost updates, edits applied twice, invalid documents and false results.
#include "submission_fixture.hpp"

#include "audit/audit.hpp"
#include "helpers/log.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <iostream>
#include <set>

using namespace hibiscusbridge;
using Outcome = SubmissionOutcome;

enum class Scenario { Alone, SameSection, DifferentSections, JointlyInvalid, SubmitterCrashes };

constexpr std::array scenarioNames{"alone", "same section", "different sections", "jointly invalid", "submitter crashes"};
constexpr std::array faultNames{"none", "error before", "reply lost", "late write", "slow", "older read"};
constexpr std::array faults{
    TableFault::None, TableFault::ServiceDown, TableFault::ReplyLost, TableFault::LateWrite, TableFault::Slow, TableFault::StaleRead};

/// The first fault is injected into call `step` after the setup, the second after `gap` further calls without a fault.
/// With `lasting`, the second fault affects all further calls instead.
struct FaultCase {
    Scenario scenario = Scenario::Alone;
    std::size_t step = 0;
    TableFault fault = TableFault::None;
    TableFault second = TableFault::None;
    std::size_t gap = 0;
    bool lasting = false;
    /// Call of the first submitter during which it crashes: the call is sent, its response is lost.
    std::size_t crashAtCall = 0;
};

static std::string describeCase(const FaultCase &it)
{
    return std::string(scenarioNames[static_cast<std::size_t>(it.scenario)]) + ", step " + std::to_string(it.step) + ", "
           + faultNames[static_cast<std::size_t>(it.fault)] + " then " + faultNames[static_cast<std::size_t>(it.second)]
           + (it.lasting ? " lasting" : " after " + std::to_string(it.gap))
           + (it.scenario == Scenario::SubmitterCrashes ? ", crashes at call " + std::to_string(it.crashAtCall) : "");
}

/// Forwards calls up to and including `crashAtCall`; drops the response of that call and all later calls.
static TablePort crashingPort(const TablePort &port, std::size_t crashAtCall)
{
    const auto calls = std::make_shared<std::size_t>(0);
    return {
        .commit =
            [port, calls, crashAtCall](Transaction transaction, TablePort::CommitCallback callback) {
                if (const auto call = (*calls)++; call <= crashAtCall) {
                    port.commit(
                        std::move(transaction), call < crashAtCall ? std::move(callback) : [](const auto &) {});
                }
            },
        .read =
            [port, calls, crashAtCall](ReadRequest request, TablePort::ReadCallback callback) {
                if (const auto call = (*calls)++; call <= crashAtCall) {
                    port.read(
                        std::move(request), call < crashAtCall ? std::move(callback) : [](const auto &) {});
                }
            },
    };
}

/// Sets `unanswered` when a commit ends with DeadlineExceeded.
static TablePort commitObservingPort(TablePort port, bool &unanswered)
{
    port.commit = [inner = port.commit, &unanswered](Transaction transaction, TablePort::CommitCallback callback) {
        inner(std::move(transaction), [&unanswered, callback](const absl::StatusOr<std::uint64_t> &result) {
            unanswered = unanswered || absl::IsDeadlineExceeded(result.status());
            callback(result);
        });
    };
    return port;
}

/// Runs one case and collects the invariants that it violates.
class FaultRun
{
public:
    explicit FaultRun(const FaultCase &faultCase)
        : m_case(faultCase)
    {
    }

    std::string run();
    std::size_t calls = 0;

private:
    void submit(SubmissionManager &manager, std::size_t index, const Submission &submission);
    void checkCommit();
    void checkAnswer(std::size_t index);
    void checkOutcomes();
    void expect(bool holds, const std::string &text)
    {
        m_violations += holds ? "" : text + "; ";
    }

    FaultCase m_case;
    SubmissionFixture m_fixture;
    std::vector<Submission> m_submissions;
    std::array<std::optional<SubmissionResult>, 2> m_answers;
    std::array<bool, 2> m_commitUnanswered{};
    std::set<std::string> m_seenTexts;
    std::map<std::string, std::uint64_t> m_seenVersions;
    std::string m_violations;
};

void FaultRun::submit(SubmissionManager &manager, std::size_t index, const Submission &submission)
{
    m_submissions.push_back(submission);
    manager.submit(submission, [this, index](const auto &result) {
        expect(!m_answers[index], "callback invoked twice");
        m_answers[index] = result;
    });
}

/// Invariants after every commit: each text of a section is stored only once, the document version changes with each
/// section, and the document is valid.
void FaultRun::checkCommit()
{
    std::vector<SectionText> sections;
    for (const auto &row : m_fixture.table.rows("view/doc/")) {
        const auto section = parseSection(*row.value);
        sections.push_back({section->name, section->text});
        if (m_seenVersions[section->name] != row.version) {
            m_seenVersions[section->name] = row.version;
            expect(m_seenTexts.insert(section->name + section->text).second, "an earlier text of " + section->name + " was stored again");
            expect(row.version < m_fixture.table.version() || m_fixture.table.row("view/docversion").version == row.version,
                   "the document version did not change with " + section->name);
        }
    }
    expect(checkDocument(sections).accepted(), "the stored document is invalid");
}

/// Compares the result with the stored rows, after all late writes have been applied.
void FaultRun::checkAnswer(std::size_t index)
{
    const auto &submission = m_submissions[index];
    const auto record = m_fixture.table.row("submission/" + submission.submissionId);
    std::size_t entries = 0;
    for (const auto &it : selectAudit(m_fixture.table.rows("audit/"), "", 100)) {
        entries += it.id == submission.submissionId ? 1 : 0;
    }
    expect(entries == (record.version > 0 ? 1 : 0), "audit entries: " + std::to_string(entries));
    if (m_case.scenario == Scenario::SubmitterCrashes && index == 0) {
        return; // The crashed submitter returns no result; the second submitter uses the same id.
    }
    const auto &answer = m_answers[index];
    if (!answer) {
        expect(false, "no result");
        return;
    }
    if (answer->outcome == Outcome::Accepted) {
        expect(record.version == answer->version, "accepted but not stored");
        expect(m_fixture.sectionVersion(submission.section) == answer->version, "accepted but lost");
    } else if (answer->outcome == Outcome::Unknown) {
        expect(m_case.lasting && m_commitUnanswered.at(index), "unknown although faults ended or every commit got a response");
    } else if (m_case.scenario != Scenario::SubmitterCrashes || answer->outcome != Outcome::Unavailable) {
        expect(record.version == 0, std::string(toString(answer->outcome)) + " but stored");
    }
    expect(answer->outcome != Outcome::Conflict || !answer->diff.empty(), "conflict without diff");
    // Persistent slow or stale reads are not outages, but may still make every attempt fail.
    expect(m_case.lasting || answer->outcome != Outcome::Unavailable, "unavailable although the table responds");
}

void FaultRun::checkOutcomes()
{
    const auto count = [this](Outcome outcome) {
        return std::count_if(m_answers.begin(), m_answers.end(), [outcome](const auto &it) { return it && it->outcome == outcome; });
    };
    switch (m_case.scenario) {
    case Scenario::Alone:
    case Scenario::SubmitterCrashes:
        return expect(count(Outcome::Accepted) >= 1, "not accepted");
    case Scenario::SameSection:
        return expect(count(Outcome::Accepted) == 1 && count(Outcome::Conflict) == 1, "not one accepted and one conflict");
    case Scenario::DifferentSections:
        return expect(count(Outcome::Accepted) == 2, "not both accepted");
    case Scenario::JointlyInvalid:
        return expect(count(Outcome::Accepted) == 1 && count(Outcome::Invalid) == 1, "not one accepted and one invalid");
    }
}

std::string FaultRun::run()
{
    m_fixture.setUp();
    auto &table = m_fixture.table;
    table.onCommit = [this] {
        checkCommit();
    };
    checkCommit();
    const auto callsBefore = table.calls;
    table.faults.assign(m_case.step, TableFault::None);
    table.faults.push_back(m_case.fault);
    if (m_case.lasting) {
        table.defaultFault = m_case.second;
    } else {
        table.faults.insert(table.faults.end(), m_case.gap, TableFault::None);
        table.faults.push_back(m_case.second);
    }
    const bool crashes = m_case.scenario == Scenario::SubmitterCrashes;
    const auto port = crashes ? crashingPort(table.port(), m_case.crashAtCall) : table.port();
    // New managers start with an empty view, like a restarted entry.
    SubmissionManager one(commitObservingPort(port, m_commitUnanswered[0]), m_fixture.loop.timers(), m_fixture.loop.clock(), "");
    SubmissionManager two(commitObservingPort(table.port(), m_commitUnanswered[1]), m_fixture.loop.timers(), m_fixture.loop.clock(), "");
    const auto edit = m_fixture.edit("web", poolText("web", {1, 5}), "edit-a");
    submit(one, 0, edit);
    if (m_case.scenario == Scenario::SameSection) {
        submit(two, 1, m_fixture.edit("web", poolText("web", {1, 6}), "edit-b"));
    } else if (m_case.scenario == Scenario::DifferentSections || m_case.scenario == Scenario::JointlyInvalid) {
        submit(two, 1, m_fixture.edit("db", poolText("db", {2, m_case.scenario == Scenario::JointlyInvalid ? 5 : 6}), "edit-b"));
    } else if (crashes) {
        m_fixture.loop.advance({1'000});
        submit(two, 1, edit);
    }
    m_fixture.loop.advance({600'000});
    calls = table.calls - callsBefore;
    for (std::size_t i = 0; i < m_submissions.size(); ++i) {
        checkAnswer(i);
    }
    if (!m_case.lasting) {
        checkOutcomes();
    }
    return m_violations;
}

TEST_CASE("submissions violate no invariant under any table fault at any step", "[submission][faults]")
{
    setupLog("error", "test");
    std::size_t cases = 0;
    std::vector<std::string> failed;
    const auto runCase = [&](const FaultCase &faultCase) {
        FaultRun run(faultCase);
        ++cases;
        if (const auto violations = run.run(); !violations.empty()) {
            failed.push_back(describeCase(faultCase) + ": " + violations);
        }
        return run.calls;
    };
    for (const auto scenario :
         {Scenario::Alone, Scenario::SameSection, Scenario::DifferentSections, Scenario::JointlyInvalid, Scenario::SubmitterCrashes}) {
        for (std::size_t crashAtCall = 0; crashAtCall < (scenario == Scenario::SubmitterCrashes ? 3 : 1); ++crashAtCall) {
            const auto steps = runCase({.scenario = scenario, .crashAtCall = crashAtCall});
            for (std::size_t step = 0; step < steps; ++step) {
                for (const auto fault : faults) {
                    for (const auto second : faults) {
                        runCase({.scenario = scenario,
                                 .step = step,
                                 .fault = fault,
                                 .second = second,
                                 .lasting = true,
                                 .crashAtCall = crashAtCall});
                        for (std::size_t gap = 0; gap < (second == TableFault::None ? 1 : 3); ++gap) {
                            runCase({.scenario = scenario,
                                     .step = step,
                                     .fault = fault,
                                     .second = second,
                                     .gap = gap,
                                     .crashAtCall = crashAtCall});
                        }
                    }
                }
            }
        }
    }
    std::cout << "submission fault matrix: " << cases << " cases run, " << failed.size() << " failed\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(failed.size(), 12); ++i) {
        std::cout << "  " << failed[i] << '\n';
    }
    CHECK(failed.empty());
}
