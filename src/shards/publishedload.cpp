// JSON encoding of published loads.
#include "shards/publishedload.hpp"

#include "helpers/json.hpp"

namespace hibiscusbridge::jobs
{

std::string encodePublishedLoad(const PublishedLoad &load)
{
    const Json json{{"queued", load.queuedByRoute},
                    {"submissions_as_of_ms", load.submissionsAsOf.count},
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
        for (const auto &[route, n] : json.at("queued").items()) {
            load.queuedByRoute[route] = toInt(n);
        }
        load.submissionsAsOf = {toNumber(json.at("submissions_as_of_ms"))};
        load.capacityCpu = toNumber(json.at("capacity_cpu"));
        load.usedCpu = toNumber(json.at("used_cpu"));
        load.backlog = toNumber(json.at("backlog"));
        load.workers = toInt(json.at("workers"));
        load.runs = toInt(json.at("runs"));
        return load;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace hibiscusbridge::jobs
