// Division of a large fleet into cells. Each VM and each job belongs to one cell for good; a pool has one shard for each cell,
// whose owner runs the cell's jobs on the cell's VMs. So the work of a pool that is too large for one entry is shared by several
// that need not agree on anything.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hibiscusbridge::jobs
{

struct Cells {
    /// 0 until it is known.
    int count = 0;

    bool operator==(const Cells &) const = default;
};

/// Number of cells for a fleet of this many VMs and pools with a queue. Decided once, when the system first starts.
Cells cellsFor(std::size_t vms, std::size_t pools);

/// Cell of a VM or of a job that ends, from 0. The number of cells must be known.
int cellOf(const Cells &cells, std::string_view id);

/// Cell of the pool's long-running jobs. They share one cell, since each cell that runs any of them needs as many VMs as the widest
/// one has subtasks that must be kept apart.
int longRunningCell(const Cells &cells, std::string_view pool);

/// Name of a pool's shard; the name of the pool if there is only one cell.
std::string shardName(const Cells &cells, std::string_view pool, int cell);

} // namespace hibiscusbridge::jobs
