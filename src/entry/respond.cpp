// Helpers of the operator port.
#include "entry/respond.hpp"

#include "helpers/ids.hpp"

#include <charconv>
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
    default:
        return 400;
    }
}

HttpResponse errorResponse(const absl::Status &status)
{
    return errorResponse(httpStatusOf(status), std::string(status.message()));
}

std::string percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char c = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, c, 16).ptr == text.data() + i + 3) {
            out += static_cast<char>(c);
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto item = query.substr(0, end);
        if (item.starts_with(name) && item.size() > name.size() && item[name.size()] == '=') {
            return percentDecode(item.substr(name.size() + 1));
        }
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return {};
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
