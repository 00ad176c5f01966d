// Operator port: drains and waves.
#include "entry/fleetroutes.hpp"

#include "audit/audit.hpp"
#include "entry/respond.hpp"
#include "helpers/ids.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

constexpr std::size_t waveIdLength = 8;

static std::string reasonOf(const HttpRequest &request, std::string_view fallback)
{
    const auto body = json::parse(request.body, nullptr, false);
    return body.is_object() && body.contains("reason") && body["reason"].is_string() ? body["reason"].get<std::string>()
                                                                                     : std::string(fallback);
}

static FleetInput inputFor(const Components &components, const FleetHealth &health, std::string_view actor)
{
    return {.view = components.view(), .health = health, .platform = {}, .actor = actor, .now = components.clock.wall()};
}

/// Commits and answers with the version and the given fields.
static void commitAndRespond(Components &components, Transaction transaction, json fields, HttpResponder respond)
{
    components.platform.table().commit(std::move(transaction),
                                       [fields = std::move(fields), respond = std::move(respond)](auto version) mutable {
                                           if (!version.ok()) {
                                               return respond(errorResponse(version.status()));
                                           }
                                           fields["version"] = *version;
                                           respond(jsonResponse(fields));
                                       });
}

/// The team that may operate the VM's pool; kNotFound or kPermissionDenied with the reason.
static absl::StatusOr<std::string> operatingTeam(const Components &components, const HttpRequest &request, const std::string &vm)
{
    const auto &view = components.view();
    const auto row = view.vms.find(vm);
    if (row == view.vms.end()) {
        return absl::NotFoundError("VM '" + vm + "' does not exist");
    }
    auto team = teamOf(view.document, request);
    if (!mayOperatePool(view.document, team, row->second.pool)) {
        return absl::PermissionDeniedError("the token is not that of the owner of pool '" + row->second.pool + "'");
    }
    return team;
}

void drainVm(Components &components, const HttpRequest &request, const std::string &vm, HttpResponder respond)
{
    const auto team = operatingTeam(components, request, vm);
    if (!team.ok()) {
        return respond(errorResponse(team.status()));
    }
    const auto health = components.health();
    const OperationStart start{vm, {.kind = OperationKind::Drain, .reason = reasonOf(request, "operator request")}};
    auto transaction = startOperations(inputFor(components, health, *team), std::span(&start, 1));
    if (!transaction.ok()) {
        return respond(errorResponse(422, std::string(transaction.status().message())));
    }
    commitAndRespond(components, std::move(*transaction), {{"vm", vm}, {"state", "announced"}}, std::move(respond));
}

void undoDrain(Components &components, const HttpRequest &request, const std::string &vm, HttpResponder respond)
{
    const auto team = operatingTeam(components, request, vm);
    if (!team.ok()) {
        return respond(errorResponse(team.status()));
    }
    const auto health = components.health();
    auto transaction = undoOperation(inputFor(components, health, *team), vm, reasonOf(request, "operator request"));
    if (!transaction.ok()) {
        return respond(errorResponse(422, std::string(transaction.status().message())));
    }
    commitAndRespond(components, std::move(*transaction), {{"vm", vm}, {"state", "active"}}, std::move(respond));
}

static Transaction waveTransaction(const Components &components, const Wave &wave, std::string_view action, const std::string &team)
{
    Transaction transaction;
    const auto key = std::string(wavePrefix) + wave.id;
    transaction.preconditions.push_back({key, wave.version});
    transaction.writes.push_back({key, encodeWave(wave)});
    addAudit(transaction,
             {.id = randomId(),
              .at = components.clock.wall(),
              .actor = team,
              .action = std::string(action),
              .subject = "wave/" + wave.id,
              .reason = wave.reason,
              .after = std::string(toString(wave.state))});
    return transaction;
}

/// Empty when the team may start or change a wave over these pools; otherwise the refusal.
static std::string waveRefusal(const Document &document, std::string_view team, const std::vector<std::string> &pools)
{
    if (pools.empty() && !mayOperateFleet(document, team)) {
        return "a wave over all pools needs the token of the owner of the section 'fleet'";
    }
    for (const auto &pool : pools) {
        if (!document.pools.contains(pool)) {
            return "pool '" + pool + "' does not exist";
        }
        if (!mayOperatePool(document, team, pool)) {
            return "the token is not that of the owner of pool '" + pool + "'";
        }
    }
    return {};
}

void startWave(Components &components, const HttpRequest &request, const std::string &, HttpResponder respond)
{
    const auto team = teamOf(components.view().document, request);
    Wave wave{.id = randomId().substr(0, waveIdLength),
              .startedBy = team,
              .startedAt = components.clock.wall(),
              .reason = reasonOf(request, "maintenance")};
    try {
        wave.pools = json::parse(request.body.empty() ? "{}" : request.body).value("pools", std::vector<std::string>());
    } catch (const json::exception &) {
        return respond(errorResponse(400, "body must be {\"pools\": [names], \"reason\": text}"));
    }
    if (const auto refusal = waveRefusal(components.view().document, team, wave.pools); !refusal.empty()) {
        return respond(errorResponse(403, refusal));
    }
    commitAndRespond(components, waveTransaction(components, wave, "wave.start", team), {{"wave", wave.id}}, std::move(respond));
}

static void changeWave(Components &components,
                       const HttpRequest &request,
                       const std::string &id,
                       WaveState state,
                       std::string_view action,
                       HttpResponder respond)
{
    const auto it = components.view().waves.find(id);
    if (it == components.view().waves.end()) {
        return respond(errorResponse(404, "wave '" + id + "' does not exist"));
    }
    auto wave = it->second;
    const auto team = teamOf(components.view().document, request);
    if (const auto refusal = waveRefusal(components.view().document, team, wave.pools); !refusal.empty()) {
        return respond(errorResponse(403, refusal));
    }
    if (wave.state == WaveState::Finished) {
        return respond(errorResponse(422, "wave '" + id + "' is finished"));
    }
    wave.state = state;
    commitAndRespond(components, waveTransaction(components, wave, action, team), {{"wave", id}}, std::move(respond));
}

void pauseWave(Components &components, const HttpRequest &request, const std::string &wave, HttpResponder respond)
{
    changeWave(components, request, wave, WaveState::Paused, "wave.pause", std::move(respond));
}

void resumeWave(Components &components, const HttpRequest &request, const std::string &wave, HttpResponder respond)
{
    changeWave(components, request, wave, WaveState::Running, "wave.resume", std::move(respond));
}

} // namespace hibiscusbridge
