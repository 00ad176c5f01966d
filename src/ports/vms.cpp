// Names of outcomes, for logs.
#include "ports/vms.hpp"

namespace hibiscusbridge::jobs
{

const char *nameOf(VmActionOutcome outcome)
{
    switch (outcome) {
    case VmActionOutcome::Accepted:
        return "accepted";
    case VmActionOutcome::Fenced:
        return "fenced";
    case VmActionOutcome::Busy:
        return "busy";
    case VmActionOutcome::NotInWave:
        return "not-of-wave";
    case VmActionOutcome::Rejected:
        return "rejected";
    case VmActionOutcome::Refused:
        return "refused";
    case VmActionOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace hibiscusbridge::jobs
