// HTTP exchange with a target VM.
#pragma once

#include "helpers/headers.hpp"
#include "helpers/millis.hpp"

#include <functional>
#include <string>
#include <vector>

namespace hibiscusbridge
{

/// Order of the calls that wait for a connection to the same address; equal ones go in the order in which they came.
enum class CallPriority {
    High,
    Normal,
};

struct TargetRequest {
    /// IP address and port of the VM.
    std::string address;
    std::string method;
    /// Path and query, starting with '/'.
    std::string path;
    std::vector<Header> headers;
    std::string body;
    /// Covers the whole exchange. A call that waits for one of the connections to its address does so for as long at most, and has all of
    /// this time once it is sent: cut short, an exchange would end with an unknown outcome.
    Millis timeout;
    CallPriority priority = CallPriority::Normal;
    /// Called immediately before the first byte is sent; returning false cancels the exchange without sending anything.
    std::function<bool()> mayStillSend;
};

enum class TargetOutcome {
    /// A complete response arrived; its length matches its framing.
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// Bytes were sent, but no complete response arrived (timeout, reset, truncated or too large).
    Unknown,
};

struct TargetResult {
    TargetOutcome outcome = TargetOutcome::NotSent;
    int status = 0;
    std::vector<Header> headers;
    std::string body;
    /// Error text when there is no response.
    std::string error;
};

/// The callback runs exactly once, and never from within `send`.
struct TargetPort {
    using Callback = std::function<void(TargetResult)>;

    std::function<void(TargetRequest, Callback)> send;
};

} // namespace hibiscusbridge
