// Accepts operators' edits of sections.
#pragma once

#include "document/acceptance.hpp"
#include "ports/timer.hpp"

#include <memory>

namespace hibiscusbridge
{

enum class SubmissionOutcome {
    /// Stored at `version`, now or by an earlier try of the same submission.
    Accepted,
    /// The section is not at the base version; nothing was stored. `diff` shows the edit against the accepted text.
    Conflict,
    /// The whole document would be invalid; nothing was stored. `problems` has the reasons.
    Invalid,
    /// The token is not that of the section's owner; nothing was stored.
    Forbidden,
    /// The id belongs to an accepted submission of another text or section; nothing was stored now.
    IdReused,
    /// The platform did not answer in time; this call stored nothing.
    Unavailable,
    /// The platform did not tell whether the edit was stored. Retry with the same id.
    Unknown,
};

std::string_view toString(SubmissionOutcome outcome);

struct SubmissionResult {
    SubmissionOutcome outcome = SubmissionOutcome::Unknown;
    /// Accepted: commit version of the section. Conflict: version of the accepted text.
    std::uint64_t version = 0;
    /// Invalid: errors and warnings. Accepted: warnings.
    std::vector<Problem> problems;
    /// Conflict: unified diff that turns the accepted text into the operator's.
    std::string diff;
    /// Words for the operator.
    std::string reason;
};

using SubmissionCallback = std::function<void(const SubmissionResult &)>;

/// Submits sections to the table. Runs on the loop's thread; destroying the manager drops submissions that wait.
///
/// Every refusal is confirmed against the table at the document version that it was decided on, and a commit without an
/// answer is read back by its submission id. A commit whose fate is open cannot take effect once the document version
/// has moved, so a refusal after that is final.
class SubmissionManager
{
public:
    /// `bootstrapToken` authorises the first submission while there is no document; empty forbids it.
    SubmissionManager(TablePort table, TimerPort timers, Clock clock, std::string bootstrapToken);

    /// Calls back once, never inside the call.
    void submit(Submission submission, SubmissionCallback callback);

private:
    struct PendingSubmission;
    using PendingPointer = std::shared_ptr<PendingSubmission>;

    void readView(const PendingPointer &pending);
    void readRecord(const PendingPointer &pending);
    void decide(const PendingPointer &pending);
    void answerFromRecord(const PendingPointer &pending, const Row &row);
    std::string authorisedTeam(const Submission &submission) const;
    std::optional<SubmissionResult> findConflict(const Submission &submission) const;
    void confirmRefusal(const PendingPointer &pending, SubmissionResult refusal);
    void commit(const PendingPointer &pending, const CheckedDocument &checked, const std::string &actor);
    void retry(const PendingPointer &pending);
    void giveUp(const PendingPointer &pending);
    void finish(const PendingPointer &pending, SubmissionResult result);
    template<typename Function>
    auto whileAlive(Function function);

    TablePort m_table;
    TimerPort m_timers;
    Clock m_clock;
    std::string m_bootstrapToken;
    /// Grows with each read; never goes back to an older version.
    View m_view;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
