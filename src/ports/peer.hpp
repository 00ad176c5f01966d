// Messages between entries.
#pragma once

#include "peer.pb.h"

#include <functional>
#include <string>

namespace hibiscusbridge
{

/// Sends without waiting; a message may be lost, delayed or reordered, and is dropped while a peer's queue is full.
struct PeerPort {
    /// Sends to the entry at `address` (IP number and port); connects when needed.
    std::function<void(const std::string &address, const wire::Envelope &)> send;
};

} // namespace hibiscusbridge
