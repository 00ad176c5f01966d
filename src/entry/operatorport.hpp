// The HTTP port for operators: the document, status, explanations, audit trail, drains and waves.
#pragma once

#include "adapters/httpserver.hpp"
#include "entry/components.hpp"

namespace hibiscusbridge
{

/// Handles one request of the operator port. Reads are open; changes need the bearer token of a team.
void handleOperator(Components &components, const HttpRequest &request, HttpResponder respond);

} // namespace hibiscusbridge
