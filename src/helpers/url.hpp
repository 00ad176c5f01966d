// Percent-encoding and queries of URLs (RFC 3986).
#pragma once

#include <string>
#include <string_view>

namespace hibiscusbridge
{

/// Encodes a path segment or a query value: everything but letters, digits, '-', '_' and '.'.
std::string percentEncode(std::string_view text);
/// Malformed escapes stay as they are.
std::string percentDecode(std::string_view text);
/// The decoded value of a query parameter; empty when absent.
std::string queryValue(std::string_view query, std::string_view name);

} // namespace hibiscusbridge
