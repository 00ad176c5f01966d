// Audit entries of changes to VMs and waves.
#pragma once

#include "audit/audit.hpp"
#include "fleet/step.hpp"

namespace hibiscusbridge
{

/// Entry about a VM; `before` is null for a new row, `after` for a deleted one.
AuditEntry vmEntry(const FleetInput &input, std::string_view action, const VmRow *before, const VmRow *after, std::string_view reason);

AuditEntry waveEntry(const FleetInput &input, std::string_view action, const Wave &before, const Wave &after);

/// Figures of the pool that a decision about a removal was based on, from before the removal.
std::map<std::string, double> poolFigures(const FleetCount &count, std::string_view pool);

} // namespace hibiscusbridge
