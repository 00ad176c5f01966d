// Claiming, renewing and releasing shard leases.
#include "shards/leases.hpp"

#include "helpers/ids.hpp"
#include "helpers/json.hpp"
#include "helpers/log.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusbridge::jobs
{

constexpr const char *rowName = "owner";
/// Rows that a shard may have in the claim table.
constexpr int maxClaimRows = 10;
/// Wait of the long poll on the claim feed; also bounds the time until a dead connection is detected.
constexpr Millis claimFeedWait{4'000};
constexpr Millis feedTimeoutMargin{700};
constexpr Millis retryDelay{250};
constexpr Millis noShardsRetryDelay{30};
/// Number of steps over which the candidates spread their claims within the second half of the claim delay.
constexpr std::uint64_t claimJitterSteps = 10;
/// Claims of a new fleet wait longer: its entries start within about 0.2 s of each other, and no jobs are waiting yet.
constexpr std::int64_t firstClaimDelayFactor = 4;

Leases::Leases(StorePort store, TimerPort timers, Clock clock, LeaseHolder self, LeaseTimes times, Callbacks callbacks)
    : m_store(std::move(store))
    , m_timers(std::move(timers))
    , m_clock(std::move(clock))
    , m_self(std::move(self))
    , m_times(times)
    , m_callbacks(std::move(callbacks))
{
}

Leases::~Leases()
{
    *m_alive = false;
}

void Leases::start()
{
    m_lastAnswerAt = m_clock.boot(); // Until the first answer, the age counts from the start.
    poll();
    watchClaims();
}

void Leases::setShards(const std::set<std::string> &shards)
{
    for (const auto &name : shards) {
        m_shards[name].wanted = true;
    }
    readAddedClaims();
    for (auto &[name, shard] : m_shards) {
        if (!shards.contains(name)) {
            shard.wanted = false;
            if (shard.held) {
                release(name, "");
            }
        }
    }
}

bool Leases::holds(const std::string &shard) const
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second.held && m_clock.boot() - it->second.renewedAt < m_times.renewDeadline;
}

bool Leases::isSoleOwner(const std::string &shard) const
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second.held && m_clock.boot() - it->second.renewedAt < m_times.leaseDuration;
}

Millis Leases::expiresAt(const std::string &shard) const
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second.held ? it->second.renewedAt + m_times.renewDeadline : Millis{};
}

RowCondition Leases::condition(const std::string &shard) const
{
    const auto it = m_shards.find(shard);
    return {{claimTable, shard, rowName}, it != m_shards.end() ? it->second.claimVersion : 0};
}

const ShardOwnerInfo *Leases::owner(const std::string &shard) const
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second.known ? &it->second.owner : nullptr;
}

std::set<std::string> Leases::held() const
{
    std::set<std::string> names;
    for (const auto &[name, shard] : m_shards) {
        if (shard.held) {
            names.insert(name);
        }
    }
    return names;
}

void Leases::poll()
{
    const auto sentAt = m_clock.boot();
    m_store.feed(renewalTable, m_renewalFeedVersion, {0}, m_times.callTimeout, [this, alive = m_alive, sentAt](const ReadResult &result) {
        if (!*alive) {
            return;
        }
        const auto now = m_clock.boot();
        if (result.outcome == ReadOutcome::Answered) {
            skipUnobserved(now);
            for (const auto &it : result.rows) {
                onRenewalRow(it);
            }
            m_renewalFeedVersion = std::max(m_renewalFeedVersion, result.version);
            m_lastAnswerAt = now;
            m_storeClock = result.storeClock;
            m_storeClockAt = sentAt;
        } else {
            if (result.outcome == ReadOutcome::HistoryLost) {
                // Missed renewals need not be read, since owners renew often, but no lease may expire because of them.
                m_renewalFeedVersion = std::max(m_renewalFeedVersion, result.version);
                m_store.read({claimTable, "none", "", "", 1}, m_times.callTimeout, [this, alive](const ReadResult &position) {
                    if (*alive && position.outcome == ReadOutcome::Answered) {
                        m_renewalFeedVersion = position.version;
                    }
                });
                for (auto &[name, shard] : m_shards) {
                    shard.owner.changedAt = now;
                }
            }
            m_observing = false;
        }
        evaluateClaims();
        m_timers.after(m_times.pollInterval, [this, alive] {
            if (*alive) {
                poll();
            }
        });
    });
}

/// Leaves the time without an answered poll out of the age of all leases: their owners may have been unable to renew them. The time
/// before it still counts, since otherwise a store that fails now and then would keep a dead owner for good.
void Leases::skipUnobserved(Millis now)
{
    if (m_observing) {
        return;
    }
    m_observing = true;
    for (auto &[name, shard] : m_shards) {
        shard.owner.changedAt = std::min(shard.owner.changedAt + (now - m_lastAnswerAt), now);
    }
}

bool Leases::isExpired(const ShardOwnerInfo &owner) const
{
    return m_observing && m_clock.boot() - owner.changedAt >= m_times.leaseDuration;
}

void Leases::watchClaims()
{
    const auto wait = m_claimsRead ? claimFeedWait : Millis{0};
    const auto timeout = m_claimsRead ? claimFeedWait + feedTimeoutMargin : m_times.callTimeout;
    m_store.feed(claimTable, m_claimFeedVersion, wait, timeout, [this, alive = m_alive](const ReadResult &result) {
        if (!*alive) {
            return;
        }
        Millis nextDelay{0};
        if (result.outcome == ReadOutcome::Answered) {
            for (const auto &it : result.rows) {
                onClaimRow(it);
            }
            m_claimHistoryComplete = m_claimHistoryComplete || m_claimFeedVersion == 0;
            m_claimFeedVersion = std::max(m_claimFeedVersion, result.version);
            m_claimsRead = true;
            evaluateClaims();
        } else if (result.outcome == ReadOutcome::HistoryLost) {
            return readClaims();
        } else {
            nextDelay = retryDelay;
        }
        m_timers.after(nextDelay, [this, alive] {
            if (*alive) {
                watchClaims();
            }
        });
    });
}

/// Reads each claim individually and resumes the feed from the oldest version among these reads.
void Leases::readClaims()
{
    struct Reading {
        std::size_t remaining = 0;
        bool failed = false;
        std::uint64_t version = 0;
    };
    auto reading = std::make_shared<Reading>();
    reading->remaining = m_shards.size();
    if (m_shards.empty()) {
        // The configuration that defines the shards may still be loading.
        return m_timers.after(noShardsRetryDelay, [this, alive = m_alive] {
            if (*alive) {
                watchClaims();
            }
        });
    }
    for (const auto &[name, shard] : m_shards) {
        const RowRange range{claimTable, name, "", "", maxClaimRows};
        m_store.read(range, m_times.callTimeout, [this, alive = m_alive, reading, name = name](const ReadResult &rows) {
            if (!*alive) {
                return;
            }
            m_shards[name].read = m_shards[name].read || rows.outcome == ReadOutcome::Answered;
            reading->failed = reading->failed || rows.outcome != ReadOutcome::Answered;
            reading->version = reading->version == 0 ? rows.version : std::min(reading->version, rows.version);
            for (const auto &it : rows.rows) {
                onClaimRow(it);
            }
            if (--reading->remaining > 0) {
                return;
            }
            if (!reading->failed) {
                m_claimFeedVersion = std::max(m_claimFeedVersion, reading->version);
                m_claimsRead = true;
                readAddedClaims();
                evaluateClaims();
            }
            m_timers.after(reading->failed ? retryDelay : Millis{0}, [this, alive] {
                if (*alive) {
                    watchClaims();
                }
            });
        });
    }
}

/// Reads the claims of shards that were added after the others had been read.
void Leases::readAddedClaims()
{
    if (!m_claimsRead || m_claimHistoryComplete) {
        return;
    }
    for (auto &[name, shard] : m_shards) {
        if (shard.wanted && !shard.read && !shard.reading) {
            readClaim(name);
        }
    }
}

void Leases::readClaim(const std::string &name)
{
    m_shards[name].reading = true;
    m_store.read({claimTable, name, "", "", maxClaimRows}, m_times.callTimeout, [this, alive = m_alive, name](const ReadResult &result) {
        if (!*alive) {
            return;
        }
        if (result.outcome != ReadOutcome::Answered) {
            return m_timers.after(retryDelay, [this, alive, name] {
                if (*alive) {
                    readClaim(name);
                }
            });
        }
        for (const auto &it : result.rows) {
            onClaimRow(it);
        }
        m_shards[name].read = true;
        m_shards[name].reading = false;
        evaluateClaims();
    });
}

void Leases::onClaimRow(const Row &row)
{
    if (row.key.key != rowName) {
        if (m_callbacks.otherRow) {
            m_callbacks.otherRow(row);
        }
        return;
    }
    auto &shard = m_shards[row.key.part];
    if (row.version <= shard.claimVersion) {
        return;
    }
    const auto json = parseJson(row.value);
    if (!json.is_object()) {
        logEvent(LogLevel::Error, "claim_unreadable", {{"shard", row.key.part}, {"version", row.version}});
        return;
    }
    const auto nonce = textOf(json, "nonce");
    if (shard.held && nonce != shard.nonce) {
        loseShard(row.key.part, "claimed by entry " + textOf(json, "holder"));
    }
    shard.known = true;
    shard.claimVersion = row.version;
    shard.nonce = nonce;
    shard.owner.holder = textOf(json, "holder");
    shard.owner.address = textOf(json, "address");
    shard.owner.cpu = realOf(json, "cpu", 0);
    shard.owner.successor = textOf(json, "heir");
    shard.owner.fence = row.version;
    shard.owner.changedAt = m_clock.boot();
    shard.claimAt = {};
    if (m_stopping && !shard.held) {
        releaseOwnRow(row.key.part, shard);
    }
}

void Leases::onRenewalRow(const Row &row)
{
    auto &shard = m_shards[row.key.part];
    if (row.version <= shard.renewalVersion) {
        return;
    }
    shard.renewalVersion = row.version;
    shard.owner.status = row.value;
    shard.owner.changedAt = m_clock.boot();
}

void Leases::evaluateClaims()
{
    for (auto &[name, shard] : m_shards) {
        evaluateClaim(name, shard);
    }
}

/// Schedules a claim if the shard is vacant or its lease has expired.
void Leases::evaluateClaim(const std::string &name, Shard &shard)
{
    if (!m_claimsRead || !(m_claimHistoryComplete || shard.read) || !shard.wanted || shard.held || shard.claiming || shard.releasing
        || m_stopping) {
        return;
    }
    const auto now = m_clock.boot();
    // A claim under this entry's name that this process did not make was left by its previous process on this VM.
    const bool reservedForOther = shard.owner.holder.empty() && !shard.owner.successor.empty() && shard.owner.successor != m_self.name;
    const bool vacant = !shard.known || (shard.owner.holder.empty() && !reservedForOther) || shard.owner.holder == m_self.name;
    if (!vacant && !isExpired(shard.owner)) {
        shard.claimAt = {};
        return;
    }
    if (shard.claimAt.count > 0) {
        return;
    }
    shard.vacantSince = now;
    scheduleClaim(name);
}

/// Boot clock: when this entry may claim the shard, unless another entry has claimed it by then.
Millis Leases::claimTime(const std::string &name) const
{
    const auto &shard = m_shards.at(name);
    if (shard.known && (shard.owner.holder == m_self.name || shard.owner.successor == m_self.name)) {
        return shard.vacantSince; // Other entries wait for the lease duration.
    }
    const auto heldOrClaiming =
        std::count_if(m_shards.begin(), m_shards.end(), [](const auto &it) { return it.second.held || it.second.claiming; });
    // Between half and all of the claim delay, so that an idle entry with half the claim delay claims first.
    const auto step = static_cast<std::int64_t>(claimJitterSteps + stableHash(m_self.name + "/" + name) % claimJitterSteps);
    const auto delay = m_times.claimDelay * heldOrClaiming + m_times.claimDelay * step / static_cast<std::int64_t>(2 * claimJitterSteps);
    return shard.vacantSince + (shard.known ? delay : delay * firstClaimDelayFactor);
}

void Leases::scheduleClaim(const std::string &name)
{
    auto &shard = m_shards[name];
    shard.claimAt = claimTime(name);
    m_timers.after(shard.claimAt - m_clock.boot(), [this, alive = m_alive, name, due = shard.claimAt] {
        if (!*alive) {
            return;
        }
        auto &it = m_shards[name];
        if (it.claimAt != due || it.held || it.claiming || it.releasing || m_stopping || !it.wanted) {
            return;
        }
        // The delay grows if this entry has claimed another shard in the meantime.
        if (claimTime(name) > m_clock.boot()) {
            return scheduleClaim(name);
        }
        claim(name);
    });
}

void Leases::claim(const std::string &name)
{
    auto &shard = m_shards[name];
    shard.claiming = true;
    shard.claimNonce = randomId();
    const bool handedOver = !shard.known || shard.owner.holder.empty();
    const Json json{{"holder", m_self.name}, {"address", m_self.address}, {"cpu", m_self.cpu}, {"nonce", shard.claimNonce}};
    RowTransaction tx;
    tx.conditions.push_back({{claimTable, name, rowName}, shard.claimVersion});
    tx.puts.push_back({{claimTable, name, rowName}, json.dump()});
    const auto sentAt = m_clock.boot();
    m_store.commit(std::move(tx),
                   m_times.callTimeout,
                   [this, alive = m_alive, name, sentAt, handedOver, nonce = shard.claimNonce](const CommitResult &result) {
                       if (*alive) {
                           m_shards[name].claimSentAt = sentAt;
                           onClaimed(name, nonce, handedOver, result);
                       }
                   });
}

static RowTransaction releaseOf(const RowCondition &claim, const std::string &successor)
{
    const Json json{{"holder", ""}, {"address", ""}, {"heir", successor}, {"nonce", randomId()}};
    RowTransaction tx;
    tx.conditions.push_back(claim);
    tx.puts.push_back({claim.key, json.dump()});
    return tx;
}

void Leases::onClaimed(const std::string &name, const std::string &nonce, bool handedOver, const CommitResult &result)
{
    auto &shard = m_shards[name];
    shard.claiming = false;
    shard.claimAt = {};
    if (result.outcome != CommitOutcome::Applied) {
        for (const auto &it : result.current) {
            onClaimRow(it);
        }
        if (result.outcome == CommitOutcome::Unknown) {
            logEvent(LogLevel::Warn, "claim_unknown", {{"shard", name}, {"error", result.error}});
        }
        if (m_stopping) {
            releaseOwnRow(name, shard);
        }
        return finishStop();
    }
    if (m_stopping || !shard.wanted) {
        const RowCondition claim{{claimTable, name, rowName}, result.version};
        return sendRelease(name, releaseOf(claim, ""), m_clock.boot() + m_times.leaseDuration);
    }
    if (result.version < shard.claimVersion) {
        return; // Another entry has claimed the shard since.
    }
    shard.known = true;
    shard.held = true;
    shard.nonce = nonce;
    shard.claimVersion = result.version;
    shard.renewedAt = shard.claimSentAt;
    shard.owner = {
        .holder = m_self.name, .address = m_self.address, .cpu = m_self.cpu, .fence = result.version, .changedAt = m_clock.boot()};
    logEvent(LogLevel::Info, "shard_acquired", {{"shard", name}, {"fence", result.version}, {"handed_over", handedOver}});
    m_callbacks.acquired(name, result.version, handedOver);
    renew(name);
}

void Leases::renew(const std::string &name)
{
    auto &shard = m_shards[name];
    if (!shard.held || shard.renewing) {
        return;
    }
    if (!holds(name)) {
        return loseShard(name, "lease not renewed before the renew deadline");
    }
    shard.renewing = true;
    RowTransaction tx;
    tx.conditions.push_back(condition(name));
    tx.puts.push_back({{renewalTable, name, rowName}, m_callbacks.status(name)});
    const auto sentAt = m_clock.boot();
    m_store.commit(
        std::move(tx), m_times.callTimeout, [this, alive = m_alive, name, sentAt, fence = shard.claimVersion](const CommitResult &result) {
            if (!*alive) {
                return;
            }
            auto &it = m_shards[name];
            it.renewing = false;
            if (!it.held) {
                return;
            }
            if (it.claimVersion != fence) {
                return renew(name); // The shard was lost and claimed again in the meantime.
            }
            if (result.outcome == CommitOutcome::Conflict) {
                for (const auto &row : result.current) {
                    onClaimRow(row);
                }
                return loseShard(name, "claimed by another entry");
            }
            Millis nextDelay = retryDelay;
            if (result.outcome == CommitOutcome::Applied) {
                it.renewedAt = sentAt;
                it.owner.changedAt = m_clock.boot();
                nextDelay = m_times.renewInterval;
            } else {
                logEvent(LogLevel::Warn,
                         "renewal_failed",
                         {{"shard", name}, {"error", result.error}, {"lease_age_ms", (m_clock.boot() - it.renewedAt).count}});
            }
            m_timers.after(nextDelay, [this, alive, name] {
                if (*alive) {
                    renew(name);
                }
            });
        });
}

void Leases::loseShard(const std::string &shard, const std::string &reason)
{
    auto &it = m_shards[shard];
    if (!it.held) {
        return;
    }
    it.held = false;
    it.owner.changedAt = m_clock.boot();
    // Until the claim row names a new holder, this entry tries to reclaim the shard. The condition of that claim fails if
    // another entry already holds the shard.
    logEvent(LogLevel::Warn, "shard_lost", {{"shard", shard}, {"fence", it.claimVersion}, {"reason", reason}});
    m_callbacks.lost(shard);
}

void Leases::release(const std::string &name, const std::string &successor)
{
    const auto tx = releaseOf(condition(name), successor);
    loseShard(name, "released");
    sendRelease(name, tx, m_clock.boot() + m_times.leaseDuration);
}

void Leases::sendRelease(const std::string &name, const RowTransaction &tx, Millis retryUntil)
{
    m_shards[name].releasing = true;
    m_store.commit(tx, m_times.callTimeout, [this, alive = m_alive, name, tx, retryUntil](const CommitResult &result) {
        if (!*alive) {
            return;
        }
        const bool undecided = result.outcome == CommitOutcome::Refused || result.outcome == CommitOutcome::Unknown;
        if (undecided && m_clock.boot() + retryDelay < retryUntil) {
            return m_timers.after(retryDelay, [this, alive, name, tx, retryUntil] {
                if (*alive) {
                    sendRelease(name, tx, retryUntil);
                }
            });
        }
        // On a conflict with its own row, an earlier attempt without an answer was applied.
        const bool applied =
            result.outcome == CommitOutcome::Applied || (!result.current.empty() && result.current.front().value == tx.puts.front().value);
        logEvent(LogLevel::Info, "shard_released", {{"shard", name}, {"applied", applied}, {"error", result.error}});
        m_shards[name].releasing = false;
        evaluateClaims();
        finishStop();
    });
}

void Leases::finishStop()
{
    const bool pending =
        std::any_of(m_shards.begin(), m_shards.end(), [](const auto &it) { return it.second.claiming || it.second.releasing; });
    if (m_stopped && !pending) {
        std::exchange(m_stopped, nullptr)();
    }
}

std::map<std::string, ShardHolder> Leases::heldByOthers() const
{
    std::map<std::string, ShardHolder> shards;
    for (const auto &[name, shard] : m_shards) {
        const auto &owner = shard.owner;
        if (shard.wanted && shard.known && !shard.held && !owner.holder.empty() && owner.holder != m_self.name && !isExpired(owner)) {
            shards[name] = {owner.holder, owner.address, owner.cpu};
        }
    }
    return shards;
}

void Leases::handOver(const std::string &shard, const std::string &successor)
{
    logEvent(LogLevel::Info, "shard_handed_over", {{"shard", shard}, {"to", successor}});
    release(shard, successor);
}

void Leases::stop(std::function<void()> done)
{
    m_stopping = true;
    m_stopped = std::move(done);
    for (auto &[name, shard] : m_shards) {
        if (shard.held) {
            release(name, "");
        } else {
            releaseOwnRow(name, shard);
        }
    }
    finishStop();
}

/// Releases a shard that a claim row assigns to this entry although it does not hold it: a claim without an answer was applied.
void Leases::releaseOwnRow(const std::string &name, const Shard &shard)
{
    if (shard.known && !shard.claiming && !shard.releasing && shard.owner.holder == m_self.name) {
        sendRelease(name, releaseOf(condition(name), ""), m_clock.boot() + m_times.leaseDuration);
    }
}

} // namespace hibiscusbridge::jobs
