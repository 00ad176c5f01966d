// Validates and commits operators' edits of document sections.
#pragma once

#include "document/acceptance.hpp"
#include "ports/timer.hpp"

#include <memory>

namespace hibiscusbridge
{

enum class SubmissionOutcome {
    /// Committed at `version`, by this call or by an earlier attempt with the same submission id.
    Accepted,
    /// The section is not at the base version; nothing was stored. `diff` compares the accepted text with the edit.
    Conflict,
    /// The resulting document would be invalid; nothing was stored. `problems` lists the reasons.
    Invalid,
    /// The token does not belong to the section's owner; nothing was stored.
    Forbidden,
    /// The id was used by an accepted submission of another text or section; this call stored nothing.
    IdReused,
    /// All attempts failed, by time-outs, errors or concurrent commits; this call stored nothing.
    Unavailable,
    /// A commit got no response and its result could not be determined. Retry with the same id.
    Unknown,
};

std::string_view toString(SubmissionOutcome outcome);

struct SubmissionResult {
    SubmissionOutcome outcome = SubmissionOutcome::Unknown;
    /// Accepted: commit version of the section. Conflict: version of the accepted text.
    std::uint64_t version = 0;
    /// Invalid: errors and warnings. Accepted: warnings.
    std::vector<Problem> problems;
    /// Conflict: unified diff from the accepted text to the submitted text.
    std::string diff;
    /// Human-readable explanation for the operator.
    std::string reason;
};

using SubmissionCallback = std::function<void(const SubmissionResult &)>;

/// Commits submissions to the table. Runs on the event loop's thread; destroying the manager drops pending submissions
/// without calling back.
///
/// Every rejection is confirmed by a commit conditional on the document version that it was based on. After a commit
/// without a response, the submission record is read back by its id. Such a commit cannot take effect once the document
/// version has changed, so a rejection after that is final.
class SubmissionManager
{
public:
    /// `bootstrapToken` authorises the first submission while there is no document; empty forbids it.
    SubmissionManager(TablePort table, TimerPort timers, Clock clock, std::string bootstrapToken);

    /// Invokes the callback exactly once, never synchronously.
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
    /// Updated incrementally by each read; its version never decreases.
    View m_view;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
