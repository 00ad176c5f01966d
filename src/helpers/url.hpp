// URL percent-encoding and query parameters (RFC 3986).
#pragma once

#include <string>
#include <string_view>

namespace hibiscusbridge
{

/// Encodes a path segment or query value. Letters, digits, '-', '_' and '.' are left unencoded.
std::string percentEncode(std::string_view text);
/// Decodes percent-encoded text. Malformed escapes are kept unchanged.
std::string percentDecode(std::string_view text);
/// Returns the decoded value of a query parameter, or an empty string if it is absent.
std::string queryValue(std::string_view query, std::string_view name);

} // namespace hibiscusbridge
