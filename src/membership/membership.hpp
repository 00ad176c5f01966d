// This entry's part in the membership: heartbeats, registration, joining and leaving the member list.
#pragma once

#include "membership/memberlist.hpp"
#include "membership/serving.hpp"
#include "ports/peer.hpp"
#include "ports/timer.hpp"
#include "routing/viewmanager.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusbridge
{

inline constexpr Millis registrationInterval{3'000};
/// Between attempts to read the registration back after a lost reply.
inline constexpr Millis readBackInterval{500};
inline constexpr Millis memberCheckInterval{3'000};
/// While this entry waits to join or to leave. Members change one at a time, so each waits for all before it.
inline constexpr Millis memberCheckIntervalPending{250};
/// A check whose calls have not returned by then is abandoned.
inline constexpr Millis memberCheckDeadline{10'000};

class Membership
{
public:
    struct Ports {
        TablePort table;
        VmPort vms;
        PeerPort peers;
        TimerPort timers;
        Clock clock;
    };

    /// `seeds` are peer addresses to contact before any member list is known. `self.id` is the id of the entry's VM.
    Membership(Member self, std::vector<std::string> seeds, Ports ports, ViewManager &views);

    void start();
    /// Stops renewing and removes this entry from the member list, then its registration. `done` runs once, when both
    /// are gone; the caller bounds the wait. Heartbeats go on until destruction, so that peers can confirm the removal.
    void leave(std::function<void()> done);
    /// Takes in heartbeats, view requests and deltas. Returns false for other messages.
    bool receive(const wire::Envelope &envelope);
    /// Source of the requests in flight to VMs that are not active.
    void setInFlightSource(std::function<std::vector<wire::VmInFlight>()> source);

    const PeerTable &peers() const
    {
        return m_peers;
    }
    ServingDecision serving() const;
    /// True when a newer incarnation of this entry has registered; this process must stop.
    bool isSuperseded() const
    {
        return m_isSuperseded;
    }

private:
    /// Facts collected by one check of the member list.
    struct Check {
        std::uint64_t number = 0;
        std::vector<Registration> registrations;
    };

    void sendHeartbeats();
    void repeatHeartbeats();
    void confirmMembers();
    void renewRegistration();
    void takeRenewal(const absl::StatusOr<std::uint64_t> &result);
    void readRegistration();
    void takeRegistration(const Row &row);
    void checkMembers();
    void listVms(Check check);
    void decide(const Check &check, const std::vector<PlatformVm> &vms);
    void endCheck(std::uint64_t number);
    void removeRegistration();
    bool isListed() const;
    void after(Millis delay, std::function<void()> step);
    /// Wraps a callback so that it does nothing after destruction.
    template<typename Fn>
    auto guarded(Fn fn);

    Member m_self;
    std::vector<std::string> m_seeds;
    Ports m_ports;
    ViewManager &m_views;
    PeerTable m_peers;
    std::function<std::vector<wire::VmInFlight>()> m_inFlight;
    /// Version of the registration row as last known, the precondition of the next renewal.
    std::uint64_t m_registrationVersion = 0;
    bool m_isRegistered = false;
    bool m_isReadingBack = false;
    bool m_wasRegistered = false;
    bool m_isSuperseded = false;
    bool m_isLeaving = false;
    std::uint64_t m_checks = 0;
    /// Version of the member list that the last heartbeats confirmed.
    std::uint64_t m_confirmedMembers = 0;
    /// Number of the check in progress, 0 for none.
    std::uint64_t m_outstanding = 0;
    std::function<void()> m_left;
    std::string m_lastReason;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
