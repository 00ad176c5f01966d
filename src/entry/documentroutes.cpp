// Operator port: the document.
#include "entry/documentroutes.hpp"

#include "document/dryrun.hpp"
#include "document/linediff.hpp"
#include "entry/respond.hpp"
#include "helpers/ids.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

/// Time to drain and move one VM, for the estimate of a dry run.
constexpr Millis timePerVm{30'000};

void listSections(Components &components, const HttpRequest &, const std::string &, HttpResponder respond)
{
    const auto &view = components.view();
    json sections = json::array();
    for (const auto &[name, section] : view.sections) {
        const auto owner = view.document.sectionOwners.find(name);
        sections.push_back({{"name", name},
                            {"owner", owner == view.document.sectionOwners.end() ? "" : owner->second},
                            {"version", section.version},
                            {"text", section.text}});
    }
    respond(jsonResponse({{"version", view.documentVersion}, {"sections", sections}}));
}

void showSection(Components &components, const HttpRequest &, const std::string &name, HttpResponder respond)
{
    const auto &sections = components.view().sections;
    const auto it = sections.find(name);
    if (it == sections.end()) {
        return respond(errorResponse(404, "section '" + name + "' does not exist"));
    }
    respond(jsonResponse({{"name", name}, {"version", it->second.version}, {"text", it->second.text}}));
}

void diffSection(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond)
{
    const auto &sections = components.view().sections;
    const auto it = sections.find(name);
    respond(jsonResponse({{"diff", lineDiff(it == sections.end() ? std::string() : it->second.text, request.body)}}));
}

static std::string problemLines(const std::vector<Problem> &problems)
{
    std::string out;
    for (const auto &it : problems) {
        out += (it.severity == Severity::Error ? "error: " : "warning: ") + formatProblem(it) + "\n";
    }
    return out;
}

static int statusOf(SubmissionOutcome outcome)
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
        return 200;
    case SubmissionOutcome::Conflict:
        return 409;
    case SubmissionOutcome::Invalid:
    case SubmissionOutcome::IdReused:
        return 422;
    case SubmissionOutcome::Forbidden:
        return 403;
    case SubmissionOutcome::Unavailable:
        return 503;
    case SubmissionOutcome::Unknown:
        return 504;
    }
    return 500;
}

static HttpResponse submissionResponse(const SubmissionResult &result)
{
    const auto status = statusOf(result.outcome);
    const auto problems = problemLines(result.problems);
    if (status == 200) {
        return jsonResponse(
            {{"version", result.version}, {"text", problems + "accepted at version " + std::to_string(result.version) + "\n"}});
    }
    return errorResponse(status, std::string(toString(result.outcome)) + ": " + result.reason + "\n" + problems + result.diff);
}

static HttpResponse dryRunResponse(const Components &components, const Submission &submission)
{
    const auto checked = checkDocument(sectionsWith(components.view(), submission));
    const auto problems = problemLines(checked.problems);
    if (!checked.accepted()) {
        return errorResponse(422, problems);
    }
    return jsonResponse({{"text", problems + renderDryRun(dryRun(components.view(), checked.document, timePerVm))}});
}

void putSection(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond)
{
    Submission submission{.section = name, .text = request.body, .token = bearerToken(request)};
    if (queryValue(request.query, "dry-run") == "1") {
        return respond(dryRunResponse(components, submission));
    }
    const auto base = headerValue(request.headers, "X-Base-Version");
    const auto [end, ec] = std::from_chars(base.data(), base.data() + base.size(), submission.baseVersion);
    if (base.empty() || ec != std::errc() || end != base.data() + base.size()) {
        return respond(errorResponse(400, "header X-Base-Version must be the version that the edit is based on, 0 for a new section"));
    }
    const auto id = headerValue(request.headers, "X-Submission-Id");
    submission.submissionId = id.empty() ? randomId() : std::string(id);
    components.submissions->submit(std::move(submission), [&components, respond = std::move(respond)](const SubmissionResult &result) {
        if (result.outcome == SubmissionOutcome::Accepted) {
            components.views->noteVersion(result.version);
        }
        respond(submissionResponse(result));
    });
}

} // namespace hibiscusbridge
