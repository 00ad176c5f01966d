// Builds the transaction of a change to VMs: rows, ledgers of the affected pools, audit entry and preconditions.
#include "fleet/changes.hpp"

#include "fleet/budget.hpp"

#include <algorithm>

namespace hibiscusbridge
{

PoolLedger &ChangeSet::ledger(std::string_view pool)
{
    if (const auto it = m_ledgers.find(pool); it != m_ledgers.end()) {
        return it->second;
    }
    const auto held = m_view.ledgers.find(pool);
    auto ledger = held == m_view.ledgers.end() ? PoolLedger{.pool = std::string(pool)} : held->second;
    return m_ledgers.emplace(pool, std::move(ledger)).first->second;
}

void ChangeSet::changeVm(std::string_view vm, const std::optional<VmRow> &after)
{
    const auto it = m_view.vms.find(vm);
    const auto *before = it == m_view.vms.end() ? nullptr : &it->second;
    requireRow(vmPrefix, vm, before ? before->version : 0);
    m_transaction.writes.push_back({std::string(vmPrefix) + std::string(vm), after ? std::optional(encodeVm(*after)) : std::nullopt});
    // A change between active and failed also changes what a decision about the pool counts.
    const bool counted = !before || !after || before->pool != after->pool || isPlannedOut(*before) != isPlannedOut(*after)
                         || (before->state == VmState::Active) != (after->state == VmState::Active);
    if (!counted) {
        return;
    }
    if (before) {
        std::erase(ledger(before->pool).out, vm);
    }
    if (after) {
        auto &out = ledger(after->pool).out;
        std::erase(out, vm);
        if (isPlannedOut(*after)) {
            out.emplace_back(vm);
        }
    }
}

void ChangeSet::claimPool(std::string_view pool)
{
    (void)ledger(pool);
}

void ChangeSet::claimSparePools()
{
    for (const auto &[name, pool] : m_view.document.pools) {
        if (pool.spare) {
            claimPool(name);
        }
    }
}

void ChangeSet::requireDocument()
{
    requireRow(documentVersionKey, {}, m_view.documentVersion);
}

void ChangeSet::requireRow(std::string_view prefix, std::string_view name, std::uint64_t version)
{
    auto key = std::string(prefix) + std::string(name);
    if (std::ranges::find(m_transaction.preconditions, key, &Precondition::key) == m_transaction.preconditions.end()) {
        m_transaction.preconditions.push_back({std::move(key), version});
    }
}

void ChangeSet::audit(const AuditEntry &entry)
{
    addAudit(m_transaction, entry);
}

Transaction ChangeSet::transaction() const
{
    auto transaction = m_transaction;
    for (const auto &[name, ledger] : m_ledgers) {
        transaction.preconditions.push_back({std::string(poolPrefix) + name, ledger.version});
        transaction.writes.push_back({std::string(poolPrefix) + name, encodeLedger(ledger)});
    }
    return transaction;
}

} // namespace hibiscusbridge
