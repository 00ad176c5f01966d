// Slots of VMs shared by all entries: fixed shares, lending of idle slots, and a queue for each pool.
#pragma once

#include "limits/poolqueue.hpp"
#include "limits/shares.hpp"
#include "model/view.hpp"
#include "ports/peer.hpp"
#include "ports/slots.hpp"
#include "ports/timer.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace hibiscusbridge
{

/// `longestDeadline`, `longestHold`, `viewSpread` and `leaseMargin` must be equal on all entries.
struct LimitsSettings {
    /// No request may run longer; a demand with a later deadline is refused.
    Millis longestDeadline{5000};
    /// Time by which a lease outlives the longest deadline: a new lease can start fresh requests for this long.
    Millis leaseExtra{500};
    /// Covers a clock rate difference of 0.2 % over a lease and a request that is cancelled up to 50 ms late.
    Millis leaseMargin{100};
    /// Entries that serve have applied a view version within this time of its commit.
    Millis viewSpread{3000};
    /// Longest time for which a slot stays taken after a request whose VM may still run it. Bounds what a silent VM costs.
    Millis longestHold{2000};
    std::size_t queueLength = 256;
    bool lending = true;
};

struct SlotManagerPorts {
    Clock clock;
    TimerPort timers;
    PeerPort peers;
    /// Freshness check; false forbids new work and new grants.
    std::function<bool()> mayServe;
};

struct LimitsCounters {
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t late = 0;
    /// Slots that stayed taken after their request because the VM may have run on.
    std::uint64_t holds = 0;
    std::uint64_t leasesLent = 0;
    std::uint64_t leasesBorrowed = 0;
    /// Messages from entries that are not members, or for unknown leases.
    std::uint64_t messagesIgnored = 0;
};

/// Invariant: over all entries, the requests in flight to a VM never exceed the VM's slots, where a request whose VM may
/// still run it counts as in flight for the hold time. For this entry, requests on
/// own slots plus slots lent never exceed the usable share when one is added.
/// A lender counts a lease from the grant and adds the margin; the borrower counts it from its earlier request. The
/// object must outlive its timers' loop.
class SlotManager
{
public:
    SlotManager(std::string id, std::uint64_t incarnation, SlotManagerPorts ports, LimitsSettings settings);

    SlotPort port();
    void acquire(SlotDemand demand, SlotPort::Callback done);
    void release(const SlotLease &lease, Millis busyTime);
    Millis retryAfter(const std::string &pool) const;

    /// Takes over members and VMs of a newer view.
    void applyView(const View &view);
    /// SlotRequest, SlotGrant and SlotReturn; other messages are ignored.
    void receive(const wire::Envelope &message);
    const LimitsCounters &counters() const
    {
        return m_counters;
    }

private:
    struct Vm {
        std::string pool;
        bool isActive = false;
        ShareWindow share;
        std::uint32_t ownInUse = 0;
        std::uint32_t lent = 0;
    };
    struct Lent {
        std::string vm;
        std::string borrower;
        std::uint64_t incarnation = 0;
        std::uint32_t slots = 0;
        Millis until;
    };
    /// Key of a borrowed lease: ids are unique for one lender.
    struct LeaseKey {
        std::string lender;
        std::uint64_t id = 0;
        auto operator<=>(const LeaseKey &) const = default;
    };
    struct Borrowed {
        std::string vm;
        std::string pool;
        std::uint32_t slots = 0;
        std::uint32_t inUse = 0;
        Millis until;
        Millis idleSince;
    };
    struct Ask {
        std::string lender;
        std::string pool;
        Millis sentAt;
        bool isAnswered = false;
        std::set<std::uint64_t> leases;
    };
    /// What is known of a peer's idle slots in a pool.
    struct Hint {
        std::uint32_t idle = 0;
        Millis notBefore;
        Millis backoff;
    };
    struct Pool {
        explicit Pool(std::size_t queueLength)
            : queue(queueLength)
        {
        }
        PoolQueue queue;
        std::map<std::string, Hint> hints;
    };
    struct InFlight {
        std::string pool;
        std::string vm;
        std::optional<LeaseKey> borrowed;
    };

    Millis now() const;
    Millis leaseTime() const;
    Pool &pool(const std::string &name);
    std::uint32_t freeOwn(const Vm &vm) const;
    std::uint32_t poolSlots(const std::string &name) const;
    bool tryStart(const SlotDemand &demand, InFlight &place);
    bool findPlace(const SlotDemand &demand, InFlight &place);
    void start(InFlight place, const SlotPort::Callback &done);
    Millis holdTime(const PoolQueue &queue) const;
    void freeSlot(const InFlight &place);
    void pump(const std::string &name);
    void wake(Millis delay);
    void sweep();
    void dropLate(Pool &pool);

    std::uint32_t idleOwn(const std::string &poolName) const;
    void expireLeases();
    void returnIdle();
    void borrow(const std::string &poolName, Pool &pool);
    void ask(const std::string &poolName, const Member &lender, std::uint32_t slots);
    void deny(Hint &hint) const;
    void onRequest(const Member &from, const wire::SlotRequest &request);
    void onGrant(const Member &from, const wire::SlotGrant &grant);
    void onReturn(const wire::Envelope &message);
    void sendReturn(const std::string &lender, const std::string &vm, std::uint64_t leaseId);
    void send(const std::string &to, wire::Envelope message);

    std::string m_id;
    std::uint64_t m_incarnation;
    SlotManagerPorts m_ports;
    LimitsSettings m_settings;
    LimitsCounters m_counters;
    std::map<std::string, Member> m_members;
    /// Row version of the member list last applied.
    std::optional<std::uint64_t> m_membersVersion;
    std::map<std::string, Vm> m_vms;
    std::map<std::string, Pool> m_pools;
    std::map<std::uint64_t, InFlight> m_inFlight;
    std::map<std::uint64_t, Lent> m_lent;
    std::map<LeaseKey, Borrowed> m_borrowed;
    std::map<std::uint64_t, Ask> m_asks;
    std::uint64_t m_nextId;
    bool m_isWakeSet = false;
};

} // namespace hibiscusbridge
