// Per-VM concurrency slots. A slot permits one request in flight to the VM.
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
    /// Eligible VMs in order of preference; never empty.
    std::vector<std::string> candidates;
    /// On the boot clock; the request must finish by then.
    Millis deadline;
};

struct SlotLease {
    std::string vm;
    std::uint64_t id = 0;
    /// Set on release when the VM may still be executing the request: it was sent, but no complete response arrived.
    bool mayStillRun = false;
};

/// `acquire` calls back exactly once: with a lease, with kResourceExhausted when the queue is full or the request could
/// not finish before its deadline, or with kDeadlineExceeded when no slot became free in time. Each lease must be released
/// exactly once; `busyTime` is how long the request was in flight.
struct SlotPort {
    using Callback = std::function<void(absl::StatusOr<SlotLease>)>;

    std::function<void(SlotDemand, Callback)> acquire;
    std::function<void(const SlotLease &, Millis busyTime)> release;
    /// Delay before a rejected request to the pool should be retried.
    std::function<Millis(const std::string &pool)> retryAfter;
};

} // namespace hibiscusbridge
