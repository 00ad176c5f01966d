// Audit entries of changes to VMs and waves.
#include "fleet/auditentries.hpp"

#include "helpers/ids.hpp"

#include <spdlog/fmt/fmt.h>

namespace hibiscusbridge
{

static std::string stateText(const VmRow *vm)
{
    return vm ? fmt::format("{} in pool {}", toString(vm->state), vm->pool) : std::string();
}

AuditEntry vmEntry(const FleetInput &input, std::string_view action, const VmRow *before, const VmRow *after, std::string_view reason)
{
    return {
        .id = randomId(),
        .at = input.now,
        .actor = std::string(input.actor),
        .action = std::string(action),
        .subject = "vm/" + (before ? before->id : after->id),
        .reason = std::string(reason),
        .before = stateText(before),
        .after = stateText(after),
    };
}

AuditEntry waveEntry(const FleetInput &input, std::string_view action, const Wave &before, const Wave &after)
{
    return {
        .id = randomId(),
        .at = input.now,
        .actor = std::string(input.actor),
        .action = std::string(action),
        .subject = "wave/" + after.id,
        .reason = after.reason,
        .before = std::string(toString(before.state)),
        .after = std::string(toString(after.state)),
    };
}

std::map<std::string, double> poolFigures(const FleetCount &count, std::string_view pool)
{
    const auto it = count.pools.find(pool);
    if (it == count.pools.end()) {
        return {};
    }
    const auto &[name, figures] = *it;
    return {
        {"healthy", figures.healthy},
        {"minHealthy", figures.budget.minHealthy},
        {"mayLose", figures.budget.mayLose},
        {"planned", figures.planned},
    };
}

} // namespace hibiscusbridge
