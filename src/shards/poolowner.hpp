// Runs one pool while this entry owns its shard: reads what is recorded, fences the workers, follows new jobs, records
// progress and carries out orders.
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
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

struct PoolOwnerTimes {
    /// Shortest time between two transactions; ends and starts that fall into it are recorded together.
    Millis minCommitInterval{20};
    Millis commitTimeout{1'500};
    /// How long a hold waits at a worker for an end.
    Millis holdWait{1'000};
    /// Holds that the owner sends each second at most; more ends then come with each of them. A hold takes about 0.15 ms of a
    /// core.
    double holdsPerSecond = 400;
    Millis orderTimeout{700};
    /// Deadlines are checked this often.
    Millis tickInterval{100};
    /// Ended jobs are kept for this long.
    Millis jobRetention{180'000};
    Millis adviceTimeoutMargin{500};
};

class PoolOwner
{
public:
    struct Ports {
        StorePort store;
        WorkerPort workers;
        AdvicePort advice;
        TimerPort timers;
        Clock clock;
        /// True while this entry owns the shard.
        std::function<bool()> isOwner;
        /// True while nobody else can have claimed the shard. Needed for starts and stops: a worker that has restarted does not
        /// know the fencing token of a successor yet.
        std::function<bool()> isSoleOwner;
        /// Boot clock: leases of workers are not extended beyond this.
        std::function<Millis()> leaseLimit;
        std::function<RowCondition()> condition;
        std::function<std::vector<WorkerRegistration>()> registeredWorkers;
        /// Workers that have certainly ended.
        std::function<std::set<std::string>()> endedWorkers;
        /// Another owner has been seen.
        std::function<void(const std::string &reason)> superseded;
    };

    PoolOwner(std::string pool, std::uint64_t fence, PoolTimes times, PoolOwnerTimes ownTimes, Ports ports);
    ~PoolOwner();

    void start();
    /// Does nothing from now on; the object may be destroyed later.
    void retire()
    {
        *m_alive = false;
    }
    void onWorkersChanged();
    /// What the owner publishes: queued jobs by route and the load.
    std::string status() const;
    /// Keeps the VMs empty until then; nothing while the recorded jobs are being read or another owner may have taken over.
    std::optional<PoolReport> report(const std::set<std::string> &keepEmpty, Millis until);

private:
    struct HoldState {
        bool inFlight = false;
        Millis nextSendAt;
        Millis sentAt;
        /// Waits until the ends of the last list are recorded, so that the next hold acknowledges them.
        Millis ackDeadline;
    };

    void readProgress(const std::string &from);
    void loadSubmissions(const std::vector<Row> &rows, bool initial);
    void updateWorkers();
    void scheduleRun();
    void run();
    void sendHolds(Millis now);
    void sendHold(const Worker &worker, HoldState &holdState, Millis now);
    void onHold(const std::string &id, std::uint64_t fence, Millis sentAt, const RenewResult &result);
    void sendOrders(PoolOrders orders);
    void requestAdvice(Millis now);
    void commit(Millis now);
    void onCommitted(const std::vector<JobRow> &rows, const CommitResult &result);
    void expire();
    void scheduleTick();

    std::string m_name;
    std::unique_ptr<Pool> m_pool;
    PoolOwnerTimes m_times;
    Ports m_ports;
    TableFollower m_submissions;
    bool m_loaded = false;
    bool m_submissionsRead = false;
    bool m_progressRead = false;
    std::vector<Row> m_initialSubmissions;
    std::map<std::string, std::string> m_progress;
    std::map<std::string, std::uint64_t> m_progressVersions;
    std::map<std::string, HoldState> m_holds;
    /// Holds that may be sent now, and when that was counted.
    double m_holdBudget = 0;
    Millis m_holdBudgetAt;
    bool m_committing = false;
    Millis m_lastCommitAt;
    bool m_runScheduled = false;
    bool m_commitTimer = false;
    int m_ticks = 0;
    bool m_adviceInFlight = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge::jobs
