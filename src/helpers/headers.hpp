// HTTP headers as name-value pairs.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

/// A received or outgoing header, without the line terminator.
struct Header {
    std::string name;
    std::string value;
};

/// Compares header names case-insensitively.
bool equalHeaderNames(std::string_view a, std::string_view b);
bool hasHeader(const std::vector<Header> &headers, std::string_view name);

/// Returns the value of the first header with this name, or an empty string if there is none.
std::string_view headerValue(const std::vector<Header> &headers, std::string_view name);

} // namespace hibiscusbridge
