// Headers and names of outcomes.
#include "requests/request.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>

namespace hibiscusbridge
{

constexpr std::array<std::string_view, 10> hopByHopHeaders{
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
};

std::string_view toString(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Finished:
        return "finished";
    case RequestOutcome::NotRun:
        return "not-run";
    case RequestOutcome::Unknown:
        return "unknown";
    }
    return "invalid";
}

std::vector<Header> endToEndHeaders(const std::vector<Header> &headers)
{
    std::vector<std::string> dropped(hopByHopHeaders.begin(), hopByHopHeaders.end());
    for (const auto &it : headers) {
        if (!equalHeaderNames(it.name, "Connection")) {
            continue;
        }
        for (const absl::string_view name : absl::StrSplit(it.value, ',')) {
            dropped.emplace_back(absl::StripAsciiWhitespace(name));
        }
    }
    std::vector<Header> kept;
    for (const auto &it : headers) {
        const auto isDropped = [&](const std::string &name) {
            return equalHeaderNames(name, it.name);
        };
        if (std::none_of(dropped.begin(), dropped.end(), isDropped)) {
            kept.push_back(it);
        }
    }
    return kept;
}

} // namespace hibiscusbridge
