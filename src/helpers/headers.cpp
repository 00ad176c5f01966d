// Lookup of HTTP headers by name.
#include "helpers/headers.hpp"

#include <algorithm>
#include <strings.h>

namespace hibiscusbridge
{

bool equalHeaderNames(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool hasHeader(const std::vector<Header> &headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(), [&](const Header &it) { return equalHeaderNames(it.name, name); });
}

std::string_view headerValue(const std::vector<Header> &headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [&](const Header &header) { return equalHeaderNames(header.name, name); });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

} // namespace hibiscusbridge
