// Scheduler state of one pool: its jobs, its workers, the runs on them and the records that must be committed first.
//
// The pool does no I/O. The pool owner passes in jobs, workers and renewal results, commits the rows that `takeRecords`
// returns and only then sends the starts that `onRecordsCommitted` returns, so that a new owner finds every start in the
// store.
#pragma once

#include "jobs/job.hpp"
#include "ports/store.hpp"
#include "ports/workers.hpp"
#include "scheduling/changedjobs.hpp"
#include "scheduling/crashes.hpp"
#include "scheduling/incarnation.hpp"
#include "scheduling/order.hpp"
#include "scheduling/placement.hpp"
#include "shards/publishedload.hpp"
#include "upkeep/poolreport.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

struct PoolTimes {
    /// Lease length granted to all runs on a worker by each renewal and start.
    Millis lease{5'000};
    /// Upper bound, counted from the takeover, of leases that the previous owner may have extended on workers that this owner
    /// can't reach.
    Millis previousOwnerLease{7'500};
    /// Stops and unsent starts are sent again after this interval.
    Millis resendInterval{400};
    /// A start without a response is carried out within this time, or not at all.
    Millis lateStartTime{6'000};
    /// Upper bound of a lease, by the clock of the worker, which shortens longer ones.
    Millis maxLease{10'000};
    /// An order reaches its worker within this time, unless it is carried out late.
    Millis orderArrival{1'000};
    /// An owner learns within this time that a worker has restarted, or sends it no more orders.
    Millis restartDetection{4'000};
    /// A worker that refused a start or lists an unknown run gets no new work for this long.
    Millis refusalBackoff{1'000};
    /// A long-running subtask counts as available after it was listed at 100 % for this long. Listed progress is rounded, so
    /// 100 % may be shown too early.
    Millis availabilityDelay{500};
};

enum class RunPhase {
    /// Assigned to a worker, not in the store yet.
    Placed,
    /// Part of a transaction in flight.
    Committing,
    /// Committed; not yet confirmed by the worker.
    Starting,
    Running,
    /// Recorded by a previous owner; the worker has not responded to this owner yet.
    Inherited,
};

struct Job;
struct Worker;

/// One attempt to run a subtask, which may be present on its worker.
struct Run {
    Job *job = nullptr;
    Worker *worker = nullptr;
    int occurrence = 0;
    int step = 0;
    int index = 0;
    int number = 0;
    std::int64_t incarnationStart = 0; ///< worker incarnation that the run was placed on, Unix milliseconds
    RunPhase phase = RunPhase::Placed;
    bool stopRequested = false;
    bool stopAccepted = false;
    /// A start, stop or throttle order awaits its response.
    bool orderInFlight = false;
    Millis placedAt;
    Millis confirmedAt;
    Millis lastOrderAt;
    Millis lastStopAt;
    /// Start orders sent, with or without a response.
    int attempts = 0;
    /// When the last start order without a response was sent, as long as it may be carried out late.
    Millis unansweredStartAt;
    /// Fencing token of the last start order.
    std::uint64_t startFence = 0;
    /// No start order is in flight that the worker could still execute.
    bool unsent = true;
    /// Consecutive lists without this run although the worker had confirmed it.
    int missedLists = 0;
    int progressPercent = 0;
    std::int64_t metric = 0;
    int speedPercent = 100;
    int targetSpeedPercent = 100;
    Resources reserved;
};

/// True if no start of the run was sent, so that it can't be on its worker.
bool isUnsent(const Run &run);

/// A start without a response. The incarnation of the worker that it was meant for refuses it for its fencing token, but a later one, which
/// has not seen a higher token, may carry it out.
struct LateStart {
    std::string workerId;
    Millis until;
    /// Starts in a row on this worker that got no response.
    int count = 0;
};

struct Subtask {
    bool done = false;
    std::vector<int> failedRuns;
    int lastRun = 0;
    std::string checkpoint;
    std::vector<std::unique_ptr<Run>> runs;
    /// Crashed workers that had a run of the subtask, at most one entry for each incarnation.
    std::vector<CrashRecord> crashes;
    /// Start of the current unavailability of a long-running subtask; 0 while it is available.
    Millis unavailableSince;
    /// When it was first listed at 100 % after being unavailable.
    Millis availableSince;
    /// Earliest time of the next start.
    Millis retryAt;
    /// Until its time is over, the subtask is started on no other worker: it must not run there when the late start is carried out.
    std::optional<LateStart> lateStart;
};

struct Job {
    /// Position in the order in which the pool learned of its jobs.
    std::uint64_t sequence = 0;
    JobSpec spec;
    JobPhase phase = JobPhase::Queued;
    Millis endedAt;
    /// Time of submission, boot clock.
    Millis submittedAt;
    bool cancelled = false;
    std::string failureReason;
    /// A worker has confirmed a start of one of its subtasks. `phase` is `Running` as soon as a subtask is placed, and the start
    /// may still fail.
    bool begun = false;
    std::vector<std::vector<std::vector<Subtask>>> occurrences;
    /// Number of unfinished subtasks by occurrence and step.
    std::vector<std::vector<int>> openSubtasks;
    int runCount = 0;
    /// Maximum number of runs, so that the job's record fits into the store; 0 for no limit.
    int maxRuns = 0;
    /// Response of the advice service: tickets by worker. Keyed by occurrence * steps + step.
    struct Advice {
        std::map<std::string, std::string> tickets;
        Millis validUntil;
        Millis requestedAt;
        bool requestInFlight = false;
    };
    std::map<int, Advice> advice;
    /// Hashes of the parts of the record that are in the store or in flight. The number of parts never falls, so that no part is
    /// left behind in the store; a part that is not known to be stored has no hash.
    std::vector<std::optional<std::uint64_t>> recordParts;
};

/// A worker id across its successive incarnations.
struct Worker {
    WorkerRegistration entry;
    /// Present in the latest list of registered workers.
    bool registered = false;
    /// The current incarnation has accepted a renewal with this owner's fencing token.
    bool synced = false;
    Incarnation incarnation; ///< the one that responded last
    /// Local boot clock: a later incarnation that has taken an order for the present one has ended its runs by then. The deadline of
    /// such an order lies far ahead on its clock, so that its lease is the longest that a worker grants.
    Millis laterLeaseExpiry;
    Millis backoffUntil;
    /// Consecutive renewals and starts without a response.
    int misses = 0;
    /// Local boot clock: the first of the latest consecutive misses.
    Millis unreachableSince;
    /// Part of the fencing token for this worker. Incremented to fence off this owner's earlier orders without a response.
    std::uint64_t epoch = 0;
    /// Cordoned by the fleet owner until this time; each request extends it.
    Millis cordonedUntil;
    /// Until then a restart is taken for one that the fleet owner ordered.
    Millis plannedRestartUntil;
    std::vector<Run *> runs;
    Resources used;
};

/// Orders for the pool owner to send.
struct PoolOrders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<ThrottleOrder> paces;
};

/// A request to the advice service.
struct AdviceRequest {
    SubtaskId step; ///< index is 0
    std::vector<std::string> workers;
};

/// One row of a job's record.
struct JobRow {
    std::string id;
    std::size_t part = 0; ///< 0 is the first row
    std::string value;
};

/// A job whose rows are to be removed from the store.
struct ExpiredJob {
    std::string id;
    /// Parts of its record, besides the first row.
    std::size_t parts = 0;
};

/// Rows of the job in the store: submission, cancellation and record.
constexpr std::size_t rowCount(const ExpiredJob &job)
{
    return 3 + job.parts;
}

class Pool
{
public:
    Pool(std::string name, std::uint64_t fence, PoolTimes times);

    // Inputs.
    /// Adds a job with its stored record, if any. Returns false if the job already exists.
    bool addJob(const JobSpec &spec, const std::optional<JobRecord> &record, Millis now, Millis wall);
    void cancelJob(const std::string &id, Millis now, Millis wall);
    /// Replaces the list of registered workers of the pool.
    void setWorkers(const std::vector<WorkerRegistration> &entries, Millis now);
    /// Drops the runs of workers that are confirmed to have ended.
    void endWorkers(const std::set<std::string> &ids, Millis now);
    /// Handles the response to a renewal that was sent at `sentAt` with the fencing token `renewalFence`.
    void onHold(const std::string &workerId, std::uint64_t renewalFence, const RenewResult &result, Millis sentAt, Millis now, Millis wall);
    void onHoldSent(const std::string &workerId, Millis now);
    /// The worker's incarnation has accepted a renewal with this acknowledgement cursor. Call before `onHold` for the same response.
    void onAcknowledged(const std::string &workerId, std::int64_t incarnationStart, std::int64_t cursor);
    void onStart(const StartOrder &order, const OrderResult &result, Millis now);
    void onStop(const StopOrder &order, const OrderResult &result, Millis now);
    void onPace(const ThrottleOrder &order, const OrderResult &result);
    void onAdvice(const AdviceRequest &request, const AdviceResult &result, Millis now);
    /// Cordons exactly these VMs until `until`, and uncordons all others.
    void cordonVms(const std::set<std::string> &vms, Millis until);

    /// No worker lease is extended beyond `limit` (boot clock).
    void setLeaseLimit(Millis limit)
    {
        m_leaseLimit = limit;
    }

    // Decisions.
    /// `mayMove` permits stopping available subtasks; it is false while another owner may have taken over.
    void schedule(Millis now, Millis wall, bool mayMove);
    /// Returns rows to commit, about `maxRows` at most, that fit into a transaction; all rows of a job are in the same one. Their runs
    /// stay in `Committing` until `onRecordsCommitted` or `onCommitFailed`.
    std::vector<JobRow> takeRecords(std::size_t maxRows, const StoreLimits &limits = {});
    /// Call after the rows of the last `takeRecords` were committed. Returns the starts to send; `dueOrders` returns others later.
    PoolOrders onRecordsCommitted(Millis now);
    void onCommitFailed();
    /// Call in place of `onCommitFailed` if the store does not take the rows of the last `takeRecords`, which were of a single job. Its
    /// record is divided further. If that is of no use, the job has fewer runs at a time, and its rows wait until
    /// `retryRejectedRecords`.
    void onRecordRejected(Millis now);
    void retryRejectedRecords()
    {
        m_changed.resume();
    }
    /// Returns the stops, unsent starts and throttle changes that are due, as far as their workers may have more orders in flight.
    PoolOrders dueOrders(Millis now);
    /// True if orders wait until others to the same worker are answered.
    bool hasOrdersHeldBack() const
    {
        return m_ordersHeldBack;
    }
    /// Whether a start that was returned earlier, and may have waited for a connection since, may still be sent.
    bool mayStillSend(const StartOrder &order) const;
    std::optional<AdviceRequest> nextAdviceRequest(Millis now);
    /// Final jobs that ended before `endedBefore` (wall clock), with up to `maxRows` rows in the store.
    std::vector<ExpiredJob> expired(Millis endedBefore, std::size_t maxRows) const;
    /// Call after the rows of the jobs were removed. A job without rows that is still known can't start again.
    void forget(std::span<const ExpiredJob> jobs);

    // Views.
    const std::map<std::string, std::unique_ptr<Worker>> &workers() const
    {
        return m_workers;
    }
    const std::map<std::string, std::unique_ptr<Job>> &jobs() const
    {
        return m_jobs;
    }
    const std::string &name() const
    {
        return m_name;
    }
    std::uint64_t fence() const
    {
        return m_fence;
    }
    /// Current fencing token for a worker; 0 if the worker is unknown.
    std::uint64_t fenceAt(const std::string &workerId) const;
    const PoolTimes &times() const
    {
        return m_times;
    }
    bool hasUnsavedChanges() const
    {
        return !m_changed.empty() || !m_unackedWorkers.empty();
    }
    /// Lease deadline, on the worker's clock, for a renewal or start sent now; 0 if that clock is unknown.
    Millis deadlineFor(const Worker &worker, Millis now) const;
    /// True if the worker accepted a renewal from this owner and its last renewal or start got a response.
    bool isReachable(const Worker &worker) const;
    /// The longest-waiting end; `delay` says whether its acknowledgement may be sent, not whether it has been.
    std::optional<OldestUnackedEnd> oldestUnackedEnd(Millis now) const;
    /// Capacity report for the fleet owner.
    PoolReport report(Millis now) const;
    PublishedLoad load(Millis now) const;
    /// Highest ratio of measured to estimated duration over all routes.
    double highestDurationRatio() const;

private:
    struct Ready;
    struct Round;

    Millis leaseLength(Millis now) const;
    /// Upper bound of `Worker::laterLeaseExpiry` if the last order is sent now.
    Millis laterLeaseExpiryAt(Millis now) const;
    /// Whether a worker that this owner hears of for the first time may have taken orders of the previous owner for a former incarnation.
    bool mayHaveOrdersOfFormer(const Worker &worker, Millis clock) const;
    /// When the run has ended for certain if its worker stays silent.
    static Millis expiryOf(const Run &run);
    /// Creates the worker, with the leases that a previous owner may have granted.
    std::unique_ptr<Worker> makeWorker(const std::string &id, Millis now) const;
    double durationRatio(const JobSpec &spec) const;
    std::int64_t remainingWork(const Job &job) const;
    Subtask &subtaskOf(const Run &run) const;
    static const StepSpec &stepOf(const Run &run);
    void markChanged(Job &job);
    void withdrawPlaced(Job &job, Millis now);
    /// The rows of the job's record that differ from those in the store.
    static std::vector<JobRow> changedRows(Job &job, const StoreLimits &limits);
    Run &addRun(Job &job, int occurrence, int step, int index, int number, Worker &worker);
    /// Removes a run that can no longer be on its worker.
    void dropRun(Run &run, Millis now, const char *reason);
    Run *findRun(const Worker &worker, const SubtaskId &subtask, int number) const;
    void onEnd(Worker &worker, const RunEndReport &end, Millis now, Millis wall);
    void finishSubtask(Job &job, int occurrence, int step, int index, Millis now, Millis wall);
    void finishJob(Job &job, JobPhase phase, Millis now, Millis wall, const char *reason);
    void stopRuns(Job &job, Millis now);
    void onRestarted(Worker &worker, const RenewResult &result, Millis lastResponse, Millis now);
    void dropExpiredRuns(Millis now);
    void evictLongRunning(Millis now);
    void adjustThrottling();
    /// Whether a suspect's run is so recent that nothing else may be started on its worker.
    bool isInProbation(const Run &run, Millis now) const;
    WorkerLoss lossOf(const Worker &worker, Millis lastResponse) const;
    /// Records the crash with the subtasks whose runs were lost. `lastResponse` is the time of the last response of the lost incarnation;
    /// `confirmed` is false while the worker may only be unreachable.
    void onWorkerLost(const Worker &worker, std::span<Run *const> runs, Millis lastResponse, bool confirmed, Millis now);
    void recordCrash(const Run &run, Suspicion suspicion, bool confirmed, Millis lastResponse);
    void settleCrashes(const std::string &workerId, std::optional<std::int64_t> incarnation);
    void giveUpIfCause(const SubtaskId &id, const Subtask &subtask);
    void giveUpCrashingSubtasks(Millis now, Millis wall);
    /// Returns nullptr if the job is unknown or final.
    Subtask *findSubtask(const SubtaskId &id) const;
    bool isUsable(const Worker &worker, Millis now) const;
    Candidate candidateOf(const Worker &worker, Millis now) const;
    static int siblingsOn(const Worker &worker, const Job &job, int occurrence, int step);
    /// Resources of the runs that the worker lists and the pool does not know.
    Resources unknownLoad(const Worker &worker) const;
    /// True if the worker's present capacity, which may have shrunk since the placement, holds a run that is to start.
    bool fitsOnWorker(const Run &run) const;
    /// Why the worker may not get the run, whose placement may be seconds old, apart from its capacity; nullptr if it may.
    static const char *workerObstacle(const Run &run);
    /// Why the run may not be sent, for a member of a gang also because of other members that are to start; nullptr if it may.
    const char *startObstacle(const Run &run) const;
    /// Drops a run that is not on its worker. The other members of its gang can't run without it and are dropped or stopped.
    void withdraw(Run &run, Millis now, const char *reason);
    /// Handles a run that is not on its worker although its start may have been sent. The worker refuses that start from now on.
    void onNeverStarted(Run &run, Millis now);
    /// True unless another member of the run's gang has ended or is being stopped.
    static bool hasWholeGang(const Run &run);
    /// True while a worker may have a run of the subtask that the pool does not know.
    bool mayRunUnknown(const SubtaskId &subtask, Millis now) const;
    /// True while the subtask may only be started on the worker of its late start.
    bool isBoundToWorker(const Subtask &subtask, Millis now) const;
    /// Withdraws the runs that were not sent and that their workers may not get any more.
    void withdrawUnstartable(Millis now);
    bool hasRoomElsewhere(const Run &run, Millis now) const;
    bool mayStopLongRunning(const Job &job, int occurrence, int step, int index, Millis now) const;
    QueuedWork queuedWorkOf(const Job &job, int occurrence, Millis age) const;
    std::vector<Ready> readySteps(Millis now, Millis wall);
    std::optional<std::size_t> chooseOrReserve(const Ready &ready, Round &round, Millis now) const;
    void placeStep(const Ready &ready, Round &round, Millis now);
    static std::vector<Candidate> candidatesElsewhere(std::span<const Subtask> subtasks,
                                                      std::span<const Candidate> candidates,
                                                      const Round &round);
    static std::optional<std::size_t> chooseBound(const LateStart &late,
                                                  const StepSpec &step,
                                                  std::span<const Candidate> candidates,
                                                  const Round &round);
    std::optional<std::size_t> chooseForSuspect(
        const Subtask &subtask, const StepSpec &step, std::vector<Candidate> &candidates, Round &round, Millis now) const;
    StartOrder makeStart(Run &run, Millis now);
    /// How many more orders may be sent to the worker now.
    static int freeOrders(const Worker &worker);
    void addStops(Worker &worker, int &room, Millis now, PoolOrders &orders);
    void addPaces(Worker &worker, int &room, PoolOrders &orders);
    void addStarts(Worker &worker, int room, Millis now, PoolOrders &orders);
    bool needsAdvice(Job &job, int occurrence, int step, Millis now);

    std::string m_name;
    std::uint64_t m_fence;
    PoolTimes m_times;
    Millis m_leaseLimit{std::numeric_limits<std::int64_t>::max()};
    std::map<std::string, std::unique_ptr<Job>> m_jobs;
    std::map<std::string, std::unique_ptr<Worker>> m_workers;
    struct BySequence {
        bool operator()(const Job *a, const Job *b) const
        {
            return a->sequence < b->sequence;
        }
    };
    /// Jobs that are not final or still have runs. Their order decides between equal jobs, so it must not depend on addresses.
    std::set<Job *, BySequence> m_active;
    std::uint64_t m_lastSequence = 0;
    ChangedJobs m_changed;
    /// Workers with processed ends that are not committed and so not acknowledged yet.
    std::set<std::string> m_unackedWorkers;
    /// A run that a worker lists but that this pool did not start or has dropped. It is stopped.
    struct UnknownRun {
        std::string workerId;
        SubtaskId subtask;
        int run = 0;
        Millis lastOrderAt;
        Millis listedAt; ///< local boot clock
    };
    std::vector<UnknownRun> m_unknownRuns;
    /// Workers whose loss is recorded as an unconfirmed crash, with the subtasks that have such a record.
    std::map<std::string, std::vector<SubtaskId>> m_unconfirmedCrashes;
    /// Recent losses of workers, by worker id and start of the incarnation.
    std::map<std::pair<std::string, std::int64_t>, WorkerLoss> m_recentLosses;
    /// Subtasks whose job fails in the next scheduling pass.
    std::vector<SubtaskId> m_givenUp;
    bool m_ordersHeldBack = false;
    std::vector<AdviceRequest> m_adviceRequests;
    /// Estimated work of a recently submitted job, in core-milliseconds.
    struct Arrival {
        Millis at;
        std::int64_t work = 0;
    };
    std::deque<Arrival> m_arrivals;
    /// Moving average of measured over estimated subtask duration, by route.
    std::map<std::string, double> m_durationRatio;
};

} // namespace hibiscusbridge::jobs
