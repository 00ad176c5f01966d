// Lending of idle slots between entries.
#include "helpers/ids.hpp"
#include "limits/slotmanager.hpp"

#include <algorithm>

namespace hibiscusbridge
{

/// An ask without an answer no longer counts as pending after this time; its grants are still accepted.
constexpr Millis answerTimeout{50};
/// Grants for an older ask are returned unused.
constexpr Millis askLifetime{2000};
/// A borrowed slot idle for this long is returned.
constexpr Millis idleReturnTime{50};
/// Time before a peer that lent nothing is asked again; doubled up to the maximum.
constexpr Millis minBackoff{50};
constexpr Millis maxBackoff{800};
constexpr std::uint32_t maxSlotsPerAsk = 8;
constexpr std::size_t maxPendingAsks = 2;
/// Idle slots of a pool that a lender keeps for its own next request.
constexpr std::uint32_t reserveSlots = 1;

Millis SlotManager::leaseTime() const
{
    return m_settings.longestDeadline + m_settings.leaseExtra;
}

void SlotManager::expireLeases()
{
    const auto at = now();
    for (auto it = m_lent.begin(); it != m_lent.end();) {
        if (it->second.until > at) {
            ++it;
            continue;
        }
        m_vms.at(it->second.vm).lent -= it->second.slots;
        it = m_lent.erase(it);
    }
    std::erase_if(m_borrowed,
                  [&](const auto &it) { return it.second.until + (it.second.inUse > 0 ? m_settings.longestHold : Millis{}) <= at; });
    std::erase_if(m_asks, [&](const auto &it) { return it.second.sentAt + askLifetime <= at; });
}

std::uint32_t SlotManager::idleOwn(const std::string &poolName) const
{
    std::uint32_t idle = 0;
    for (const auto &[id, vm] : m_vms) {
        if (vm.pool == poolName && vm.isActive) {
            idle += freeOwn(vm);
        }
    }
    return idle > reserveSlots ? idle - reserveSlots : 0;
}

void SlotManager::deny(Hint &hint) const
{
    hint.idle = 0;
    hint.backoff = std::clamp(hint.backoff * 2, minBackoff, maxBackoff);
    hint.notBefore = now() + hint.backoff;
}

/// Asks the peers with the most idle slots first, few at a time, for as many slots as requests wait.
void SlotManager::borrow(const std::string &poolName, Pool &target)
{
    const auto at = now();
    std::size_t pending = 0;
    std::set<std::string> asked;
    for (const auto &[id, it] : m_asks) {
        if (it.pool == poolName && !it.isAnswered && it.sentAt + answerTimeout > at) {
            ++pending;
            asked.insert(it.lender);
        }
    }
    std::vector<const Member *> peers;
    for (const auto &[id, member] : m_members) {
        if (id != m_id && !asked.contains(id) && target.hints[id].notBefore <= at) {
            peers.push_back(&member);
        }
    }
    // Peers with equal hints are asked in an order that differs between asks, so that no peer is asked by everyone.
    const auto order = [&](const Member *peer) {
        return std::make_pair(target.hints[peer->id].idle, stableHash(peer->id + std::to_string(m_nextId)));
    };
    std::stable_sort(peers.begin(), peers.end(), [&](auto a, auto b) { return order(a) > order(b); });
    const auto wanted = static_cast<std::uint32_t>(std::min<std::size_t>(target.queue.size(), maxSlotsPerAsk));
    for (const auto *peer : peers) {
        if (pending++ >= maxPendingAsks) {
            return;
        }
        ask(poolName, *peer, wanted);
    }
}

void SlotManager::ask(const std::string &poolName, const Member &lender, std::uint32_t slots)
{
    const auto id = m_nextId++;
    const auto at = now();
    m_asks.emplace(id, Ask{lender.id, poolName, at});
    auto &hint = m_pools.at(poolName).hints[lender.id];
    // Without an answer the peer is not asked again at once; a grant clears this.
    deny(hint);
    wire::Envelope message;
    auto *request = message.mutable_slot_request();
    request->set_pool(poolName);
    request->set_slots(slots);
    request->set_request_id(id);
    send(lender.id, std::move(message));
}

void SlotManager::receive(const wire::Envelope &message)
{
    expireLeases();
    if (message.body_case() == wire::Envelope::kSlotReturn) {
        onReturn(message);
        return;
    }
    const auto it = m_members.find(message.sender());
    if (it == m_members.end() || it->second.incarnation != message.incarnation()) {
        ++m_counters.messagesIgnored;
        return;
    }
    if (message.body_case() == wire::Envelope::kSlotRequest) {
        onRequest(it->second, message.slot_request());
    } else if (message.body_case() == wire::Envelope::kSlotGrant) {
        onGrant(it->second, message.slot_grant());
    }
}

void SlotManager::onRequest(const Member &from, const wire::SlotRequest &request)
{
    const auto known = m_pools.find(request.pool());
    const bool isBusy = known != m_pools.end() && known->second.queue.size() > 0;
    auto left = isBusy || !m_settings.lending || !m_ports.mayServe() ? 0 : idleOwn(request.pool());
    auto wanted = std::min(request.slots(), left);
    const auto answer = [&](const std::string &vm, std::uint32_t slots, std::uint64_t leaseId) {
        wire::Envelope message;
        auto *grant = message.mutable_slot_grant();
        grant->set_vm(vm);
        grant->set_slots(slots);
        grant->set_lease_ms(slots > 0 ? leaseTime().count : 0);
        grant->set_lease_id(leaseId);
        grant->set_request_id(request.request_id());
        grant->set_idle_left(left);
        send(from.id, std::move(message));
    };
    if (known != m_pools.end()) {
        known->second.hints[from.id].idle = 0; // A peer that asks has no idle slot.
    }
    if (wanted == 0) {
        answer("", 0, 0);
        return;
    }
    for (auto &[id, vm] : m_vms) {
        const auto slots = vm.pool == request.pool() && vm.isActive ? std::min(freeOwn(vm), wanted) : 0;
        if (slots == 0) {
            continue;
        }
        const auto leaseId = m_nextId++;
        m_lent.emplace(leaseId,
                       Lent{id, from.id, from.incarnation, slots, now() + leaseTime() + m_settings.longestHold + m_settings.leaseMargin});
        vm.lent += slots;
        wanted -= slots;
        left -= slots;
        ++m_counters.leasesLent;
        answer(id, slots, leaseId);
    }
}

void SlotManager::onGrant(const Member &from, const wire::SlotGrant &grant)
{
    const auto it = m_asks.find(grant.request_id());
    const bool isKnown = it != m_asks.end() && it->second.lender == from.id;
    if (isKnown) {
        it->second.isAnswered = true;
    }
    if (grant.slots() == 0) {
        return; // The hint has been set to its backoff when the request was sent.
    }
    const LeaseKey key{from.id, grant.lease_id()};
    if (!isKnown) {
        ++m_counters.messagesIgnored;
        // A duplicate for a lease still held must not return that lease.
        if (!m_borrowed.contains(key)) {
            sendReturn(from.id, grant.vm(), grant.lease_id());
        }
        return;
    }
    auto &asked = it->second;
    if (!asked.leases.insert(grant.lease_id()).second) {
        return;
    }
    auto &hint = m_pools.at(asked.pool).hints[from.id];
    hint = {grant.idle_left(), {}, {}};
    const auto until = asked.sentAt + Millis{grant.lease_ms()};
    m_borrowed.emplace(key, Borrowed{grant.vm(), asked.pool, grant.slots(), 0, until, now()});
    ++m_counters.leasesBorrowed;
    pump(std::string(asked.pool));
}

void SlotManager::onReturn(const wire::Envelope &message)
{
    const auto it = m_lent.find(message.slot_return().lease_id());
    if (it == m_lent.end() || it->second.borrower != message.sender() || it->second.incarnation != message.incarnation()) {
        ++m_counters.messagesIgnored;
        return;
    }
    auto &vm = m_vms.at(it->second.vm);
    vm.lent -= it->second.slots;
    m_lent.erase(it);
    pump(std::string(vm.pool));
}

/// Returns leases that have been idle for a while, and at once those that no waiting request fits into.
void SlotManager::returnIdle()
{
    const auto at = now();
    for (auto it = m_borrowed.begin(); it != m_borrowed.end();) {
        const auto &lease = it->second;
        const bool isUseless = pool(lease.pool).queue.size() > 0;
        if (lease.inUse > 0 || (!isUseless && lease.idleSince + idleReturnTime > at)) {
            ++it;
            continue;
        }
        sendReturn(it->first.lender, lease.vm, it->first.id);
        it = m_borrowed.erase(it);
    }
}

void SlotManager::sendReturn(const std::string &lender, const std::string &vm, std::uint64_t leaseId)
{
    wire::Envelope message;
    message.mutable_slot_return()->set_vm(vm);
    message.mutable_slot_return()->set_lease_id(leaseId);
    send(lender, std::move(message));
}

void SlotManager::send(const std::string &to, wire::Envelope message)
{
    const auto it = m_members.find(to);
    if (it == m_members.end()) {
        return;
    }
    message.set_sender(m_id);
    message.set_incarnation(m_incarnation);
    m_ports.peers.send(it->second.address, message);
}

} // namespace hibiscusbridge
