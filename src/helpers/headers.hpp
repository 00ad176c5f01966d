// HTTP headers as plain name and value pairs.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

/// A header as received or to be sent, without line ends.
struct Header {
    std::string name;
    std::string value;
};

/// Header names are compared without case.
bool equalHeaderNames(std::string_view a, std::string_view b);
bool hasHeader(const std::vector<Header> &headers, std::string_view name);

/// The value of the first header with this name; empty when there is none.
std::string_view headerValue(const std::vector<Header> &headers, std::string_view name);

} // namespace hibiscusbridge
