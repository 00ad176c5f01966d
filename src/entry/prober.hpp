// Active health checks of VMs.
#pragma once

#include "ports/target.hpp"
#include "ports/timer.hpp"
#include "routing/viewmanager.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hibiscusbridge
{

/// Sends `GET /` to each owned VM's port at intervals; any HTTP answer counts as healthy. Each VM is probed by the entry
/// that also carries out its operations.
class Prober
{
public:
    using Owns = std::function<bool(std::string_view subject)>;

    Prober(TargetPort target, TimerPort timers, Clock clock, ViewManager &views);

    /// Probes VMs for which `owns("vm/<id>")` holds.
    void start(Owns owns);
    /// VMs whose last probes all failed; empty when most of several probed VMs fail.
    std::set<std::string, std::less<>> failed() const;

private:
    struct Probed {
        int failures = 0;
        bool isWaiting = false;
    };

    void probeAll();
    void probe(const VmRow &vm);

    TargetPort m_target;
    TimerPort m_timers;
    Clock m_clock;
    ViewManager &m_views;
    Owns m_owns;
    std::map<std::string, Probed, std::less<>> m_probed;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
