// Starting and queueing of requests on own and borrowed slots.
#include "limits/slotmanager.hpp"

#include "helpers/ids.hpp"

#include <algorithm>

namespace hibiscusbridge
{

constexpr Millis sweepInterval{20};
constexpr Millis minRetryAfter{100};
constexpr Millis maxRetryAfter{10'000};

/// Ids start at a hash of the incarnation, so that a message to an earlier process of this entry matches nothing.
SlotManager::SlotManager(std::string id, std::uint64_t incarnation, SlotManagerPorts ports, LimitsSettings settings)
    : m_id(std::move(id))
    , m_incarnation(incarnation)
    , m_ports(std::move(ports))
    , m_settings(settings)
    , m_nextId(stableHash(m_id + '\n' + std::to_string(incarnation)))
{
}

SlotPort SlotManager::port()
{
    return {
        .acquire = [this](SlotDemand demand, SlotPort::Callback done) { acquire(std::move(demand), std::move(done)); },
        .release = [this](const SlotLease &lease, Millis busyTime) { release(lease, busyTime); },
        .retryAfter = [this](const std::string &name) { return retryAfter(name); },
    };
}

Millis SlotManager::now() const
{
    return m_ports.clock.boot();
}

SlotManager::Pool &SlotManager::pool(const std::string &name)
{
    return m_pools.try_emplace(name, m_settings.queueLength).first->second;
}

void SlotManager::applyView(const View &view)
{
    std::vector<std::string> members;
    m_members.clear();
    for (const auto &member : view.members.members) {
        members.push_back(member.id);
        m_members.emplace(member.id, member);
    }
    std::sort(members.begin(), members.end());
    for (auto &[name, target] : m_pools) {
        std::erase_if(target.hints, [&](const auto &hint) { return !m_members.contains(hint.first); });
    }
    const auto self = m_members.find(m_id);
    const bool isMember = self != m_members.end() && self->second.incarnation == m_incarnation;

    // Work on a former owner's slots, lent ones included, ends within a lease, a hold and a margin after the owner has
    // applied the view; the second margin covers the difference of the clocks' rates during this wait.
    const auto wait = m_settings.viewSpread + leaseTime() + m_settings.longestHold + m_settings.leaseMargin * 2;
    const auto at = now();
    // A VM that appears while the member list stays as it is has no former owner.
    const bool sameMembers = m_membersVersion && *m_membersVersion == view.members.version;
    m_membersVersion = view.members.version;
    for (const auto &[id, row] : view.vms) {
        const bool isNew = sameMembers && !m_vms.contains(id);
        auto &vm = m_vms[id];
        vm.pool = row.pool;
        vm.isActive = row.state == VmState::Active;
        vm.share.set(isMember ? slotShare(id, row.slots, members, m_id) : 0, at, isNew ? Millis{} : wait);
    }
    for (auto &[id, vm] : m_vms) {
        if (!view.vms.contains(id)) {
            vm.isActive = false;
            vm.share.set(0, at, wait);
        }
    }
    std::erase_if(m_vms, [&](const auto &it) {
        const auto &vm = it.second;
        return !view.vms.contains(it.first) && vm.share.isEmpty(at) && vm.ownInUse == 0 && vm.lent == 0;
    });
    sweep();
}

std::uint32_t SlotManager::freeOwn(const Vm &vm) const
{
    const auto usable = vm.share.usable(now());
    const auto taken = vm.ownInUse + vm.lent;
    return usable > taken ? usable - taken : 0;
}

std::uint32_t SlotManager::poolSlots(const std::string &name) const
{
    std::uint32_t slots = 0;
    for (const auto &[id, vm] : m_vms) {
        if (vm.pool == name && vm.isActive) {
            const auto usable = vm.share.usable(now());
            slots += usable > vm.lent ? usable - vm.lent : 0;
        }
    }
    for (const auto &[key, lease] : m_borrowed) {
        if (lease.pool == name && lease.until > now()) {
            slots += lease.slots;
        }
    }
    return slots;
}

void SlotManager::acquire(SlotDemand demand, SlotPort::Callback done)
{
    const auto at = now();
    if (demand.deadline > at + m_settings.longestDeadline) {
        done(absl::InvalidArgumentError("deadline is later than the longest deadline allowed"));
        return;
    }
    expireLeases();
    auto &target = pool(demand.pool);
    const auto service = target.queue.serviceTime(at);
    InFlight place;
    if (target.queue.size() == 0 && demand.deadline > at + service && tryStart(demand, place)) {
        start(std::move(place), done);
        return;
    }
    if (!target.queue.admits(at, demand.deadline, poolSlots(demand.pool))) {
        ++m_counters.refused;
        done(absl::ResourceExhaustedError("pool \"" + demand.pool + "\" cannot finish the request before its deadline"));
        return;
    }
    const auto name = demand.pool;
    target.queue.push({std::move(demand), std::move(done)});
    pump(name);
}

/// True when the request may start now; `place` then holds the slot.
bool SlotManager::tryStart(const SlotDemand &demand, InFlight &place)
{
    return m_ports.mayServe() && demand.deadline > now() && findPlace(demand, place);
}

bool SlotManager::findPlace(const SlotDemand &demand, InFlight &place)
{
    const auto isUsable = [&](const std::string &id) {
        const auto it = m_vms.find(id);
        return it != m_vms.end() && it->second.isActive && it->second.pool == demand.pool;
    };
    for (const auto &id : demand.candidates) {
        if (isUsable(id) && freeOwn(m_vms.at(id)) > 0) {
            place = {demand.pool, id, std::nullopt};
            return true;
        }
    }
    for (const auto &[key, lease] : m_borrowed) {
        const bool isCandidate = std::find(demand.candidates.begin(), demand.candidates.end(), lease.vm) != demand.candidates.end();
        // The request ends by its deadline at the latest, so it must end inside the lease.
        if (lease.inUse < lease.slots && demand.deadline <= lease.until && isCandidate && isUsable(lease.vm)) {
            place = {demand.pool, lease.vm, key};
            return true;
        }
    }
    return false;
}

void SlotManager::start(InFlight place, const SlotPort::Callback &done)
{
    if (place.borrowed) {
        ++m_borrowed.at(*place.borrowed).inUse;
    } else {
        ++m_vms.at(place.vm).ownInUse;
    }
    const SlotLease lease{place.vm, m_nextId++};
    m_inFlight.emplace(lease.id, std::move(place));
    ++m_counters.started;
    done(lease);
}

void SlotManager::release(const SlotLease &lease, Millis busyTime)
{
    auto node = m_inFlight.extract(lease.id);
    if (node.empty()) {
        return;
    }
    const auto &place = node.mapped();
    auto &queue = pool(place.pool).queue;
    if (busyTime.count > 0) {
        queue.observe(now(), busyTime);
    }
    const auto hold = lease.mayStillRun ? holdTime(queue) : Millis{};
    if (hold.count == 0) {
        freeSlot(place);
        return;
    }
    ++m_counters.holds;
    m_ports.timers.after(hold, [this, place] { freeSlot(place); });
}

/// Most requests that run on end within the time that most requests need; without an estimate, the longest hold.
Millis SlotManager::holdTime(const PoolQueue &queue) const
{
    const auto usual = queue.finishTime(now());
    return usual.count == 0 ? m_settings.longestHold : std::min(usual, m_settings.longestHold);
}

void SlotManager::freeSlot(const InFlight &place)
{
    if (!place.borrowed) {
        --m_vms.at(place.vm).ownInUse;
    } else if (const auto it = m_borrowed.find(*place.borrowed); it != m_borrowed.end()) {
        --it->second.inUse;
        it->second.idleSince = now();
    }
    pump(std::string(place.pool));
}

void SlotManager::dropLate(Pool &target)
{
    for (auto &late : target.queue.takeLate(now())) {
        ++m_counters.late;
        late.done(absl::DeadlineExceededError("no slot became free in time"));
    }
}

/// Starts what can start, then asks other entries for slots for the rest.
void SlotManager::pump(const std::string &name)
{
    auto &target = pool(name);
    dropLate(target);
    InFlight place;
    const auto canStart = [&](const SlotDemand &demand) {
        return tryStart(demand, place);
    };
    while (auto request = target.queue.takeFirst(canStart)) {
        start(place, request->done);
    }
    if (target.queue.size() > 0 && m_settings.lending) {
        returnIdle();
        borrow(name, target);
    }
    if (target.queue.size() > 0 || !m_borrowed.empty()) {
        wake(sweepInterval);
    }
}

void SlotManager::wake(Millis delay)
{
    if (m_isWakeSet) {
        return;
    }
    m_isWakeSet = true;
    m_ports.timers.after(delay, [this] {
        m_isWakeSet = false;
        sweep();
    });
}

void SlotManager::sweep()
{
    expireLeases();
    for (auto &[name, target] : m_pools) {
        if (target.queue.size() > 0) {
            pump(name);
        }
    }
    returnIdle();
    if (!m_borrowed.empty()) {
        wake(sweepInterval);
    }
}

Millis SlotManager::retryAfter(const std::string &name) const
{
    const auto it = m_pools.find(name);
    const auto wait = it == m_pools.end() ? Millis{} : it->second.queue.expectedWait(poolSlots(name));
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

} // namespace hibiscusbridge
