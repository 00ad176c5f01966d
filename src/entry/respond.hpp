// Helpers of the operator port: responses, queries and the team behind a token.
#pragma once

#include "adapters/httpserver.hpp"
#include "helpers/url.hpp"
#include "model/document.hpp"

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace hibiscusbridge
{

HttpResponse jsonResponse(const nlohmann::json &object);
/// One line of text for operators.
HttpResponse errorResponse(int status, std::string_view text);
/// kUnavailable gives 503, kDeadlineExceeded and kUnknown 504, kAborted 409, kNotFound 404,
/// kPermissionDenied 403, others 400.
HttpResponse errorResponse(const absl::Status &status);

/// Token of an `Authorization: Bearer` header; empty when absent.
std::string bearerToken(const HttpRequest &request);
/// Team whose token the request carries; empty for none.
std::string teamOf(const Document &document, const HttpRequest &request);
/// True for the team that owns the pool and for the owner of the `fleet` section.
bool mayOperatePool(const Document &document, std::string_view team, std::string_view pool);
/// True for the owner of the `fleet` section.
bool mayOperateFleet(const Document &document, std::string_view team);

} // namespace hibiscusbridge
