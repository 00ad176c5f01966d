// JSON encoding of published loads.
#include "shards/publishedload.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusbridge::jobs
{

using Json = nlohmann::json;

std::string encodePublishedLoad(const PublishedLoad &load)
{
    const Json json{{"queued", load.queuedByRoute},
                    {"capacity_cpu", load.capacityCpu},
                    {"used_cpu", load.usedCpu},
                    {"backlog", load.backlog},
                    {"workers", load.workers},
                    {"runs", load.runs}};
    return json.dump();
}

std::optional<PublishedLoad> decodePublishedLoad(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        PublishedLoad load;
        load.queuedByRoute = json.at("queued").get<std::map<std::string, int>>();
        load.capacityCpu = json.at("capacity_cpu").get<std::int64_t>();
        load.usedCpu = json.at("used_cpu").get<std::int64_t>();
        load.backlog = json.at("backlog").get<std::int64_t>();
        load.workers = json.at("workers").get<int>();
        load.runs = json.at("runs").get<int>();
        return load;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace hibiscusbridge::jobs
