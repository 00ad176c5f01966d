// Who owns which shard. A shard is a pool with its queues, or the fleet's VMs.
//
// A claim row names the owner; its version is the owner's fencing token and a condition of everything the owner writes.
// The owner renews a second row; others claim the shard when that row has not changed for a while.
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
    /// Others read the renewals this often.
    Millis pollInterval{500};
    /// Without a change for this long the owner counts as gone.
    Millis leaseDuration{2'000};
    /// An owner that could not renew for this long gives no more orders, and everything it has lent to workers has ended by
    /// then. Longer than an ordinary outage of the store, during which nobody can claim.
    Millis renewDeadline{9'000};
    Millis callTimeout{1'500};
    /// Delay of a claim for each shard already held, so that shards spread. Longer on slow VMs, so that fast ones come first:
    /// an owner's work does not shrink with its VM.
    Millis claimDelay{150};
};

/// What is known of a shard's owner.
struct ShardOwnerInfo {
    std::string holder; ///< name of the entry; empty for a shard that was released
    std::string address; ///< peer address of the entry
    double cpu = 0; ///< processor of the entry in cores
    /// Entry that a released shard is meant for; empty for anyone.
    std::string successor;
    std::uint64_t fence = 0;
    /// Published by the owner with each renewal.
    std::string status;
    /// Boot clock: when the claim or its renewal last changed, as far as seen.
    Millis changedAt;
};

/// This entry as its claims show it.
struct LeaseHolder {
    std::string name;
    std::string address; ///< peer address
    double cpu = 0; ///< processor in cores
};

class Leases
{
public:
    struct Callbacks {
        /// `handedOver`: the former owner has given its last order before it released the shard.
        std::function<void(const std::string &shard, std::uint64_t fence, bool handedOver)> acquired;
        std::function<void(const std::string &shard)> lost;
        /// Text to publish with the next renewal.
        std::function<std::string(const std::string &shard)> status;
    };

    Leases(StorePort store, TimerPort timers, Clock clock, LeaseHolder self, LeaseTimes times, Callbacks callbacks);
    ~Leases();

    void start();
    /// The shards there should be. A shard that is not wanted any more is released.
    void setShards(const std::set<std::string> &shards);
    /// True while this entry may give orders for the shard.
    bool holds(const std::string &shard) const;
    /// True while no other entry can have claimed the shard.
    bool isSoleOwner(const std::string &shard) const;
    /// Boot clock: when this entry's ownership ends unless it is renewed.
    Millis expiresAt(const std::string &shard) const;
    /// The condition for every write of the owner.
    RowCondition condition(const std::string &shard) const;
    /// Null when nothing is known.
    const ShardOwnerInfo *owner(const std::string &shard) const;
    /// Another owner has been seen acting.
    void loseShard(const std::string &shard, const std::string &reason);
    /// Releases every shard and claims none any more; `done` runs when the store has answered or given up.
    void stop(std::function<void()> done);
    std::set<std::string> held() const;
    /// Shards of other entries that renew them.
    std::map<std::string, ShardHolder> heldByOthers() const;
    /// Releases a shard of ours for the entry `successor`; others claim it only when the successor does not.
    void handOver(const std::string &shard, const std::string &successor);
    /// Boot clock: when the store last answered a poll.
    Millis lastAnswerAt() const
    {
        return m_lastAnswerAt;
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
        // As the owner:
        bool held = false;
        bool renewing = false;
        Millis renewedAt; ///< when the last renewal that succeeded was sent
        Millis claimSentAt;
        // As a candidate:
        bool claiming = false;
        Millis vacantSince; ///< boot clock: since when the shard has had no owner, as far as seen
        Millis claimAt;
        std::string claimNonce;
    };

    void poll();
    void watchClaims();
    void readClaims();
    void onClaimRow(const Row &row);
    void onRenewalRow(const Row &row);
    void evaluateClaims();
    void evaluateClaim(const std::string &name, Shard &shard);
    Millis claimTime(const std::string &name) const;
    void scheduleClaim(const std::string &name);
    void claim(const std::string &name);
    void onClaimed(const std::string &name, const std::string &nonce, bool handedOver, const CommitResult &result);
    void renew(const std::string &name);
    void release(const std::string &name, const std::string &successor, std::function<void()> done);

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
    bool m_stopping = false;
    Millis m_lastAnswerAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge::jobs
