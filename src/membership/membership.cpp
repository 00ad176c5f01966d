// Timers and platform calls of the membership.
#include "membership/membership.hpp"

#include "helpers/log.hpp"

#include <algorithm>
#include <set>

namespace hibiscusbridge
{

Membership::Membership(Member self, std::vector<std::string> seeds, Ports ports, ViewManager &views)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_ports(std::move(ports))
    , m_views(views)
    , m_peers{.self = m_self.id, .incarnation = m_self.incarnation, .address = m_self.address}
{
}

template<typename Fn>
auto Membership::guarded(Fn fn)
{
    return [alive = std::weak_ptr(m_alive), fn = std::move(fn)](auto &&...args) {
        if (!alive.expired()) {
            fn(std::forward<decltype(args)>(args)...);
        }
    };
}

void Membership::after(Millis delay, std::function<void()> step)
{
    m_ports.timers.after(delay, guarded(std::move(step)));
}

void Membership::start()
{
    m_views.onChange(guarded([this] { confirmMembers(); }));
    repeatHeartbeats();
    renewRegistration();
    checkMembers();
}

void Membership::setInFlightSource(std::function<std::vector<wire::VmInFlight>()> source)
{
    m_inFlight = std::move(source);
}

ServingDecision Membership::serving() const
{
    if (m_isSuperseded) {
        return {.isSuperseded = true};
    }
    const auto now = m_ports.clock.boot();
    // A drain waits for registered entries; one that never registered serves only while a majority hears it.
    return m_wasRegistered ? servingDecision(m_views.view(), m_peers, m_views.lastRead(), now)
                           : majorityDecision(m_views.view(), m_peers, now);
}

void Membership::sendHeartbeats()
{
    const OwnState own{
        .viewVersion = m_views.view().version,
        .lastRead = m_views.lastRead(),
        .inFlight = m_inFlight ? m_inFlight() : std::vector<wire::VmInFlight>{},
    };
    const auto heartbeat = buildHeartbeat(m_peers, own, m_ports.clock.boot());
    std::set<std::string> addresses(m_seeds.begin(), m_seeds.end());
    for (const auto &it : m_views.view().members.members) {
        addresses.insert(it.address);
    }
    for (const auto &[id, peer] : m_peers.peers) {
        addresses.insert(peer.address);
    }
    addresses.erase(m_self.address);
    for (const auto &it : addresses) {
        m_ports.peers.send(it, heartbeat);
    }
}

void Membership::repeatHeartbeats()
{
    sendHeartbeats();
    after(heartbeatInterval, [this] { repeatHeartbeats(); });
}

void Membership::confirmMembers()
{
    // The next member change waits for this confirmation. Other changes wait for the next regular heartbeat: the version
    // of the view grows with every commit of the table.
    if (const auto version = m_views.view().members.version; version != m_confirmedMembers) {
        m_confirmedMembers = version;
        sendHeartbeats();
    }
}

bool Membership::receive(const wire::Envelope &envelope)
{
    switch (envelope.body_case()) {
    case wire::Envelope::kHeartbeat:
        if (receiveHeartbeat(m_peers, envelope, m_views.view().version, m_ports.clock.boot())) {
            m_views.receiveHeartbeat(envelope.heartbeat());
        }
        return true;
    case wire::Envelope::kViewRequest:
        if (const auto it = m_peers.peers.find(envelope.sender()); it != m_peers.peers.end()) {
            m_views.answer(envelope.view_request(), it->second.address);
        }
        return true;
    case wire::Envelope::kViewDelta:
        m_views.receiveDelta(envelope.view_delta());
        return true;
    default:
        return false;
    }
}

void Membership::renewRegistration()
{
    if (m_isLeaving || m_isSuperseded) {
        return;
    }
    const Registration registration{
        .id = m_self.id,
        .incarnation = m_self.incarnation,
        .expiresAt = m_ports.clock.wall() + registrationExpiry,
    };
    const auto key = std::string(registrationPrefix) + m_self.id;
    // The precondition keeps a late write from replacing the row of a newer incarnation or reviving a removed one.
    m_ports.table.commit({.preconditions = {{key, m_registrationVersion}}, .writes = {{key, encodeRegistration(registration)}}},
                         guarded([this](const auto &result) { takeRenewal(result); }));
    after(registrationInterval, [this] { renewRegistration(); });
}

void Membership::takeRenewal(const absl::StatusOr<std::uint64_t> &result)
{
    if (result.ok()) {
        m_registrationVersion = std::max(m_registrationVersion, *result);
        m_isRegistered = true;
        m_wasRegistered = true;
        m_views.noteVersion(*result);
        return;
    }
    logEvent(LogLevel::Warn, "registration_not_renewed", {{"error", result.status().ToString()}});
    if (!absl::IsUnavailable(result.status())) {
        readRegistration();
    }
}

void Membership::readRegistration()
{
    if (m_isReadingBack) {
        return;
    }
    m_isReadingBack = true;
    const auto key = std::string(registrationPrefix) + m_self.id;
    m_ports.table.read({.prefix = key}, guarded([this, key](const absl::StatusOr<ReadResult> &result) {
                           m_isReadingBack = false;
                           if (!result.ok()) {
                               after(readBackInterval, [this] { readRegistration(); });
                               return;
                           }
                           const auto row = std::ranges::find(result->rows, key, &Row::key);
                           takeRegistration(row != result->rows.end() ? *row : Row{.key = key, .version = result->version});
                       }));
}

void Membership::takeRegistration(const Row &row)
{
    if (row.version < m_registrationVersion) {
        return; // An older read.
    }
    const auto registration = parseRegistration(row);
    if (registration && registration->incarnation > m_self.incarnation) {
        m_isSuperseded = true;
        logEvent(LogLevel::Error, "entry_superseded", {{"incarnation", registration->incarnation}});
        return;
    }
    // A deleted row has version 0 for preconditions.
    m_registrationVersion = row.value ? row.version : 0;
    m_isRegistered = registration && registration->incarnation == m_self.incarnation;
    m_wasRegistered = m_wasRegistered || m_isRegistered;
}

bool Membership::isListed() const
{
    return std::ranges::any_of(m_views.view().members.members,
                               [&](const auto &it) { return it.id == m_self.id && it.incarnation == m_self.incarnation; });
}

void Membership::checkMembers()
{
    after(isListed() == m_isLeaving ? memberCheckIntervalPending : memberCheckInterval, [this] { checkMembers(); });
    if (m_isLeaving && !isListed()) {
        removeRegistration();
        return;
    }
    // An entry registers before it joins: peers would otherwise take it for a silent member.
    if (m_outstanding != 0 || !m_views.isReady() || m_isSuperseded || !m_isRegistered) {
        return;
    }
    const auto number = ++m_checks;
    m_outstanding = number;
    after(memberCheckDeadline, [this, number] { endCheck(number); });
    m_ports.table.read({.prefix = std::string(registrationPrefix)}, guarded([this, number](const absl::StatusOr<ReadResult> &result) {
                           if (!result.ok()) {
                               endCheck(number);
                               return;
                           }
                           Check check{.number = number};
                           for (const auto &row : result->rows) {
                               if (auto registration = parseRegistration(row)) {
                                   check.registrations.push_back(std::move(*registration));
                               }
                           }
                           listVms(std::move(check));
                       }));
}

void Membership::listVms(Check check)
{
    const auto &members = m_views.view().members.members;
    const auto now = m_ports.clock.boot();
    const bool allHeard = std::ranges::all_of(members, [&](const auto &it) { return it.id == m_self.id || hears(m_peers, it, now); });
    if (allHeard) {
        // The list matters only for members that are not heard, and has a line for every VM of the fleet.
        std::vector<PlatformVm> assumed;
        std::ranges::transform(members, std::back_inserter(assumed), [](const auto &it) { return PlatformVm{.id = it.id}; });
        decide(check, assumed);
        return;
    }
    m_ports.vms.list(guarded([this, check = std::move(check)](const absl::StatusOr<std::vector<PlatformVm>> &vms) {
        if (!vms.ok() || m_outstanding != check.number) {
            endCheck(check.number);
            return;
        }
        decide(check, *vms);
    }));
}

void Membership::decide(const Check &check, const std::vector<PlatformVm> &vms)
{
    const MemberFacts facts{
        .self = m_self,
        .isLeaving = m_isLeaving,
        .registrations = check.registrations,
        .vms = vms,
        .bootNow = m_ports.clock.boot(),
        .wallNow = m_ports.clock.wall(),
    };
    const auto change = nextMemberChange(m_views.view(), m_peers, facts);
    if (change.reason != m_lastReason && !change.reason.empty()) {
        m_lastReason = change.reason;
        logEvent(LogLevel::Info, "member_change", {{"reason", change.reason}, {"waits", change.list ? "no" : "yes"}});
    }
    if (!change.list) {
        endCheck(check.number);
        return;
    }
    const std::string key(membersKey);
    // A lost reply needs no handling: the next check starts from the view, and the precondition stops a late write.
    m_ports.table.commit({.preconditions = {{key, m_views.view().members.version}}, .writes = {{key, encodeMembers(*change.list)}}},
                         guarded([this, number = check.number](const absl::StatusOr<std::uint64_t> &result) {
                             if (result.ok()) {
                                 m_views.noteVersion(*result);
                             }
                             endCheck(number);
                         }));
}

void Membership::endCheck(std::uint64_t number)
{
    if (m_outstanding == number) {
        m_outstanding = 0;
    }
}

void Membership::leave(std::function<void()> done)
{
    m_isLeaving = true;
    m_left = std::move(done);
    checkMembers();
}

void Membership::removeRegistration()
{
    if (!m_left) {
        return;
    }
    const auto key = std::string(registrationPrefix) + m_self.id;
    m_ports.table.commit({.preconditions = {{key, m_registrationVersion}}, .writes = {{key, std::nullopt}}},
                         guarded([this](const absl::StatusOr<std::uint64_t> &result) {
                             if (!result.ok() && !absl::IsUnavailable(result.status())) {
                                 readRegistration();
                             }
                             if ((result.ok() || !m_isRegistered) && m_left) {
                                 std::exchange(m_left, nullptr)();
                             }
                         }));
}

} // namespace hibiscusbridge
