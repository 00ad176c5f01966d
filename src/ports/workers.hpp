// Interface to workers: registrations, reported runs and orders.
#pragma once

#include "helpers/millis.hpp"
#include "jobs/job.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

/// Registration of one worker incarnation on a VM.
struct WorkerRegistration {
    std::string id;
    std::string service;
    std::string address; ///< IP address and port
    std::string zone;
    std::string vm;
    /// Unix milliseconds; identifies the incarnation.
    std::int64_t incarnationStart = 0;
    bool draining = false;
    Resources capacity;
    /// VM type, then rack.
    std::vector<std::string> labels;

    bool operator==(const WorkerRegistration &) const = default;
};

/// Returns the worker's rack label; empty if it has none.
std::string rackOf(const WorkerRegistration &worker);

enum class RunEnd {
    Done,
    /// Failed because of the subtask or the worker.
    Failed,
    Stopped,
    /// The lease on the worker expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    GangIncomplete,
};

const char *nameOf(RunEnd end);

struct RunReport {
    SubtaskId subtask;
    int run = 0;
    std::string checkpoint;
    /// A long-running subtask reports 100 once it is running.
    int progressPercent = 0;
    /// Tail latency in milliseconds for a serving subtask; otherwise CPU usage in millicores.
    std::int64_t metric = 0;
};

struct RunEndReport {
    /// Sequence number within the incarnation, starting at 1.
    std::int64_t number = 0;
    SubtaskId subtask;
    int run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

enum class OrderOutcome {
    /// Carried out, or already in effect.
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run number is not higher than that of a run already stopped or ended on the worker.
    StaleRun,
    /// The deadline has passed on the worker's clock.
    DeadlinePassed,
    NoCapacity,
    /// The ticket from the advice service is missing or invalid.
    BadTicket,
    /// Not carried out: the worker considers itself unhealthy.
    Unhealthy,
    /// Not carried out: the address belongs to another incarnation.
    OtherIncarnation,
    /// Not carried out: malformed or unknown to the worker.
    Rejected,
    NotSent,
    /// No response; the order may have been carried out or may still be.
    Unknown,
};

const char *nameOf(OrderOutcome outcome);

struct OrderResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// The worker's monotonic clock when it responded; 0 if not reported.
    Millis workerClock;
    std::string error;
};

struct WorkerAddress {
    std::string id;
    std::string address;
};

/// Checked immediately before the first byte of an order is sent; false cancels the order.
using MaySend = std::function<bool()>;

struct StartOrder {
    WorkerAddress worker;
    SubtaskId subtask;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    Millis deadline; ///< on the worker's clock
    std::uint64_t fence = 0;
};

struct StopOrder {
    WorkerAddress worker;
    SubtaskId subtask;
    int run = 0;
    std::uint64_t fence = 0;
};

struct ThrottleOrder {
    WorkerAddress worker;
    SubtaskId subtask;
    int run = 0;
    int percent = 100;
    std::uint64_t fence = 0;
};

/// Renews the leases of all runs on a worker and long-polls for ended runs.
struct RenewOrder {
    WorkerAddress worker;
    std::uint64_t fence = 0;
    /// Acknowledges ends up to this number; the worker discards them.
    std::int64_t ackCursor = 0;
    /// New deadline, on the worker's clock, of all runs on the worker; 0 leaves it unchanged.
    Millis deadline;
    /// Long-poll time: how long the worker waits for a run to end before it responds.
    Millis wait;
};

struct RenewResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    Millis workerClock;
    std::int64_t incarnationStart = 0; ///< 0 if not reported
    std::vector<RunReport> running;
    std::vector<RunEndReport> ended;
    /// `ended` may be only the oldest ends that are not acknowledged; a run that is in neither list may have ended too.
    bool moreEnded = false;
    std::string error;
};

/// Each callback runs exactly once, and never from within the call.
struct WorkerPort {
    std::function<void(RenewOrder, Millis timeout, MaySend, std::function<void(RenewResult)>)> renew;
    std::function<void(StartOrder, Millis timeout, MaySend, std::function<void(OrderResult)>)> start;
    std::function<void(StopOrder, Millis timeout, MaySend, std::function<void(OrderResult)>)> stop;
    std::function<void(ThrottleOrder, Millis timeout, MaySend, std::function<void(OrderResult)>)> throttle;
};

/// A worker that the advice service has approved for a step.
struct AdvisedWorker {
    std::string id;
    std::string ticket;
};

struct AdviceResult {
    bool answered = false;
    std::vector<AdvisedWorker> workers;
    Millis validFor;
    std::string error;
};

struct AdvicePort {
    std::function<void(SubtaskId step, std::vector<std::string> workers, Millis timeout, std::function<void(AdviceResult)>)> query;
};

} // namespace hibiscusbridge::jobs
