// Messaging between entries.
#pragma once

#include "peer.pb.h"

#include <functional>
#include <string>

namespace hibiscusbridge
{

/// Non-blocking, best-effort delivery: messages may be lost, delayed or reordered, and are dropped while the peer's queue
/// is full.
struct PeerPort {
    /// Sends to the entry at `address` (IP address and port), connecting on demand.
    std::function<void(const std::string &address, const wire::Envelope &)> send;
};

} // namespace hibiscusbridge
