// JSON of at-most-once records.
#include "requests/oncerecord.hpp"

#include "helpers/ids.hpp"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

constexpr std::size_t maxKeyLength = 128;

static std::string_view toString(OnceOutcome outcome)
{
    switch (outcome) {
    case OnceOutcome::Pending:
        return "pending";
    case OnceOutcome::Finished:
        return "finished";
    case OnceOutcome::NotRun:
        return "notRun";
    }
    return "invalid";
}

static std::optional<OnceOutcome> parseOutcome(std::string_view text)
{
    for (const auto it : {OnceOutcome::Pending, OnceOutcome::Finished, OnceOutcome::NotRun}) {
        if (toString(it) == text) {
            return it;
        }
    }
    return std::nullopt;
}

std::string encodeOnce(const OnceRecord &record)
{
    json headers = json::array();
    for (const auto &it : record.headers) {
        headers.push_back({{"name", it.name}, {"value", absl::Base64Escape(it.value)}});
    }
    return json{
        {"token", record.token},
        {"bodyHash", record.bodyHash},
        {"deadlineMs", record.deadline.count},
        {"outcome", toString(record.outcome)},
        {"status", record.status},
        {"headers", headers},
        {"body", absl::Base64Escape(record.body)},
        {"answerStored", record.answerStored},
    }
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<OnceRecord> parseOnce(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        const auto outcome = parseOutcome(object.at("outcome").get<std::string>());
        OnceRecord record{
            .token = object.at("token"),
            .bodyHash = object.at("bodyHash"),
            .deadline = {object.at("deadlineMs")},
            .status = object.at("status"),
            .answerStored = object.at("answerStored"),
        };
        if (!outcome || !absl::Base64Unescape(object.at("body").get<std::string>(), &record.body)) {
            return std::nullopt;
        }
        record.outcome = *outcome;
        for (const auto &it : object.at("headers")) {
            Header header{.name = it.at("name")};
            if (!absl::Base64Unescape(it.at("value").get<std::string>(), &header.value)) {
                return std::nullopt;
            }
            record.headers.push_back(std::move(header));
        }
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string requestHash(std::string_view method, std::string_view path, std::string_view body)
{
    return sha256Hex(std::string(method) + "\n" + std::string(path) + "\n" + std::string(body));
}

std::string onceBucketPrefix(std::uint32_t bucket)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string prefix = "once/";
    for (const int shift : {12, 8, 4, 0}) {
        prefix += digits[bucket >> shift & 0xf];
    }
    return prefix + '/';
}

std::string onceKey(std::string_view service, std::string_view key)
{
    const auto name = std::string(service) + "/" + std::string(key);
    return onceBucketPrefix(static_cast<std::uint32_t>(stableHash(name) % onceBuckets)) + name;
}

bool validIdempotencyKey(std::string_view key)
{
    return !key.empty() && key.size() <= maxKeyLength && std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

} // namespace hibiscusbridge
