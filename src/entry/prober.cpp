// Active health checks of VMs.
#include "entry/prober.hpp"

namespace hibiscusbridge
{

constexpr Millis probeInterval{2'000};
constexpr Millis probeTimeout{1'500};
/// A single lost packet or a pause of the VM must not count as a failure.
constexpr int failuresToFail = 3;

Prober::Prober(TargetPort target, TimerPort timers, Clock clock, ViewManager &views)
    : m_target(std::move(target))
    , m_timers(std::move(timers))
    , m_clock(std::move(clock))
    , m_views(views)
{
}

void Prober::start(Owns owns)
{
    m_owns = std::move(owns);
    probeAll();
}

std::set<std::string, std::less<>> Prober::failed() const
{
    std::set<std::string, std::less<>> out;
    for (const auto &[id, probed] : m_probed) {
        if (probed.failures >= failuresToFail) {
            out.insert(id);
        }
    }
    // When most probes fail, the fault is more likely in this entry's own network: zones and racks hold fewer VMs.
    if (out.size() > 1 && out.size() * 2 > m_probed.size()) {
        return {};
    }
    return out;
}

void Prober::probeAll()
{
    m_timers.after(probeInterval, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            probeAll();
        }
    });
    // Another entry probes a VM that is no longer owned; an old result must not stand against it.
    std::erase_if(m_probed, [&](const auto &it) { return !m_views.view().vms.contains(it.first) || !m_owns("vm/" + it.first); });
    for (const auto &[id, vm] : m_views.view().vms) {
        if (m_owns("vm/" + id)) {
            probe(vm);
        }
    }
}

void Prober::probe(const VmRow &vm)
{
    auto &probed = m_probed[vm.id];
    if (probed.isWaiting) {
        return;
    }
    probed.isWaiting = true;
    TargetRequest request{.address = vm.address, .method = "GET", .path = "/", .headers = {{"X-Probe", "1"}}, .timeout = probeTimeout};
    m_target.send(std::move(request), [this, id = vm.id, alive = std::weak_ptr(m_alive)](const TargetResult &result) {
        if (alive.expired()) {
            return;
        }
        const auto it = m_probed.find(id);
        if (it == m_probed.end()) {
            return;
        }
        it->second.isWaiting = false;
        it->second.failures = result.outcome == TargetOutcome::Answered ? 0 : it->second.failures + 1;
    });
}

} // namespace hibiscusbridge
