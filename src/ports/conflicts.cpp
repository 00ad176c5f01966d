// Carries the keys of failed preconditions as a status payload.
#include "ports/conflicts.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

constexpr auto payloadType = "hibiscusbridge/conflicts";

absl::Status conflictError(const std::vector<std::string> &keys)
{
    const auto text = json(keys).dump(-1, ' ', false, json::error_handler_t::replace);
    auto status = absl::AbortedError("precondition failed: " + text);
    status.SetPayload(payloadType, absl::Cord(text));
    return status;
}

std::vector<std::string> conflictingKeys(const absl::Status &status)
{
    const auto payload = status.GetPayload(payloadType);
    return payload ? json::parse(std::string(*payload)).get<std::vector<std::string>>() : std::vector<std::string>();
}

} // namespace hibiscusbridge
