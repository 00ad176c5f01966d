// Operator port: status, waves, audit trail and explanations.
#pragma once

#include "adapters/httpserver.hpp"
#include "entry/components.hpp"

namespace hibiscusbridge
{

/// Entry, members and the budget of each pool.
void reportStatus(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond);
/// Progress of each wave, with the reason of every VM that waits.
void reportWaves(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond);
/// Query: `subject`, `limit`. Entries are newest last.
void reportAudit(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond);
/// `{"subject", "facts", "waitReason", "entries"}`
void explainVm(Components &components, const HttpRequest &request, const std::string &vm, HttpResponder respond);
void explainPool(Components &components, const HttpRequest &request, const std::string &pool, HttpResponder respond);

} // namespace hibiscusbridge
