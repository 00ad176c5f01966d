// URL percent-encoding and query parameters.
#include "helpers/url.hpp"

#include <cctype>
#include <charconv>

namespace hibiscusbridge
{

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const unsigned char c : text) {
        if (std::isalnum(c) || c == '-' || c == '_' || c == '.') {
            out += static_cast<char>(c);
        } else {
            out += {'%', digits[c >> 4], digits[c & 15]};
        }
    }
    return out;
}

std::string percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char c = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, c, 16).ptr == text.data() + i + 3) {
            out += static_cast<char>(c);
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto item = query.substr(0, end);
        if (item.starts_with(name) && item.size() > name.size() && item[name.size()] == '=') {
            return percentDecode(item.substr(name.size() + 1));
        }
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return {};
}

} // namespace hibiscusbridge
