// Checks that the declared VMs can keep the declared availability budgets.
#pragma once

#include "document/problem.hpp"
#include "model/document.hpp"

#include <vector>

namespace hibiscusbridge
{

struct BudgetProblem {
    Severity severity = Severity::Error;
    std::string pool;
    /// Key of the pool that the problem is about.
    std::string key;
    std::string text;
};

/// Compares each pool's budget with its declared VMs, with planned work alone and with the largest single failure: a
/// zone for pools with `survivesZone`, otherwise a rack. Spares outside the failed part are shared by all pools it hits.
std::vector<BudgetProblem> checkBudgets(const Document &document);

} // namespace hibiscusbridge
