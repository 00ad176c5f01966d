// Target VMs that count executions, and slots that check their releases.
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
    /// The connection fails: NotSent.
    ConnectionRefused,
    /// Runs the request; no answer comes within the timeout: Unknown.
    NoResponse,
    /// Runs the request, then closes the connection: Unknown.
    ConnectionReset,
    /// Runs the request and answers 500.
    Status500,
};

struct Execution {
    std::string address;
    std::string requestId;
    std::string key;
    std::string body;
    Millis at;
};

/// Answers with the body it got. `mayStillSend` is asked `connectTime` after the call, when the request runs.
struct FakeTarget {
    TargetPort port();

    TimerPort timers;
    Clock clock;
    std::vector<Execution> *executions = nullptr;
    /// By address; `defaultFault` for the others.
    std::map<std::string, TargetFault> faults;
    TargetFault defaultFault = TargetFault::None;
    Millis connectTime{1};
    Millis runTime{10};
    std::vector<Header> answerHeaders;
    std::string answerSuffix;
    std::vector<std::string> attempts;
    /// Runs between the call and the moment `mayStillSend` is asked.
    std::function<void()> beforeSend;
};

/// Grants the first candidate after 1 ms, or refuses with `refusal`.
struct FakeSlots {
    SlotPort port();

    TimerPort timers;
    absl::Status refusal;
    Millis grantTime{1};
    std::uint64_t granted = 0;
    std::set<std::uint64_t> held;
    /// Releases of leases that were not held.
    std::uint64_t invalidReleases = 0;
};

} // namespace hibiscusbridge
