// Builds the transaction that commits an accepted submission, and the record that makes retries idempotent.
#pragma once

#include "document/check.hpp"
#include "model/view.hpp"

namespace hibiscusbridge
{

inline constexpr std::string_view submissionPrefix = "submission/";

/// An operator's edit of one section.
struct Submission {
    std::string section;
    std::string text;
    /// Version of the section row that the edit is based on; 0 for a new section.
    std::uint64_t baseVersion = 0;
    /// Idempotency key, chosen by the submitter and reused for each retry. 1 to 64 characters of [A-Za-z0-9-].
    std::string submissionId;
    /// Bearer token of the section's owner.
    std::string token;
};

/// Row `submission/<id>`: exists if and only if the submission was accepted, and has the commit's version. Identifies
/// retries of the submission even after later edits of the section.
struct SubmissionRecord {
    std::string section;
    std::string textSha256;
    std::string tokenSha256;
    std::vector<Problem> warnings;
};

std::string encodeRecord(const SubmissionRecord &record);
/// Returns nullopt if the text is malformed.
std::optional<SubmissionRecord> parseRecord(std::string_view text);

std::string recordKey(std::string_view submissionId);

/// Builds the record that is written when the submission is accepted.
SubmissionRecord makeRecord(const Submission &submission, const std::vector<Problem> &warnings);

/// Returns the view's sections with the submitted one replaced and placed last, so that a duplicate name is reported
/// in the section that the operator is editing.
std::vector<SectionText> sectionsWith(const View &view, const Submission &submission);

/// Writes the section, the document version, the submission record, an audit entry, and the missing rows of declared
/// VMs and ledgers of pools. The preconditions fail if the section, the document or one of these rows has changed since
/// `view`, or if the submission was already accepted. Existing VM rows are not modified: the fleet manager moves or
/// drains those VMs.
/// `actor` is the submitting team; `wall` is the wall-clock time.
Transaction acceptanceTransaction(
    const View &view, const Submission &submission, const CheckedDocument &checked, const std::string &actor, Millis wall);

} // namespace hibiscusbridge
