// Confirmations of VMs that are being taken out of service.
#include "entry/drainwatch.hpp"

#include "document/check.hpp"

namespace hibiscusbridge
{

constexpr Millis registrationReadInterval{1'000};

DrainWatch::DrainWatch(
    TablePort table, TimerPort timers, Clock clock, ViewManager &views, const Membership &membership, const RequestManager &requests)
    : m_table(std::move(table))
    , m_timers(std::move(timers))
    , m_clock(std::move(clock))
    , m_views(views)
    , m_membership(membership)
    , m_requests(requests)
{
}

void DrainWatch::start()
{
    m_views.onChange([this] { noteVersions(); });
    readRegistrations();
}

void DrainWatch::noteVersions()
{
    std::erase_if(m_seen, [&](const auto &it) { return !m_views.view().vms.contains(it.first); });
    for (const auto &[id, vm] : m_views.view().vms) {
        if (vm.state == VmState::Active) {
            m_seen.erase(id);
        } else if (auto &seen = m_seen[id]; seen.version != vm.version) {
            seen = {vm.version, m_clock.boot()};
        }
    }
}

void DrainWatch::readRegistrations()
{
    m_timers.after(registrationReadInterval, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            readRegistrations();
        }
    });
    if (m_seen.empty()) {
        return;
    }
    const auto requestedAt = m_clock.boot();
    m_table.read({.prefix = std::string(registrationPrefix)}, [this, requestedAt, alive = std::weak_ptr(m_alive)](auto result) {
        if (alive.expired() || !result.ok() || result->version < m_views.view().version) {
            return;
        }
        m_registrations.clear();
        for (const auto &row : result->rows) {
            if (auto registration = parseRegistration(row)) {
                m_registrations.push_back(std::move(*registration));
            }
        }
        m_registrationsReadAt = requestedAt;
    });
}

Confirmations DrainWatch::confirmations(const VmRow &vm) const
{
    Confirmations out;
    const auto seen = m_seen.find(vm.id);
    if (seen == m_seen.end() || seen->second.version != vm.version) {
        return out;
    }
    out.announcement = confirmedByMajority(m_views.view(), m_membership.peers(), vm.version);
    if (!out.announcement) {
        out.waitingFor = "fewer than a majority of the entries hold the change";
    }
    if (vm.state == VmState::Announced) {
        return out;
    }
    if (!m_registrationsReadAt || *m_registrationsReadAt < seen->second.at) {
        out.waitingFor = "the registrations have not been read since the change";
        return out;
    }
    const auto inFlight = m_requests.inFlight().find(vm.id);
    const DrainQuery query{
        .vm = vm.id,
        .version = vm.version,
        .seenAt = seen->second.at,
        .longestDeadline = maxServiceDeadline,
        .ownInFlight = inFlight == m_requests.inFlight().end() ? 0 : inFlight->second,
        .bootNow = m_clock.boot(),
        .wallNow = m_clock.wall(),
    };
    const auto confirmation = drainConfirmation(m_views.view(), m_membership.peers(), m_registrations, query);
    out.drain = confirmation.isConfirmed();
    out.waitingFor.clear();
    for (const auto &[entry, reason] : confirmation.waitingFor) {
        out.waitingFor += (out.waitingFor.empty() ? "" : ", ") + entry + " (" + reason + ")";
    }
    return out;
}

} // namespace hibiscusbridge
