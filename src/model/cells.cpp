// Division of a large fleet into cells.
#include "model/cells.hpp"

#include "helpers/ids.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

/// VMs of a pool in one cell, on average. Fewer would leave a cell too little room for wide jobs and uneven load.
constexpr std::size_t vmsPerShard = 40;
constexpr std::size_t maxCells = 8;

Cells cellsFor(std::size_t vms, std::size_t pools)
{
    const auto n = vms / (vmsPerShard * std::max<std::size_t>(pools, 1));
    return {static_cast<int>(std::clamp<std::size_t>(n, 1, maxCells))};
}

int cellOf(const Cells &cells, std::string_view id)
{
    return static_cast<int>(stableHash(id) % static_cast<std::uint64_t>(std::max(cells.count, 1)));
}

int longRunningCell(const Cells &cells, std::string_view pool)
{
    return cellOf(cells, pool);
}

std::string shardName(const Cells &cells, std::string_view pool, int cell)
{
    return cells.count <= 1 ? std::string(pool) : std::string(pool) + "/" + std::to_string(cell);
}

} // namespace hibiscusbridge::jobs
