// Builds the transaction that commits an accepted submission.
#include "document/acceptance.hpp"

#include "audit/audit.hpp"
#include "helpers/ids.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

std::string encodeRecord(const SubmissionRecord &record)
{
    json warnings = json::array();
    for (const auto &[severity, place, text] : record.warnings) {
        warnings.push_back({{"section", place.section}, {"line", place.line}, {"column", place.column}, {"text", text}});
    }
    return json{{"section", record.section}, {"textSha256", record.textSha256}, {"tokenSha256", record.tokenSha256}, {"warnings", warnings}}
        .dump();
}

std::optional<SubmissionRecord> parseRecord(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        SubmissionRecord record{
            .section = object.at("section"), .textSha256 = object.at("textSha256"), .tokenSha256 = object.at("tokenSha256")};
        for (const auto &it : object.at("warnings")) {
            record.warnings.push_back({Severity::Warning, {it.at("section"), it.at("line"), it.at("column")}, it.at("text")});
        }
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string recordKey(std::string_view submissionId)
{
    return std::string(submissionPrefix) + std::string(submissionId);
}

SubmissionRecord makeRecord(const Submission &submission, const std::vector<Problem> &warnings)
{
    return {submission.section, sha256Hex(submission.text), sha256Hex(submission.token), warnings};
}

std::vector<SectionText> sectionsWith(const View &view, const Submission &submission)
{
    std::vector<SectionText> sections;
    for (const auto &[name, stored] : view.sections) {
        if (name != submission.section) {
            sections.push_back({name, stored.text});
        }
    }
    sections.push_back({submission.section, submission.text});
    return sections;
}

/// Adds a write with the precondition that the row does not exist.
static void insertRow(Transaction &transaction, const std::string &key, std::string value)
{
    transaction.preconditions.push_back({key, 0});
    transaction.writes.push_back({key, std::move(value)});
}

/// Returns the number of rows inserted.
static std::size_t insertVms(Transaction &transaction, const View &view, const Document &document, Millis wall)
{
    std::size_t n = 0;
    for (const auto &[id, vm] : document.vms) {
        if (view.vms.contains(id)) {
            continue;
        }
        const VmRow row{
            .id = id,
            .pool = vm.pool,
            .address = vm.address,
            .zone = vm.zone,
            .rack = vm.rack,
            .slots = vm.slots,
            .connections = vm.connections,
            .since = wall,
        };
        insertRow(transaction, std::string(vmPrefix) + id, encodeVm(row));
        ++n;
    }
    return n;
}

static std::size_t insertLedgers(Transaction &transaction, const View &view, const Document &document)
{
    std::size_t n = 0;
    for (const auto &[name, pool] : document.pools) {
        if (view.ledgers.contains(name)) {
            continue;
        }
        insertRow(transaction, std::string(poolPrefix) + name, encodeLedger({.pool = name}));
        ++n;
    }
    return n;
}

static AuditEntry makeAuditEntry(const Submission &submission, const StoredSection *stored, const std::string &actor, Millis wall)
{
    const auto describe = [](std::string_view text) {
        return std::to_string(text.size()) + " bytes, sha256 " + sha256Hex(text);
    };
    return {
        .id = submission.submissionId,
        .at = wall,
        .actor = actor,
        .action = "document.submit",
        .subject = "section/" + submission.section,
        .reason = "submission " + submission.submissionId + " based on version " + std::to_string(submission.baseVersion),
        .before = stored ? describe(stored->text) : "absent",
        .after = describe(submission.text),
    };
}

Transaction acceptanceTransaction(
    const View &view, const Submission &submission, const CheckedDocument &checked, const std::string &actor, Millis wall)
{
    Transaction transaction;
    const auto stored = view.sections.find(submission.section);
    const auto sectionKey = std::string(sectionPrefix) + submission.section;
    transaction.preconditions.push_back({sectionKey, submission.baseVersion});
    transaction.preconditions.push_back({std::string(documentVersionKey), view.documentVersion});
    transaction.writes.push_back({sectionKey, encodeSection({submission.section, submission.text, submission.submissionId})});
    transaction.writes.push_back(
        {std::string(documentVersionKey), json{{"submissionId", submission.submissionId}, {"section", submission.section}}.dump()});
    insertRow(transaction, recordKey(submission.submissionId), encodeRecord(makeRecord(submission, checked.problems)));
    auto entry = makeAuditEntry(submission, stored == view.sections.end() ? nullptr : &stored->second, actor, wall);
    entry.figures["newVms"] = static_cast<double>(insertVms(transaction, view, checked.document, wall));
    entry.figures["newPools"] = static_cast<double>(insertLedgers(transaction, view, checked.document));
    entry.figures["warnings"] = static_cast<double>(checked.problems.size());
    addAudit(transaction, entry);
    return transaction;
}

} // namespace hibiscusbridge
