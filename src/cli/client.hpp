// Calls of an entry's operator port from the command line.
#pragma once

#include "adapters/httpserver.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace hibiscusbridge
{

/// Where the operator port is and how the operator authenticates.
struct OperatorAccess {
    /// IP number and port.
    std::string address;
    /// Bearer token; empty for none.
    std::string token;
};

struct OperatorCall {
    std::string method = "GET";
    std::string path;
    std::vector<Header> headers;
    std::string body;
    Millis timeout{30'000};
};

/// Calls and waits. Fails with kUnavailable when no request was sent, kUnknown when it was sent and no answer came.
absl::StatusOr<HttpResponse> callOperatorPort(const OperatorAccess &access, OperatorCall call);

} // namespace hibiscusbridge
