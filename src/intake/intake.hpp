// Serves the callers' job requests: submits jobs with a conditional write each, reads their state, cancels them and reports queue
// lengths.
#pragma once

#include "intake/submissionwriter.hpp"
#include "model/queues.hpp"
#include "ports/store.hpp"
#include "ports/timer.hpp"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

enum class CallKind {
    Submit,
    Read,
    Cancel,
};

struct Call {
    CallKind kind = CallKind::Read;
    std::string host;
    std::string path;
    /// Time for which the caller waits for the response.
    Millis callerTimeout{3'000};
    /// The submitted job without id, route and policy; only used by `Submit`.
    absl::StatusOr<JobSpec> job = JobSpec{};
};

enum class AnswerKind {
    /// The job has been accepted and stored, or its cancellation has been stored.
    Done,
    State,
    QueuedCount,
    /// The submission is malformed; nothing has been stored.
    Invalid,
    NoQueue,
    NoJob,
    /// The request had no effect: the job has not been stored and will not run because of this call.
    Refused,
    /// The store did not confirm the write; it may or may not take effect.
    Unknown,
};

struct Answer {
    AnswerKind kind = AnswerKind::Refused;
    JobPhase phase = JobPhase::Queued;
    int queued = 0;
    Millis retryAfter;
    std::string reason;
};

/// Result of admission control. `reason` is set if the job is not accepted.
struct Admission {
    bool accepted = true;
    Millis retryAfter;
    std::string reason;
};

class Intake
{
public:
    struct Ports {
        StorePort store;
        StoreLimits limits;
        TimerPort timers;
        Clock clock;
        /// Returns null until a configuration has been loaded.
        std::function<const Configuration *()> configuration;
        /// Number of queued jobs as last published by the owner of the queue's pool; negative if unknown.
        std::function<int(const Queue &)> queuedJobs;
        std::function<Admission(const Queue &, const JobSpec &)> admit;
        /// Shards of the pool to which a job of this id may belong: the shard of jobs that end, then the shard of long-running jobs.
        /// Empty if the division of the fleet is not known yet.
        std::function<std::vector<std::string>(const std::string &pool, const std::string &job)> shardsOf;
        /// The pools that jobs of the queue were accepted for, the queue's present pool first.
        std::function<std::vector<std::string>(const Queue &)> poolsOf = [](const Queue &queue) {
            return std::vector<std::string>{queue.pool};
        };
        /// False while a pool may be missing from `poolsOf`.
        std::function<bool()> knowsPools = [] {
            return true;
        };
        /// Stores that jobs of the queue are accepted for its present pool; false if that has failed.
        std::function<void(const Queue &, std::function<void(bool)> done)> recordPool = [](const Queue &,
                                                                                           const std::function<void(bool)> &done) {
            done(true);
        };
        /// Returns the reason why this entry cannot serve calls at present, or an empty string if it can.
        std::function<std::string()> unavailable;
    };
    using Done = std::function<void(Answer)>;

    explicit Intake(Ports ports);
    ~Intake();
    Intake(const Intake &) = delete;
    Intake &operator=(const Intake &) = delete;
    void handle(Call call, Done done);
    /// Answers every call by `end` (boot clock), and refuses calls at once for which less than `minCallTime` is left until then.
    void stopBy(Millis end);
    std::size_t inFlight() const
    {
        return m_calls.size();
    }

private:
    /// A call that waits for the store. Answered once; nothing is sent to the store for it afterwards.
    struct OpenCall {
        std::string id;
        SubmissionWritePtr write; ///< null until the call writes
        Done done; ///< null once the call has been answered
    };
    using OpenCallPtr = std::shared_ptr<OpenCall>;

    /// A cancellation that looks for its job.
    struct Attempt {
        /// All shards that may have the job.
        std::vector<std::string> shards;
        /// Index of the shard that is read next.
        std::size_t next = 0;
        /// Shards that were read and have no row of the job.
        std::vector<std::string> emptyShards;
        /// A tombstone shows that the job is stored in a shard that was not read.
        bool storedElsewhere = false;
        Millis deadline;
        OpenCallPtr call;
    };

    /// The shards to which a job of the queue may belong, by pool, the present one first.
    std::vector<std::vector<std::string>> shardsOf(const Queue &queue, const std::string &id) const;
    /// Checks the job and stores it once its queue's pool is recorded.
    void submit(const Queue &queue, Call call, const OpenCallPtr &open);
    void store(const Queue &queue, JobSpec spec, Millis deadline, const OpenCallPtr &open);
    /// Answers that no shard has the job, unless it may be stored in a pool that this entry does not know yet.
    void answerNoJob(const OpenCallPtr &call, bool storedElsewhere);
    /// Latest time (boot clock) at which a call with this timeout is answered.
    Millis answerDeadline(Millis callerTimeout) const;
    void answer(const OpenCallPtr &call, Answer answer);
    void answerOpenCalls();
    /// Reads the job's state from the first of the shards that has it.
    void readState(std::vector<std::string> shards, const OpenCallPtr &call, bool storedElsewhere = false);
    void cancel(std::shared_ptr<Attempt> attempt);
    void storeCancellation(const std::shared_ptr<Attempt> &attempt, const std::string &shard);
    /// Cancels a job that is not stored: its submission may still be under way, and must not be stored later.
    void storeTombstones(const std::shared_ptr<Attempt> &attempt);
    void answerNotCancelled(const OpenCallPtr &call, const WriteResult &result);
    void retryLater(const std::shared_ptr<Attempt> &attempt, void (Intake::*retry)(std::shared_ptr<Attempt>));

    Ports m_ports;
    SubmissionWriter m_writer;
    std::set<OpenCallPtr> m_calls;
    /// Boot clock: when the entry stops answering calls.
    std::optional<Millis> m_stopsAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge::jobs
