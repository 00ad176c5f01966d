// Operator port: status, waves, audit trail and explanations.
#include "entry/reports.hpp"

#include "audit/audit.hpp"
#include "entry/respond.hpp"
#include "fleet/wave.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

constexpr std::size_t defaultAuditLimit = 50;
constexpr std::size_t maxAuditLimit = 1'000;
constexpr std::size_t explanationAuditLimit = 20;

static json membersOf(const Components &components)
{
    json members = json::array();
    const auto live = components.liveMembers();
    for (const auto &it : components.view().members.members) {
        const bool heard = std::find(live.begin(), live.end(), it.id) != live.end();
        members.push_back({{"id", it.id}, {"zone", it.zone}, {"incarnation", it.incarnation}, {"heard", heard}});
    }
    return members;
}

static json poolFacts(const std::string &name, const PoolCount &count)
{
    return {
        {"pool", name},
        {"minHealthy", count.budget.minHealthy},
        {"mayLose", count.budget.mayLose},
        {"healthy", count.healthy},
        {"planned", count.planned},
        {"failed", count.failed},
        {"declared", count.declared},
        {"spare", count.budget.spare},
    };
}

void reportStatus(Components &components, const HttpRequest &, const std::string &, HttpResponder respond)
{
    const auto &view = components.view();
    const auto serving = components.membership->serving();
    json pools = json::array();
    for (const auto &[name, count] : countFleet(view, components.health()).pools) {
        pools.push_back(poolFacts(name, count));
    }
    respond(jsonResponse({
        {"entry", components.settings.entryId},
        {"zone", components.settings.zone},
        {"incarnation", components.incarnation},
        {"viewVersion", view.version},
        {"documentVersion", view.documentVersion},
        {"serves", serving.serves()},
        {"servingReason", serving.reason()},
        {"inFlight", components.requests->inFlightTotal()},
        {"members", membersOf(components)},
        {"pools", pools},
    }));
}

static json waveFacts(const Components &components, const Wave &wave, const FleetHealth &health)
{
    const auto &view = components.view();
    std::size_t total = 0;
    std::size_t maintained = 0;
    for (const auto &[id, vm] : view.vms) {
        if (!wave.pools.empty() && std::find(wave.pools.begin(), wave.pools.end(), vm.pool) == wave.pools.end()) {
            continue;
        }
        ++total;
        maintained += vm.maintainedAt >= wave.startedAt ? 1 : 0;
    }
    const auto plan = wave.state == WaveState::Running ? planWave(view, wave, health, components.clock.wall()) : WavePlan();
    json waiting = json::array();
    for (const auto &[vm, reason] : plan.waiting) {
        waiting.push_back({{"vm", vm}, {"reason", reason}});
    }
    return {
        {"id", wave.id},
        {"state", toString(wave.state)},
        {"pools", wave.pools},
        {"startedBy", wave.startedBy},
        {"startedAtMs", wave.startedAt.count},
        {"reason", wave.reason},
        {"total", total},
        {"maintained", maintained},
        {"pausedBecause", plan.pausedBecause},
        {"waiting", waiting},
    };
}

void reportWaves(Components &components, const HttpRequest &, const std::string &, HttpResponder respond)
{
    const auto health = components.health();
    json waves = json::array();
    for (const auto &[id, wave] : components.view().waves) {
        waves.push_back(waveFacts(components, wave, health));
    }
    respond(jsonResponse({{"waves", waves}}));
}

static json auditJson(const std::vector<AuditEntry> &entries)
{
    json out = json::array();
    for (const auto &it : entries) {
        out.push_back({
            {"id", it.id},
            {"atMs", it.at.count},
            {"actor", it.actor},
            {"action", it.action},
            {"subject", it.subject},
            {"reason", it.reason},
            {"before", it.before},
            {"after", it.after},
            {"figures", it.figures},
        });
    }
    return out;
}

void reportAudit(Components &components, const HttpRequest &request, const std::string &, HttpResponder respond)
{
    const auto text = queryValue(request.query, "limit");
    std::size_t limit = defaultAuditLimit;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    readAudit(components.platform.table(),
              queryValue(request.query, "subject"),
              std::min(limit, maxAuditLimit),
              components.clock.wall(),
              [respond = std::move(respond)](const absl::StatusOr<std::vector<AuditEntry>> &entries) {
                  respond(entries.ok() ? jsonResponse({{"entries", auditJson(*entries)}}) : errorResponse(entries.status()));
              });
}

/// Answers with the facts and the audit entries of the subject; without the latter while the platform is down.
static void explain(Components &components, const std::string &subject, json facts, const std::string &waitReason, HttpResponder respond)
{
    json answer{{"subject", subject}, {"facts", std::move(facts)}, {"waitReason", waitReason}};
    readAudit(components.platform.table(),
              subject,
              explanationAuditLimit,
              components.clock.wall(),
              [answer = std::move(answer), respond = std::move(respond)](const absl::StatusOr<std::vector<AuditEntry>> &entries) mutable {
                  answer["entries"] = entries.ok() ? auditJson(*entries) : json::array();
                  if (!entries.ok()) {
                      answer["facts"]["audit"] = "not available: " + std::string(entries.status().message());
                  }
                  respond(jsonResponse(answer));
              });
}

void explainVm(Components &components, const HttpRequest &, const std::string &vm, HttpResponder respond)
{
    const auto it = components.view().vms.find(vm);
    if (it == components.view().vms.end()) {
        return respond(errorResponse(404, "VM '" + vm + "' does not exist"));
    }
    auto reason = components.fleet->waitReason(vm);
    if (reason.empty() && it->second.operation) {
        reason = "another entry carries out the operation; ask the entries in turn";
    }
    explain(components, "vm/" + vm, json::parse(encodeVm(it->second)), reason, std::move(respond));
}

void explainPool(Components &components, const HttpRequest &, const std::string &pool, HttpResponder respond)
{
    const auto count = countFleet(components.view(), components.health());
    const auto it = count.pools.find(pool);
    if (it == count.pools.end()) {
        return respond(errorResponse(404, "pool '" + pool + "' does not exist"));
    }
    auto facts = poolFacts(pool, it->second);
    facts["sharedSpares"] = count.spares;
    facts["sparesNeededForLargestFailure"] = count.reserve();
    explain(components, "pool/" + pool, std::move(facts), {}, std::move(respond));
}

} // namespace hibiscusbridge
