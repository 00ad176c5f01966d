// Ejection and readmission of VMs.
#include "requests/targethealth.hpp"

#include "helpers/log.hpp"

#include <algorithm>

namespace hibiscusbridge
{

constexpr int failuresToEject = 5;
constexpr Millis firstEjection{5'000};
constexpr int maxBackoffSteps = 4;
/// A VM that stayed in service this long starts again with the shortest ejection.
constexpr Millis backoffMemory{300'000};

TargetHealth::TargetHealth(RequestCounters &counters)
    : m_counters(counters)
{
}

bool TargetHealth::isEjected(std::string_view vm) const
{
    const auto it = m_states.find(vm);
    return it != m_states.end() && it->second.ejected;
}

std::vector<std::string> TargetHealth::usable(std::span<const std::string> vms, std::size_t minHealthy, Millis now) const
{
    std::vector<std::string> probes;
    std::vector<std::string> healthy;
    std::vector<std::pair<Millis, std::string>> ejected;
    for (const auto &vm : vms) {
        const auto it = m_states.find(vm);
        if (it == m_states.end() || !it->second.ejected) {
            healthy.push_back(vm);
        } else if (!it->second.probing && now >= it->second.ejectedUntil) {
            probes.push_back(vm);
        } else {
            ejected.emplace_back(it->second.ejectedUntil, vm);
        }
    }
    std::sort(ejected.begin(), ejected.end());
    const auto floor = std::max<std::size_t>(minHealthy, 1);
    for (const auto &[until, vm] : ejected) {
        if (healthy.size() + probes.size() >= floor) {
            break;
        }
        healthy.push_back(vm);
    }
    probes.insert(probes.end(), healthy.begin(), healthy.end());
    return probes;
}

void TargetHealth::noteSend(std::string_view vm, Millis now)
{
    const auto it = m_states.find(vm);
    if (it != m_states.end() && it->second.ejected && now >= it->second.ejectedUntil) {
        it->second.probing = true;
    }
}

void TargetHealth::noteSuccess(std::string_view vm, Millis now)
{
    const auto it = m_states.find(vm);
    if (it == m_states.end()) {
        return;
    }
    auto &state = it->second;
    state.failures = 0;
    state.lastFailedRequest.clear();
    state.probing = false;
    if (!state.ejected) {
        return;
    }
    state.ejected = false;
    state.readmittedAt = now;
    ++m_counters.readmissions;
    logEvent(LogLevel::Info, "vm_readmitted", {{"vm", vm}});
}

void TargetHealth::noteNothing(std::string_view vm)
{
    if (const auto it = m_states.find(vm); it != m_states.end()) {
        it->second.probing = false;
    }
}

void TargetHealth::eject(std::string_view vm, State &state, Millis now)
{
    if (!state.ejected && now - state.readmittedAt > backoffMemory) {
        state.ejections = 0;
    }
    state.ejected = true;
    state.probing = false;
    state.ejectedUntil = now + firstEjection * (std::int64_t{1} << std::min(state.ejections, maxBackoffSteps));
    ++state.ejections;
    ++m_counters.ejections;
    logEvent(LogLevel::Warn, "vm_ejected", {{"vm", vm}, {"forMs", (state.ejectedUntil - now).count}});
}

void TargetHealth::noteFailure(
    std::string_view vm, std::string_view requestId, std::span<const std::string> vms, std::size_t minHealthy, Millis now)
{
    auto &state = m_states.try_emplace(std::string(vm)).first->second;
    if (state.ejected) {
        if (state.probing) {
            eject(vm, state, now);
        }
        return;
    }
    if (state.lastFailedRequest == requestId) {
        return;
    }
    state.lastFailedRequest = requestId;
    if (++state.failures < failuresToEject) {
        return;
    }
    const auto inService = std::count_if(vms.begin(), vms.end(), [&](const std::string &it) { return it != vm && !isEjected(it); });
    if (static_cast<std::size_t>(inService) >= std::max<std::size_t>(minHealthy, 1)) {
        eject(vm, state, now);
    }
}

} // namespace hibiscusbridge
