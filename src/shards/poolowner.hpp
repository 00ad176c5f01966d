// Runs one pool while this entry owns its shard: loads the stored jobs, fences the workers, follows new submissions, persists
// progress and sends orders to the workers.
#pragma once

#include "ports/store.hpp"
#include "ports/timer.hpp"
#include "ports/workers.hpp"
#include "scheduling/pool.hpp"
#include "shards/workerdirectory.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

struct PoolOwnerTimes {
    /// Minimum time between two transactions; ends and starts within it are persisted together.
    Millis minCommitInterval{20};
    Millis commitTimeout{1'500};
    /// How long the renewal of a worker's lease, which is a long poll, waits for an end.
    Millis renewalWait{1'000};
    /// Maximum number of lease renewals sent to workers per second; at a lower rate, each one returns more ends. A renewal
    /// takes about 0.15 ms of CPU time.
    double holdsPerSecond = 400;
    Millis orderTimeout{700};
    /// Interval at which deadlines are checked.
    Millis tickInterval{100};
    /// Retention period of ended jobs.
    Millis jobRetention{180'000};
    /// Added to the expected response time of the advice service.
    Millis adviceTimeoutMargin{500};
};

class PoolOwner
{
public:
    struct Ports {
        StorePort store;
        StoreLimits limits;
        WorkerPort workers;
        AdvicePort advice;
        TimerPort timers;
        Clock clock;
        /// True while this entry owns the shard.
        std::function<bool()> isOwner;
        /// True while no other entry can have claimed the shard. Required for starts and stops: a worker that has restarted
        /// may not have seen the fencing token of a new owner yet and would accept orders of the old one.
        std::function<bool()> isSoleOwner;
        /// Boot clock: worker leases are not extended beyond this time.
        std::function<Millis()> leaseLimit;
        std::function<RowCondition()> condition;
        std::function<std::vector<WorkerRegistration>()> registeredWorkers;
        /// Workers that are known to have ended.
        std::function<std::set<std::string>()> endedWorkers;
        /// Called when another owner has been detected.
        std::function<void(const std::string &reason)> superseded;
        /// Called once a second while an end waits long for its acknowledgement.
        std::function<void(const OldestUnackedEnd &)> ackDelayed = [](const OldestUnackedEnd &) {
        };
    };

    PoolOwner(std::string pool, std::uint64_t fence, PoolTimes times, PoolOwnerTimes ownTimes, Ports ports);
    ~PoolOwner();

    void start();
    /// Cancels all further work; the object may be destroyed later.
    void retire()
    {
        *m_alive = false;
    }
    void onWorkersChanged();
    /// Returns the load to publish with the lease renewal, including the queued jobs by route.
    std::string status() const;
    /// How long the oldest listed end has waited for its acknowledgement; 0 if none waits.
    Millis oldestUnackedEndAge() const;
    /// Cordons the VMs until `until` and reports on the pool. Returns std::nullopt while the stored jobs are being
    /// loaded or when another entry may have claimed the shard.
    std::optional<PoolReport> report(const std::set<std::string> &keepEmpty, Millis until);

private:
    struct RenewalState {
        bool inFlight = false;
        bool slowProbeInFlight = false;
        Millis nextSendAt;
        Millis sentAt;
        /// Recent time between a request and its response, without the wait of the long poll.
        Millis responseTime;
        /// The next renewal waits until then for the ends of the last list to be persisted, so that it acknowledges them.
        Millis ackDeadline;
    };

    void readProgress(const std::string &from);
    void onSubmissionsRead(std::vector<Row> rows);
    void loadSubmissions(const std::vector<Row> &rows, bool initial);
    void updateWorkers();
    void scheduleRun();
    void run();
    void sendRenewals(Millis now);
    void sendRenewal(const Worker &worker, RenewalState &renewalState, Millis now);
    void onRenewal(const RenewOrder &order, Millis sentAt, const RenewResult &result);
    void sendSlowProbe(const std::string &id);
    bool isOutdatedMiss(const std::string &id, const RenewResult &result, Millis sentAt) const;
    void sendOrders(PoolOrders orders);
    /// Sends the orders that waited for the answer.
    void onOrderAnswered();
    void requestAdvice(Millis now);
    void commit(Millis now);
    void onRowsRejected(const std::vector<JobRow> &rows, const std::string &error);
    void onCommitted(const std::vector<JobRow> &rows, const CommitResult &result);
    void expire();
    /// Up to `maxRows` jobs whose tombstones have been kept for the retention period.
    std::vector<std::string> expiredTombstones(Millis writtenBefore, std::size_t maxRows) const;
    void onExpired(std::span<const ExpiredJob> jobs, std::span<const std::string> tombstones, const CommitResult &result);
    void scheduleTick();
    std::optional<OldestUnackedEnd> oldestUnackedEnd(Millis now) const;
    void reportAckDelay();

    std::string m_name;
    std::unique_ptr<Pool> m_pool;
    PoolOwnerTimes m_times;
    Ports m_ports;
    TableFollower m_submissions;
    bool m_loaded = false;
    bool m_submissionsRead = false;
    bool m_progressRead = false;
    std::vector<Row> m_initialSubmissions;
    /// Rows of each job's record, in order, until the jobs are loaded.
    std::map<std::string, std::vector<std::string>> m_progress;
    std::map<std::string, std::uint64_t> m_progressVersions;
    /// Tombstones in the place of submissions, by job, with the time of their writing.
    std::map<std::string, Millis> m_tombstones;
    std::map<std::string, RenewalState> m_renewals;
    /// Token bucket: number of renewals that may be sent, and the time of its last refill.
    double m_renewalBudget = 0;
    Millis m_renewalBudgetAt;
    bool m_committing = false;
    /// Number of further transactions that hold a single job each, to find one whose record the store does not take.
    std::size_t m_singleJobCommits = 0;
    /// A removal of expired jobs is under way.
    bool m_expiring = false;
    /// The last removal has succeeded, and there may be more expired jobs than it had room for.
    bool m_moreExpired = false;
    Millis m_lastCommitAt;
    bool m_runScheduled = false;
    bool m_commitTimer = false;
    int m_ticks = 0;
    bool m_adviceInFlight = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge::jobs
