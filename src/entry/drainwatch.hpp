// Collects what the entries have confirmed about VMs that are being taken out of service.
#pragma once

#include "fleet/step.hpp"
#include "membership/membership.hpp"
#include "ports/timer.hpp"
#include "requests/requestmanager.hpp"

#include <map>
#include <memory>

namespace hibiscusbridge
{

/// Reads the registrations while any VM is leaving. A confirmation needs registrations that were read after this entry
/// first held the VM's state, because an entry that registers later has read a view with that state.
class DrainWatch
{
public:
    DrainWatch(
        TablePort table, TimerPort timers, Clock clock, ViewManager &views, const Membership &membership, const RequestManager &requests);

    void start();
    Confirmations confirmations(const VmRow &vm) const;

private:
    struct Seen {
        std::uint64_t version = 0;
        Millis at;
    };

    void noteVersions();
    void readRegistrations();

    TablePort m_table;
    TimerPort m_timers;
    Clock m_clock;
    ViewManager &m_views;
    const Membership &m_membership;
    const RequestManager &m_requests;
    /// When this entry first held the present version of each row that is not active. Boot clock.
    std::map<std::string, Seen, std::less<>> m_seen;
    std::vector<Registration> m_registrations;
    /// Boot clock of the request of the last successful read of the registrations.
    std::optional<Millis> m_registrationsReadAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
