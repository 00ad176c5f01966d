// Submission state machine: read the view and the record, validate, commit, retry with backoff.
#include "document/submission.hpp"

#include "document/linediff.hpp"
#include "helpers/ids.hpp"
#include "helpers/log.hpp"

#include <algorithm>

namespace hibiscusbridge
{

/// Attempts in which a submission may commit.
constexpr int maxAttempts = 8;
/// Further attempts that only read back a commit that got no response.
constexpr int maxReadBacks = 4;
/// Delay before the second attempt; doubles up to `maxRetryWait`.
constexpr Millis firstRetryWait{100};
constexpr Millis maxRetryWait{1'600};
/// Upper bound of the jitter, so that submitters that conflicted do not retry at the same time.
constexpr std::uint64_t retryJitterMs = 50;
constexpr std::size_t maxSubmissionIdLength = 64;

/// A submission without a final result.
struct SubmissionManager::PendingSubmission {
    Submission submission;
    SubmissionCallback callback;
    int attempts = 0;
    /// A commit got no response and may still take effect while the document is at `unresolvedAtVersion`.
    bool commitUnresolved = false;
    std::uint64_t unresolvedAtVersion = 0;
};

std::string_view toString(SubmissionOutcome outcome)
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
        return "accepted";
    case SubmissionOutcome::Conflict:
        return "conflict";
    case SubmissionOutcome::Invalid:
        return "invalid";
    case SubmissionOutcome::Forbidden:
        return "forbidden";
    case SubmissionOutcome::IdReused:
        return "id-reused";
    case SubmissionOutcome::Unavailable:
        return "unavailable";
    case SubmissionOutcome::Unknown:
        return "unknown";
    }
    return "invalid-outcome";
}

static bool isValidSubmissionId(std::string_view id)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !id.empty() && id.size() <= maxSubmissionIdLength && std::all_of(id.begin(), id.end(), allowed);
}

/// Validates the section name and the submission id, which become row keys. Needs no table access.
static std::vector<Problem> checkRequest(const Submission &submission)
{
    std::vector<Problem> problems;
    if (!isValidName(submission.section)) {
        problems.push_back({.text = "the section name must have 1 to 63 characters of a-z, 0-9 and '-'"});
    }
    if (!isValidSubmissionId(submission.submissionId)) {
        problems.push_back({.text = "the submission id must have 1 to 64 characters of A-Z, a-z, 0-9 and '-'"});
    }
    return problems;
}

SubmissionManager::SubmissionManager(TablePort table, TimerPort timers, Clock clock, std::string bootstrapToken)
    : m_table(std::move(table))
    , m_timers(std::move(timers))
    , m_clock(std::move(clock))
    , m_bootstrapToken(std::move(bootstrapToken))
{
}

/// Wraps a callback so that it does nothing after the manager has been destroyed.
template<typename Function>
auto SubmissionManager::whileAlive(Function function)
{
    return [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)](auto &&...args) {
        if (!alive.expired()) {
            function(std::forward<decltype(args)>(args)...);
        }
    };
}

void SubmissionManager::submit(Submission submission, SubmissionCallback callback)
{
    const auto pending = std::make_shared<PendingSubmission>(PendingSubmission{std::move(submission), std::move(callback)});
    if (auto problems = checkRequest(pending->submission); !problems.empty()) {
        SubmissionResult refusal{
            .outcome = SubmissionOutcome::Invalid, .problems = std::move(problems), .reason = "invalid section name or submission id"};
        m_timers.after({0}, whileAlive([this, pending, refusal] { finish(pending, refusal); }));
        return;
    }
    readView(pending);
}

void SubmissionManager::readView(const PendingPointer &pending)
{
    const ReadRequest request{std::string(viewPrefix), m_view.version};
    m_table.read(request, whileAlive([this, pending](const absl::StatusOr<ReadResult> &result) {
                     // A read older than the view is stale: no decision can be based on it.
                     if (!result.ok() || result->version < m_view.version) {
                         retry(pending);
                         return;
                     }
                     applyRows(m_view, result->version, result->rows);
                     readRecord(pending);
                 }));
}

void SubmissionManager::readRecord(const PendingPointer &pending)
{
    const auto key = recordKey(pending->submission.submissionId);
    m_table.read({key}, whileAlive([this, pending, key](const absl::StatusOr<ReadResult> &result) {
                     // A read older than the view could miss the submission's own commit, which would then be reported as a
                     // conflict.
                     if (!result.ok() || result->version < m_view.version) {
                         retry(pending);
                         return;
                     }
                     const auto it = std::find_if(
                         result->rows.begin(), result->rows.end(), [&key](const Row &row) { return row.key == key && row.value; });
                     if (it != result->rows.end()) {
                         answerFromRecord(pending, *it);
                         return;
                     }
                     pending->commitUnresolved = pending->commitUnresolved && m_view.documentVersion == pending->unresolvedAtVersion;
                     decide(pending);
                 }));
}

void SubmissionManager::answerFromRecord(const PendingPointer &pending, const Row &row)
{
    const auto record = parseRecord(*row.value);
    const auto expected = makeRecord(pending->submission, {});
    // Compare with the token of the accepted attempt: the submission itself may have changed the owner or its token.
    if (!record || !equalSecrets(record->tokenSha256, expected.tokenSha256)) {
        finish(pending, {.outcome = SubmissionOutcome::Forbidden, .reason = "the submission id was already used with another token"});
        return;
    }
    if (record->section != expected.section || record->textSha256 != expected.textSha256) {
        finish(
            pending,
            {.outcome = SubmissionOutcome::IdReused,
             .reason = "the submission id was already used for a different edit, in section '" + record->section + "'; choose a new id"});
        return;
    }
    finish(pending, {.outcome = SubmissionOutcome::Accepted, .version = row.version, .problems = record->warnings});
}

/// Name of the section's owning team if the token authenticates it, otherwise empty.
std::string SubmissionManager::authorisedTeam(const Submission &submission) const
{
    if (m_view.documentVersion == 0) {
        const bool first = submission.section == fleetSection && !m_bootstrapToken.empty();
        return first && equalSecrets(submission.token, m_bootstrapToken) ? "bootstrap" : "";
    }
    const auto owner = m_view.document.sectionOwners.find(submission.section);
    if (owner == m_view.document.sectionOwners.end()) {
        return {};
    }
    const auto team = m_view.document.teams.find(owner->second);
    if (team == m_view.document.teams.end() || !equalSecrets(team->second.tokenSha256, sha256Hex(submission.token))) {
        return {};
    }
    return team->first;
}

std::optional<SubmissionResult> SubmissionManager::findConflict(const Submission &submission) const
{
    const auto it = m_view.sections.find(submission.section);
    const auto version = it == m_view.sections.end() ? 0 : it->second.version;
    if (version == submission.baseVersion) {
        return std::nullopt;
    }
    return SubmissionResult{
        .outcome = SubmissionOutcome::Conflict,
        .version = version,
        .diff = lineDiff(it == m_view.sections.end() ? std::string_view() : it->second.text, submission.text),
        .reason = "section '" + submission.section + "' is at version " + std::to_string(version) + ", but the edit is based on version "
                  + std::to_string(submission.baseVersion),
    };
}

void SubmissionManager::decide(const PendingPointer &pending)
{
    if (pending->attempts >= maxAttempts) {
        retry(pending);
        return;
    }
    const auto &submission = pending->submission;
    const auto team = authorisedTeam(submission);
    if (team.empty()) {
        const std::string reason = m_view.documentVersion == 0
                                       ? "the first submission must be section 'fleet' with the bootstrap token"
                                       : "the token does not belong to the owner of section '" + submission.section + "'";
        confirmRefusal(pending, {.outcome = SubmissionOutcome::Forbidden, .reason = reason});
        return;
    }
    if (auto conflict = findConflict(submission)) {
        confirmRefusal(pending, std::move(*conflict));
        return;
    }
    auto checked = checkDocument(sectionsWith(m_view, submission));
    if (!checked.accepted()) {
        confirmRefusal(pending,
                       {.outcome = SubmissionOutcome::Invalid,
                        .problems = std::move(checked.problems),
                        .reason = "the resulting document would be invalid"});
        return;
    }
    commit(pending, checked, team);
}

/// Commits a transaction without writes, which succeeds only if the rejection was based on the current document.
void SubmissionManager::confirmRefusal(const PendingPointer &pending, SubmissionResult refusal)
{
    const Transaction validation{
        .preconditions = {{std::string(documentVersionKey), m_view.documentVersion}, {recordKey(pending->submission.submissionId), 0}},
    };
    m_table.commit(validation, whileAlive([this, pending, refusal = std::move(refusal)](const absl::StatusOr<std::uint64_t> &result) {
                       if (!result.ok()) {
                           retry(pending);
                           return;
                       }
                       finish(pending, refusal);
                   }));
}

void SubmissionManager::commit(const PendingPointer &pending, const CheckedDocument &checked, const std::string &actor)
{
    const auto documentVersion = m_view.documentVersion;
    m_table.commit(acceptanceTransaction(m_view, pending->submission, checked, actor, m_clock.wall()),
                   whileAlive([this, pending, documentVersion, warnings = checked.problems](const absl::StatusOr<std::uint64_t> &result) {
                       if (result.ok()) {
                           finish(pending, {.outcome = SubmissionOutcome::Accepted, .version = *result, .problems = warnings});
                           return;
                       }
                       if (!absl::IsAborted(result.status()) && !absl::IsUnavailable(result.status())) {
                           pending->commitUnresolved = true;
                           pending->unresolvedAtVersion = documentVersion;
                       }
                       retry(pending);
                   }));
}

void SubmissionManager::retry(const PendingPointer &pending)
{
    ++pending->attempts;
    if (pending->attempts >= maxAttempts + (pending->commitUnresolved ? maxReadBacks : 0)) {
        giveUp(pending);
        return;
    }
    const auto doubled = firstRetryWait * (std::int64_t{1} << std::min(pending->attempts - 1, 10));
    const auto jitter = stableHash(pending->submission.submissionId + std::to_string(pending->attempts)) % retryJitterMs;
    m_timers.after(std::min(doubled, maxRetryWait) + Millis{static_cast<std::int64_t>(jitter)},
                   whileAlive([this, pending] { readView(pending); }));
}

void SubmissionManager::giveUp(const PendingPointer &pending)
{
    if (pending->commitUnresolved) {
        finish(pending,
               {.outcome = SubmissionOutcome::Unknown,
                .reason = "no response to the commit; the edit may have been stored; retry with the same submission id"});
        return;
    }
    finish(pending,
           {.outcome = SubmissionOutcome::Unavailable,
            .reason = "the edit could not be committed before the retries ran out; nothing was stored by this call"});
}

void SubmissionManager::finish(const PendingPointer &pending, SubmissionResult result)
{
    logEvent(LogLevel::Info,
             "submission",
             {{"id", pending->submission.submissionId},
              {"section", pending->submission.section},
              {"outcome", toString(result.outcome)},
              {"version", result.version},
              {"attempts", pending->attempts + 1}});
    pending->callback(result);
}

} // namespace hibiscusbridge
