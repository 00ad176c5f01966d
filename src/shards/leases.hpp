// Leases that assign each shard to one entry. A shard is a pool with its queues, or the fleet's VMs.
//
// A claim row names the owner. Its version is the owner's fencing token and a condition of every write of the owner.
// The owner renews its lease in a second row; other entries claim the shard once that row has not changed for the lease
// duration.
#pragma once

#include "ports/store.hpp"
#include "ports/timer.hpp"
#include "shards/balance.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

inline constexpr const char *claimTable = "claims";
inline constexpr const char *renewalTable = "renewals";

struct LeaseTimes {
    Millis renewInterval{600};
    /// Interval at which the other entries read the renewals.
    Millis pollInterval{500};
    /// Other entries may claim the shard after this time without a renewal.
    Millis leaseDuration{2'000};
    /// An owner that could not renew for this long stops sending orders; all worker leases it has granted have expired by
    /// then. Longer than a typical outage of the store, during which no other entry can claim the shard.
    Millis renewDeadline{9'000};
    Millis callTimeout{1'500};
    /// Delay of a claim per shard already held, so that the shards are spread over the entries. Longer on slow VMs, so that
    /// fast VMs claim first: the load of an owner does not depend on the speed of its VM.
    Millis claimDelay{150};
};

/// The owner of a shard according to its claim and renewal rows.
struct ShardOwnerInfo {
    std::string holder; ///< name of the entry; empty for a released shard
    std::string address; ///< peer address of the entry
    double cpu = 0; ///< CPU of the entry in cores
    /// Entry to which a released shard is handed over; empty if any entry may claim it.
    std::string successor;
    std::uint64_t fence = 0;
    /// Status text that the owner publishes with each renewal.
    std::string status;
    /// Boot clock: when a change of the claim or of its renewal was last observed, moved on by the times in which polls failed.
    Millis changedAt;
};

/// Identity that this entry writes into its claims.
struct LeaseHolder {
    std::string name;
    std::string address; ///< peer address
    double cpu = 0; ///< CPU in cores
};

class Leases
{
public:
    struct Callbacks {
        /// `handedOver`: the previous owner released the shard after its last order.
        std::function<void(const std::string &shard, std::uint64_t fence, bool handedOver)> acquired;
        std::function<void(const std::string &shard)> lost;
        /// Returns the status text to publish with the next renewal.
        std::function<std::string(const std::string &shard)> status;
        /// Receives a row of the claim table that is not a claim.
        std::function<void(const Row &)> otherRow;
    };

    Leases(StorePort store, TimerPort timers, Clock clock, LeaseHolder self, LeaseTimes times, Callbacks callbacks);
    ~Leases();

    void start();
    /// Sets the configured shards. Releases held shards that are not among them.
    void setShards(const std::set<std::string> &shards);
    /// True while this entry may send orders for the shard.
    bool holds(const std::string &shard) const;
    /// True while this entry holds the shard and no other entry can have claimed it.
    bool isSoleOwner(const std::string &shard) const;
    /// Boot clock: when this entry's ownership expires unless it is renewed.
    Millis expiresAt(const std::string &shard) const;
    /// Condition for every write of the owner: the claim is unchanged.
    RowCondition condition(const std::string &shard) const;
    /// Null when no claim has been read.
    const ShardOwnerInfo *owner(const std::string &shard) const;
    /// Gives up the shard without releasing it, e.g. because another owner has been detected.
    void loseShard(const std::string &shard, const std::string &reason);
    /// Stops claiming and releases all shards, also those whose claim is in flight. `done` runs when no claim is in flight and each release
    /// was applied, was superseded, or was given up after a lease duration.
    void stop(std::function<void()> done);
    std::set<std::string> held() const;
    /// Shards that other entries hold with an unexpired lease.
    std::map<std::string, ShardHolder> heldByOthers() const;
    /// Releases a held shard in favour of the entry `successor`. Other entries claim it only if the successor has not done so
    /// within the lease duration.
    void handOver(const std::string &shard, const std::string &successor);
    /// Boot clock: time of the store's last answer to a poll.
    Millis lastAnswerAt() const
    {
        return m_lastAnswerAt;
    }
    /// Upper bound of the store's clock.
    Millis storeTime() const
    {
        return m_storeClock + (m_clock.boot() - m_storeClockAt);
    }
    const LeaseTimes &times() const
    {
        return m_times;
    }

private:
    struct Shard {
        bool wanted = false;
        ShardOwnerInfo owner;
        std::string nonce;
        std::uint64_t claimVersion = 0;
        std::uint64_t renewalVersion = 0;
        bool known = false;
        /// The claim row was read, whether it exists or not.
        bool read = false;
        bool reading = false;
        // Used while this entry is the owner:
        bool held = false;
        bool renewing = false;
        /// A release is in flight or waits for its next attempt; the shard is not claimed meanwhile.
        bool releasing = false;
        Millis renewedAt; ///< when the last successful renewal was sent
        Millis claimSentAt;
        // Used while this entry is a candidate:
        bool claiming = false;
        Millis vacantSince; ///< boot clock: when the shard was first observed without an owner
        Millis claimAt;
        std::string claimNonce;
    };

    void poll();
    void watchClaims();
    void readClaims();
    void readAddedClaims();
    void readClaim(const std::string &name);
    void onClaimRow(const Row &row);
    void onRenewalRow(const Row &row);
    void skipUnobserved(Millis now);
    bool isExpired(const ShardOwnerInfo &owner) const;
    void evaluateClaims();
    void evaluateClaim(const std::string &name, Shard &shard);
    Millis claimTime(const std::string &name) const;
    void scheduleClaim(const std::string &name);
    void claim(const std::string &name);
    void onClaimed(const std::string &name, const std::string &nonce, bool handedOver, const CommitResult &result);
    void renew(const std::string &name);
    void release(const std::string &name, const std::string &successor);
    void sendRelease(const std::string &name, const RowTransaction &tx, Millis retryUntil);
    /// Runs the callback of `stop` if no claim is in flight and no release is pending.
    void finishStop();
    void releaseOwnRow(const std::string &name, const Shard &shard);

    StorePort m_store;
    TimerPort m_timers;
    Clock m_clock;
    LeaseHolder m_self;
    LeaseTimes m_times;
    Callbacks m_callbacks;
    std::map<std::string, Shard> m_shards;
    std::uint64_t m_renewalFeedVersion = 0;
    std::uint64_t m_claimFeedVersion = 0;
    bool m_claimsRead = false;
    /// The claim feed was followed from its first change, so that a shard without a claim row has never been claimed.
    bool m_claimHistoryComplete = false;
    /// The last poll was answered. No lease expires meanwhile if it was not.
    bool m_observing = true;
    bool m_stopping = false;
    /// Callback of `stop`; null before `stop` and after it has run.
    std::function<void()> m_stopped;
    Millis m_lastAnswerAt;
    /// The store's clock according to the last answered poll, and the boot time at which that poll was sent.
    Millis m_storeClock;
    Millis m_storeClockAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge::jobs
