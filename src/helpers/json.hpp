// Reads JSON fields that may be missing or have the wrong type.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

using Json = nlohmann::json;

/// Returns a discarded value (`is_discarded`) if the text is not valid JSON.
inline Json parseJson(std::string_view text)
{
    return Json::parse(text, nullptr, false);
}

inline std::string textOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Converts a JSON number to the nearest representable integer; returns `fallback` for any other value.
inline std::int64_t toNumber(const Json &json, std::int64_t fallback = 0)
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    if (json.is_number_unsigned()) {
        return static_cast<std::int64_t>(std::min<std::uint64_t>(json.get<std::uint64_t>(), most));
    }
    if (json.is_number_integer()) {
        return json.get<std::int64_t>();
    }
    if (!json.is_number_float()) {
        return fallback;
    }
    constexpr double limit = 9e18; // Below 2^63: a double outside the range of the integer type has no defined conversion.
    return static_cast<std::int64_t>(std::clamp(json.get<double>(), -limit, limit));
}

inline std::int64_t numberOf(const Json &json, const char *name, std::int64_t fallback = 0)
{
    const auto it = json.find(name);
    return it != json.end() ? toNumber(*it, fallback) : fallback;
}

/// Like `toNumber`, limited to the range of int.
inline int toInt(const Json &json, int fallback = 0)
{
    constexpr std::int64_t least = std::numeric_limits<int>::min();
    constexpr std::int64_t most = std::numeric_limits<int>::max();
    return static_cast<int>(std::clamp(toNumber(json, fallback), least, most));
}

inline int intOf(const Json &json, const char *name, int fallback = 0)
{
    const auto it = json.find(name);
    return it != json.end() ? toInt(*it, fallback) : fallback;
}

inline double realOf(const Json &json, const char *name, double fallback)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number() ? it->get<double>() : fallback;
}

/// Accepts `true` and any non-zero number as true.
inline bool flagOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && ((it->is_boolean() && it->get<bool>()) || (it->is_number() && it->get<double>() != 0));
}

/// Texts of an array field; elements of another type are left out.
inline std::vector<std::string> textsOf(const Json &json, const char *name)
{
    std::vector<std::string> texts;
    if (const auto it = json.find(name); it != json.end() && it->is_array()) {
        for (const auto &element : *it) {
            if (element.is_string()) {
                texts.push_back(element.get<std::string>());
            }
        }
    }
    return texts;
}

/// Returns an empty array if the field is missing or not an array.
inline const Json &listOf(const Json &json, const char *name)
{
    static const Json empty = Json::array();
    const auto it = json.find(name);
    return it != json.end() && it->is_array() ? *it : empty;
}

} // namespace hibiscusbridge
