// Outlier ejection: keeps requests away from VMs that fail everything.
#pragma once

#include "helpers/millis.hpp"
#include "requests/request.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

/// All times are of the boot clock.
class TargetHealth
{
public:
    explicit TargetHealth(RequestCounters &counters);

    /// The VMs that may get a request now, in the given order; VMs due for a probe come first. Ejections that would
    /// leave fewer than `minHealthy` VMs (at least one) are ignored, those that end soonest first.
    std::vector<std::string> usable(std::span<const std::string> vms, std::size_t minHealthy, Millis now) const;

    /// Notes a send; the first one after the ejection time is the probe.
    void noteSend(std::string_view vm, Millis now);
    void noteSuccess(std::string_view vm, Millis now);
    /// `vms` are all VMs of the pool that receive work.
    void noteFailure(std::string_view vm, std::string_view requestId, std::span<const std::string> vms, std::size_t minHealthy, Millis now);
    /// The send ended without evidence about the VM, for example because it was cancelled.
    void noteNothing(std::string_view vm);
    bool isEjected(std::string_view vm) const;

private:
    struct State {
        int failures = 0;
        std::string lastFailedRequest;
        bool ejected = false;
        Millis ejectedUntil;
        bool probing = false;
        /// Ejections in a row, for the backoff.
        int ejections = 0;
        Millis readmittedAt;
    };

    void eject(std::string_view vm, State &state, Millis now);

    RequestCounters &m_counters;
    std::map<std::string, State, std::less<>> m_states;
};

} // namespace hibiscusbridge
