// Answers callers: accepts jobs by one conditional write, reads their state, cancels them, counts queued ones.
#pragma once

#include "model/queues.hpp"
#include "ports/store.hpp"
#include "ports/timer.hpp"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>

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
    /// Time that the caller waits for an answer.
    Millis callerTimeout{3'000};
    /// Of a submission, without id, route and policy.
    absl::StatusOr<JobSpec> job = JobSpec{};
};

enum class AnswerKind {
    /// Accepted and stored, or cancelled.
    Done,
    State,
    QueuedCount,
    /// Malformed; nothing has been stored.
    Invalid,
    NoQueue,
    NoJob,
    /// The job is not stored and never runs by this call.
    Refused,
    /// It may have been stored.
    Unknown,
};

struct Answer {
    AnswerKind kind = AnswerKind::Refused;
    JobPhase phase = JobPhase::Queued;
    int queued = 0;
    Millis retryAfter;
    std::string reason;
};

/// Whether a job may be accepted now. `reason` is set when not.
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
        TimerPort timers;
        Clock clock;
        /// Null while no configuration is known.
        std::function<const Configuration *()> configuration;
        /// Queued jobs of a queue as its owner last published; negative when not known.
        std::function<int(const Queue &)> queuedJobs;
        std::function<Admission(const Queue &, const JobSpec &)> admit;
        /// Checked before a call is accepted; the reason when this entry can't serve now.
        std::function<std::string()> unavailable;
    };
    using Done = std::function<void(Answer)>;

    explicit Intake(Ports ports);
    ~Intake();
    Intake(const Intake &) = delete;
    Intake &operator=(const Intake &) = delete;
    void handle(Call call, Done done);
    int inFlight() const
    {
        return m_inFlight;
    }

private:
    struct Attempt {
        std::string pool;
        std::string id;
        std::string value;
        Millis startedAt;
        Millis deadline;
        /// An earlier try got no answer, so the write may still happen.
        bool uncertain = false;
        std::string lastError;
        Done done;
    };

    void submit(const Queue &queue, const std::string &id, Call call, Done done);
    void tryStore(std::shared_ptr<Attempt> attempt);
    void readState(const std::string &pool, const std::string &id, Done done);
    void cancel(std::shared_ptr<Attempt> attempt);
    void tryCancel(std::shared_ptr<Attempt> attempt);
    void retryLater(const std::shared_ptr<Attempt> &attempt, void (Intake::*retry)(std::shared_ptr<Attempt>));

    Ports m_ports;
    int m_inFlight = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge::jobs
