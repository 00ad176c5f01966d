// One exchange with a target VM.
#pragma once

#include "helpers/headers.hpp"
#include "helpers/millis.hpp"

#include <functional>
#include <string>
#include <vector>

namespace hibiscusbridge
{

struct TargetRequest {
    /// IP number and port of the VM.
    std::string address;
    std::string method;
    /// Path and query, starting with '/'.
    std::string path;
    std::vector<Header> headers;
    std::string body;
    /// Time for the whole exchange.
    Millis timeout;
    /// Called at the moment before the first byte is sent; false cancels the exchange with nothing sent.
    std::function<bool()> mayStillSend;
};

enum class TargetOutcome {
    /// The whole answer arrived and its length matches its framing.
    Answered,
    /// No byte of the request left this process.
    NotSent,
    /// Bytes left, but no whole answer came (timeout, reset, truncated or too large).
    Unknown,
};

struct TargetResult {
    TargetOutcome outcome = TargetOutcome::NotSent;
    int status = 0;
    std::vector<Header> headers;
    std::string body;
    /// Reason in words when there is no answer.
    std::string error;
};

/// The callback runs exactly once, never from within `send`.
struct TargetPort {
    using Callback = std::function<void(TargetResult)>;

    std::function<void(TargetRequest, Callback)> send;
};

} // namespace hibiscusbridge
