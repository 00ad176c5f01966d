// Names of outcomes and ends, for logs.
#include "ports/workers.hpp"

namespace hibiscusbridge::jobs
{

std::string rackOf(const WorkerRegistration &worker)
{
    return worker.labels.size() > 1 ? worker.labels[1] : std::string();
}

const char *nameOf(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::GangMemberEnded:
        return "broken";
    case RunEnd::GangIncomplete:
        return "alone";
    }
    return "unknown";
}

const char *nameOf(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::StaleRun:
        return "old-run";
    case OrderOutcome::DeadlinePassed:
        return "late";
    case OrderOutcome::NoCapacity:
        return "no-room";
    case OrderOutcome::BadTicket:
        return "bad-ticket";
    case OrderOutcome::Unhealthy:
        return "unhealthy";
    case OrderOutcome::OtherIncarnation:
        return "other-incarnation";
    case OrderOutcome::Rejected:
        return "rejected";
    case OrderOutcome::NotSent:
        return "not-sent";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace hibiscusbridge::jobs
