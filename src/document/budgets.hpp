// Checks that the declared VMs can satisfy the pools' availability budgets.
#pragma once

#include "document/problem.hpp"
#include "model/document.hpp"

#include <vector>

namespace hibiscusbridge
{

struct BudgetProblem {
    Severity severity = Severity::Error;
    std::string pool;
    /// Name of the pool's TOML key that the problem refers to.
    std::string key;
    std::string text;
};

/// Checks each pool's budget against its declared VMs, during planned work and after the worst single failure: of a zone
/// for pools with `survivesZone`, otherwise of a rack. Spares outside the failed domain are shared by all affected pools.
std::vector<BudgetProblem> checkBudgets(const Document &document);

} // namespace hibiscusbridge
