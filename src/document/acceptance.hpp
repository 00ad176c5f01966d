// The transaction that accepts a submission, and the record that identifies it afterwards.
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
    /// Chosen by the submitter; the same for each retry. 1 to 64 characters of [A-Za-z0-9-].
    std::string submissionId;
    /// Bearer token of the section's owner.
    std::string token;
};

/// Row `submission/<id>`: exists exactly when the submission was accepted, at the row's commit version. It keeps an id
/// recognisable after later edits of the same section.
struct SubmissionRecord {
    std::string section;
    std::string textSha256;
    std::string tokenSha256;
    std::vector<Problem> warnings;
};

std::string encodeRecord(const SubmissionRecord &record);
/// Nothing for malformed input.
std::optional<SubmissionRecord> parseRecord(std::string_view text);

std::string recordKey(std::string_view submissionId);

/// The record that accepting the submission writes.
SubmissionRecord makeRecord(const Submission &submission, const std::vector<Problem> &warnings);

/// Sections of the view with the submitted text in place, the submitted one last: a name defined twice is then
/// reported in the section that its operator can edit.
std::vector<SectionText> sectionsWith(const View &view, const Submission &submission);

/// Writes the section, the document version, the submission's record, an audit entry, a row for each declared VM
/// without one and a ledger for each pool without one. Fails when the section, the document or one of these rows changed
/// since `view`, or when the submission was accepted before. Rows of VMs that exist stay as they are: the fleet manager
/// moves or drains them.
/// `actor` is the team that submits; `wall` is the wall clock.
Transaction acceptanceTransaction(
    const View &view, const Submission &submission, const CheckedDocument &checked, const std::string &actor, Millis wall);

} // namespace hibiscusbridge
