// Helpers of the operator port.
#include "entry/respond.hpp"

#include "helpers/ids.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

HttpResponse jsonResponse(const nlohmann::json &object)
{
    return {.headers = {{"Content-Type", "application/json"}}, .body = object.dump() + "\n"};
}

HttpResponse errorResponse(int status, std::string_view text)
{
    return {.status = status, .headers = {{"Content-Type", "text/plain; charset=utf-8"}}, .body = std::string(text) + "\n"};
}

static int httpStatusOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kUnavailable:
        return 503;
    case absl::StatusCode::kDeadlineExceeded:
    case absl::StatusCode::kUnknown:
        return 504;
    case absl::StatusCode::kAborted:
        return 409;
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kPermissionDenied:
        return 403;
    default:
        return 400;
    }
}

HttpResponse errorResponse(const absl::Status &status)
{
    return errorResponse(httpStatusOf(status), std::string(status.message()));
}

std::string bearerToken(const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = headerValue(request.headers, "Authorization");
    return value.starts_with(scheme) ? std::string(value.substr(scheme.size())) : std::string();
}

std::string teamOf(const Document &document, const HttpRequest &request)
{
    const auto token = bearerToken(request);
    if (token.empty()) {
        return {};
    }
    const auto hash = sha256Hex(token);
    for (const auto &[name, team] : document.teams) {
        if (equalSecrets(team.tokenSha256, hash)) {
            return name;
        }
    }
    return {};
}

bool mayOperateFleet(const Document &document, std::string_view team)
{
    const auto it = document.sectionOwners.find("fleet");
    return !team.empty() && it != document.sectionOwners.end() && it->second == team;
}

bool mayOperatePool(const Document &document, std::string_view team, std::string_view pool)
{
    const auto it = document.pools.find(pool);
    return mayOperateFleet(document, team) || (!team.empty() && it != document.pools.end() && it->second.owner == team);
}

} // namespace hibiscusbridge
