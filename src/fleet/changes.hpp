// Builds the transaction of a change to VMs: rows, ledgers of the affected pools, audit entry and preconditions.
#pragma once

#include "audit/audit.hpp"
#include "model/view.hpp"

#include <optional>

namespace hibiscusbridge
{

/// Collects changes against one view; each row and ledger becomes a precondition.
class ChangeSet
{
public:
    explicit ChangeSet(const View &view)
        : m_view(view)
    {
    }

    /// Replaces or adds the VM's row, or deletes it when `after` is empty. Keeps the ledgers in step.
    void changeVm(std::string_view vm, const std::optional<VmRow> &after);
    /// Writes the ledger even without a change to it, so that another decision about the pool cannot commit as well.
    void claimPool(std::string_view pool);
    void claimSparePools();
    void requireDocument();
    void requireRow(std::string_view prefix, std::string_view name, std::uint64_t version);
    void audit(const AuditEntry &entry);

    Transaction transaction() const;

private:
    PoolLedger &ledger(std::string_view pool);

    const View &m_view;
    Transaction m_transaction;
    std::map<std::string, PoolLedger, std::less<>> m_ledgers;
};

} // namespace hibiscusbridge
