// One pool's jobs and workers: what runs where, what may run next, and what has to be recorded first.
//
// The pool does no input or output. Its owner feeds it with jobs, workers and their lists, records what `takeRecords`
// gives and only then carries out the starts that `recorded` returns, so that a successor finds every start in the store.
#pragma once

#include "jobs/job.hpp"
#include "ports/workers.hpp"
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
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

struct PoolTimes {
    /// Length of the lease that each hold and start gives to everything on a worker.
    Millis lease{5'000};
    /// Longest time after a take-over in which a former owner may have extended leases of workers that we can't reach.
    Millis previousOwnerLease{7'500};
    /// Stops and unanswered starts are sent again after this time.
    Millis resendInterval{400};
    /// New work stays away from a worker for this long after it refused some.
    Millis refusalBackoff{1'000};
    /// A lasting subtask counts as at work after being listed so for this long; lists round its progress.
    Millis availabilityDelay{500};
};

enum class RunPhase {
    /// Not in the store yet.
    Placed,
    /// Part of a transaction in flight.
    Committing,
    /// Recorded; the worker has not confirmed it.
    Starting,
    Running,
    /// Recorded by a former owner; the worker has not answered us yet.
    Inherited,
};

struct Job;
struct Worker;

/// A start of a subtask that may be on its worker.
struct Run {
    Job *job = nullptr;
    Worker *worker = nullptr;
    int occurrence = 0;
    int step = 0;
    int index = 0;
    int number = 0;
    std::int64_t born = 0; ///< incarnation of the worker that it was meant for
    RunPhase phase = RunPhase::Placed;
    bool stopWanted = false;
    bool stopAccepted = false;
    /// An order is on its way.
    bool orderInFlight = false;
    Millis placedAt;
    Millis confirmedAt;
    Millis lastOrderAt;
    Millis lastStopAt;
    /// Starts sent, answered or not.
    int attempts = 0;
    /// Fencing token of the last start.
    std::uint64_t startFence = 0;
    /// No start is on its way or may be carried out.
    bool unsent = true;
    /// Lists in a row that did not show it although it should be there.
    int missedLists = 0;
    int progressPercent = 0;
    std::int64_t figure = 0;
    int pacePercent = 100;
    int targetPacePercent = 100;
    Resources reserved;
};

struct Subtask {
    bool done = false;
    std::vector<int> failedRuns;
    int lastRun = 0;
    std::string checkpoint;
    std::vector<std::unique_ptr<Run>> runs;
    /// When a lasting subtask stopped being at work; 0 while it is.
    Millis unavailableSince;
    /// When it was first listed as being at work after it was away.
    Millis availableSince;
    /// Not started again before this time.
    Millis retryAt;
};

struct Job {
    JobSpec spec;
    JobPhase phase = JobPhase::Queued;
    Millis endedAt;
    /// Boot clock: when the job was submitted.
    Millis submittedAt;
    bool cancelled = false;
    std::vector<std::vector<std::vector<Subtask>>> occurrences;
    /// Subtasks that are not done, by occurrence and step.
    std::vector<std::vector<int>> openSubtasks;
    int runCount = 0;
    /// Workers and tickets that the advice service allowed, by occurrence * steps + step.
    struct Advice {
        std::map<std::string, std::string> tickets;
        Millis validUntil;
        Millis requestedAt;
        bool requestInFlight = false;
    };
    std::map<int, Advice> advice;
};

/// One incarnation after the other of the worker with this id.
struct Worker {
    WorkerRegistration entry;
    /// Still registered in the store.
    bool registered = false;
    /// Has answered a hold under our fencing token in its present incarnation.
    bool synced = false;
    Millis clockAtAnswer; ///< the worker's clock
    Millis answeredAt; ///< our boot clock
    Millis listedAt; ///< our boot clock: its last list, which also tells its incarnation
    Millis leaseExpiry; ///< our boot clock: everything there has ended by then unless the lease is extended
    Millis backoffUntil;
    std::int64_t lastProcessedEnd = 0; ///< highest end number processed
    std::int64_t ackCursor = 0; ///< ends up to here are recorded
    std::int64_t ackInFlight = 0;
    std::int64_t born = 0; ///< incarnation that answered last, Unix milliseconds
    /// Holds and starts in a row without an answer.
    int misses = 0;
    /// Raises our fencing token at this worker, so that earlier orders of ours without an answer can't be carried out any more.
    std::uint64_t epoch = 0;
    /// Runs in a row that failed there.
    int failuresInARow = 0;
    /// The fleet asks to empty the worker; asked again while it lasts.
    Millis cordonedUntil;
    std::vector<Run *> runs;
    Resources used;
};

/// What the owner carries out after a commit.
struct PoolOrders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<ThrottleOrder> paces;
};

/// A request for the advice service.
struct AdviceRequest {
    SubtaskId step; ///< index 0
    std::vector<std::string> workers;
};

struct JobRow {
    std::string id;
    std::string value;
};

class Pool
{
public:
    Pool(std::string name, std::uint64_t fence, PoolTimes times);

    // Inputs.
    /// Adds a job with what was recorded of it. Returns false when it is known already.
    bool addJob(const JobSpec &spec, const std::optional<JobRecord> &record, Millis now, Millis wall);
    void cancelJob(const std::string &id, Millis now, Millis wall);
    /// All registered workers of the pool.
    void setWorkers(const std::vector<WorkerRegistration> &entries, Millis now);
    /// Workers that have certainly ended, with everything that ran on them.
    void endWorkers(const std::set<std::string> &ids, Millis now);
    /// The answer to a hold that was sent at `sentAt` with this fencing token.
    void onHold(const std::string &workerId, std::uint64_t holdFence, const RenewResult &result, Millis sentAt, Millis now, Millis wall);
    void onHoldSent(const std::string &workerId, Millis now);
    void onStart(const StartOrder &order, const OrderResult &result, Millis now);
    void onStop(const StopOrder &order, const OrderResult &result, Millis now);
    void onPace(const ThrottleOrder &order, const OrderResult &result);
    void onAdvice(const AdviceRequest &request, const AdviceResult &result, Millis now);
    /// Keeps the VMs empty until asked otherwise or `until`.
    void cordonVms(const std::set<std::string> &vms, Millis until);

    /// Boot clock: no lease of a worker is extended beyond this.
    void setLeaseLimit(Millis limit)
    {
        m_leaseLimit = limit;
    }

    // Decisions.
    /// `mayMove` allows stops of subtasks at work; it is false while another owner may have taken over.
    void schedule(Millis now, Millis wall, bool mayMove);
    /// Rows to record now, at most `limit`; their runs are recording until `recorded` or `onCommitFailed`.
    std::vector<JobRow> takeRecords(std::size_t limit);
    /// The rows of the last `takeRecords` are in the store. Returns the starts to carry out.
    PoolOrders onRecordsCommitted(Millis now);
    void onCommitFailed();
    /// Stops, unanswered starts and paces that are due.
    PoolOrders dueOrders(Millis now);
    std::optional<AdviceRequest> nextAdviceRequest(Millis now);
    /// Forgets final jobs that ended before the wall-clock time and returns their ids.
    std::vector<std::string> takeExpired(Millis endedBefore, std::size_t limit);

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
    /// Our present fencing token at a worker; 0 for one that is not known.
    std::uint64_t fenceAt(const std::string &workerId) const;
    const PoolTimes &times() const
    {
        return m_times;
    }
    bool hasUnsavedChanges() const
    {
        return !m_dirty.empty() || !m_unackedWorkers.empty();
    }
    /// The deadline that a hold or start sent now may carry; 0 when the worker's clock is not known.
    Millis deadlineFor(const Worker &worker, Millis now) const;
    /// True when the worker answers and may get work.
    bool isReachable(const Worker &worker) const;
    /// For the owner of the fleet.
    PoolReport report(Millis now) const;
    PublishedLoad load(Millis now) const;
    /// Highest ratio of measured to estimated durations of any route.
    double highestDurationRatio() const;

private:
    struct Ready;
    struct Round;

    Millis leaseLength(Millis now) const;
    double durationRatio(const JobSpec &spec) const;
    std::int64_t remainingWork(const Job &job) const;
    Subtask &subtaskOf(const Run &run) const;
    static const StepSpec &stepOf(const Run &run);
    void markDirty(Job &job);
    Run &addRun(Job &job, int occurrence, int step, int index, int number, Worker &worker);
    /// Removes a run that is certainly not on its worker any more.
    void dropRun(Run &run, Millis now, const char *reason);
    Run *findRun(Worker &worker, const SubtaskId &subtask, int number) const;
    void onEnd(Worker &worker, const RunEndReport &end, Millis now, Millis wall);
    void finishSubtask(Job &job, int occurrence, int step, int index, Millis now, Millis wall);
    void finishJob(Job &job, JobPhase phase, Millis now, Millis wall, const char *reason);
    void stopRuns(Job &job, Millis now);
    void onRestarted(Worker &worker, const RenewResult &result, Millis now);
    void dropExpiredRuns(Millis now);
    void evictLongRunning(Millis now);
    void adjustPace();
    bool isUsable(const Worker &worker, Millis now) const;
    Candidate candidateOf(const Worker &worker, Millis now) const;
    static int siblingsOn(const Worker &worker, const Job &job, int occurrence, int step);
    bool hasRoomElsewhere(const Run &run, Millis now) const;
    bool mayStopLongRunning(const Job &job, int occurrence, int step, int index, Millis now) const;
    QueuedWork queuedWorkOf(const Job &job, int occurrence, Millis age) const;
    std::vector<Ready> readySteps(Millis now, Millis wall);
    std::optional<std::size_t> chooseOrReserve(const Ready &ready, Round &round, Millis now) const;
    void placeStep(const Ready &ready, Round &round, Millis now);
    StartOrder makeStart(Run &run, Millis now);
    bool needsAdvice(Job &job, int occurrence, int step, Millis now);

    std::string m_name;
    std::uint64_t m_fence;
    PoolTimes m_times;
    Millis m_leaseLimit{std::numeric_limits<std::int64_t>::max()};
    std::map<std::string, std::unique_ptr<Job>> m_jobs;
    std::map<std::string, std::unique_ptr<Worker>> m_workers;
    /// Jobs that are not final or still have runs.
    std::set<Job *> m_active;
    /// Jobs whose record differs from the store.
    std::set<std::string> m_dirty;
    std::set<std::string> m_committing;
    /// Workers with processed ends that are not recorded as such.
    std::set<std::string> m_unackedWorkers;
    /// Runs that a worker lists and that we never started or have given up; they are stopped.
    struct UnknownRun {
        std::string workerId;
        SubtaskId subtask;
        int run = 0;
        Millis lastOrderAt;
    };
    std::vector<UnknownRun> m_unknownRuns;
    std::vector<AdviceRequest> m_adviceRequests;
    /// Work of the jobs that came in of late, by the time they came.
    struct Arrival {
        Millis at;
        std::int64_t work = 0;
    };
    std::deque<Arrival> m_arrivals;
    /// Measured durations of subtasks over their estimates, by route.
    std::map<std::string, double> m_durationRatio;
};

} // namespace hibiscusbridge::jobs
