// Fake target VMs that record executions, and fake slots that detect invalid releases.
#pragma once

#include "ports/slots.hpp"
#include "ports/target.hpp"
#include "ports/timer.hpp"

#include <map>
#include <set>

namespace hibiscusbridge
{

enum class TargetFault {
    None,
    /// The connection fails; outcome NotSent.
    ConnectionRefused,
    /// Executes the request but sends no response before the timeout; outcome Unknown.
    NoResponse,
    /// Executes the request, then closes the connection; outcome Unknown.
    ConnectionReset,
    /// Executes the request and responds with status 500.
    Status500,
};

struct Execution {
    std::string address;
    std::string requestId;
    std::string key;
    std::string body;
    Millis at;
};

/// Echoes the request body. `mayStillSend` is checked `connectTime` after the call, immediately before execution.
struct FakeTarget {
    TargetPort port();

    TimerPort timers;
    Clock clock;
    std::vector<Execution> *executions = nullptr;
    /// Faults by address; other addresses use `defaultFault`.
    std::map<std::string, TargetFault> faults;
    TargetFault defaultFault = TargetFault::None;
    Millis connectTime{1};
    Millis runTime{10};
    std::vector<Header> answerHeaders;
    std::string answerSuffix;
    std::vector<std::string> attempts;
    /// Called after `connectTime`, just before `mayStillSend` is checked.
    std::function<void()> beforeSend;
};

/// After `grantTime`, grants the first candidate, or fails with `refusal` if it is not OK.
struct FakeSlots {
    SlotPort port();

    TimerPort timers;
    absl::Status refusal;
    Millis grantTime{1};
    std::uint64_t granted = 0;
    std::set<std::uint64_t> held;
    /// Number of releases of leases that were not held.
    std::uint64_t invalidReleases = 0;
};

} // namespace hibiscusbridge
