// Workers: what they say of themselves and the orders they take.
#pragma once

#include "helpers/millis.hpp"
#include "jobs/job.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

/// A worker's registration: one incarnation of one VM.
struct WorkerRegistration {
    std::string id;
    std::string service;
    std::string address; ///< IP number and port
    std::string zone;
    std::string vm;
    /// Start of the incarnation, Unix milliseconds.
    std::int64_t incarnationStart = 0;
    bool draining = false;
    Resources capacity;
    /// Kind of the VM and its rack.
    std::vector<std::string> labels;

    bool operator==(const WorkerRegistration &) const = default;
};

/// The label that names the worker's rack; empty when there is none.
std::string rackOf(const WorkerRegistration &worker);

enum class RunEnd {
    Done,
    /// Through its own fault or the worker's.
    Failed,
    Stopped,
    /// The worker's lease ran out.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not come in time.
    GangIncomplete,
};

const char *nameOf(RunEnd end);

struct RunReport {
    SubtaskId subtask;
    int run = 0;
    std::string checkpoint;
    /// A lasting subtask is at work at 100.
    int progressPercent = 0;
    /// For a serving subtask its response-time tail in milliseconds; for others the CPU in use, thousandths of a core.
    std::int64_t metric = 0;
};

struct RunEndReport {
    /// Counts the ends of one incarnation, from 1.
    std::int64_t number = 0;
    SubtaskId subtask;
    int run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

enum class OrderOutcome {
    /// Carried out, or already done.
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run is not higher than one stopped or ended there.
    StaleRun,
    /// Its deadline has passed on the worker's clock.
    DeadlinePassed,
    NoCapacity,
    /// The ticket of the advice service is missing or not valid.
    BadTicket,
    /// Not carried out: the worker considers itself unhealthy.
    Unhealthy,
    /// Not carried out: another incarnation lives at the address.
    OtherIncarnation,
    /// Not carried out: malformed or unknown to the worker.
    Rejected,
    NotSent,
    /// No answer; the order may have been or may yet be carried out.
    Unknown,
};

const char *nameOf(OrderOutcome outcome);

struct OrderResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// The worker's steady clock at its answer; 0 when not told.
    Millis workerClock;
    std::string error;
};

struct WorkerAddress {
    std::string id;
    std::string address;
};

/// Checked right before the first byte of an order leaves.
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

struct RenewOrder {
    WorkerAddress worker;
    std::uint64_t fence = 0;
    /// Ends up to this number are forgotten by the worker.
    std::int64_t ackCursor = 0;
    /// New deadline of everything that runs there, on the worker's clock; 0 leaves it as it is.
    Millis deadline;
    /// The answer waits this long for an end.
    Millis wait;
};

struct RenewResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    Millis workerClock;
    std::int64_t incarnationStart = 0; ///< 0 when not told
    std::vector<RunReport> running;
    std::vector<RunEndReport> ended;
    std::string error;
};

/// Each callback runs exactly once, never from within the call.
struct WorkerPort {
    std::function<void(RenewOrder, Millis timeout, MaySend, std::function<void(RenewResult)>)> renew;
    std::function<void(StartOrder, Millis timeout, MaySend, std::function<void(OrderResult)>)> start;
    std::function<void(StopOrder, Millis timeout, MaySend, std::function<void(OrderResult)>)> stop;
    std::function<void(ThrottleOrder, Millis timeout, MaySend, std::function<void(OrderResult)>)> throttle;
};

/// A worker that the advice service allows to run a step.
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
