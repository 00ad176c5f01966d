// Tables and lines for people, from the JSON of the operator port.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hibiscusbridge
{

/// Aligned columns; the first row is the head.
std::string renderTable(const std::vector<std::vector<std::string>> &rows);

/// Wall time as UTC, for example 2026-01-02T03:04:05Z.
std::string renderTime(std::int64_t wallMs);

/// Each takes the answer of the path named; missing fields throw nlohmann::json::exception.
std::string renderStatus(const nlohmann::json &status); // /v1/status
std::string renderWaves(const nlohmann::json &answer); // /v1/waves
std::string renderAudit(const nlohmann::json &answer); // /v1/audit
std::string renderExplanation(const nlohmann::json &answer); // /v1/explain/...
std::string renderSections(const nlohmann::json &answer); // /v1/document

} // namespace hibiscusbridge
