// Slots of VMs: the right to have one request in flight to a VM.
#pragma once

#include "helpers/millis.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hibiscusbridge
{

struct SlotDemand {
    std::string service;
    std::string pool;
    /// VMs that may serve the request; never empty, most preferred first.
    std::vector<std::string> candidates;
    /// Boot clock; the request is of no use after it.
    Millis deadline;
};

struct SlotLease {
    std::string vm;
    std::uint64_t id = 0;
    /// Set for the release when the VM may still work on the request, because it was sent and no whole answer came.
    bool mayStillRun = false;
};

/// `acquire` calls back exactly once: with a lease, with kResourceExhausted when the queue is full or the request could
/// not finish in time, or with kDeadlineExceeded when it waited in vain. Each lease is released exactly once; `busyTime`
/// is how long the request was in flight.
struct SlotPort {
    using Callback = std::function<void(absl::StatusOr<SlotLease>)>;

    std::function<void(SlotDemand, Callback)> acquire;
    std::function<void(const SlotLease &, Millis busyTime)> release;
    /// Time after which a refused request to the pool may be tried again.
    std::function<Millis(const std::string &pool)> retryAfter;
};

} // namespace hibiscusbridge
