// Wires the managers of an entry to its adapters.
#include "entry/components.hpp"

#include "helpers/ids.hpp"

namespace hibiscusbridge
{

Components::Components(EventLoop &eventLoop, const Settings &entrySettings)
    : loop(eventLoop)
    , settings(entrySettings)
    , clock(systemClock())
    , incarnation(static_cast<std::uint64_t>(clock.wall().count))
    , targetHttp(eventLoop, {})
    , platformHttp(eventLoop, {.maxBodyBytes = 64 << 20})
    , platform(platformHttp, {.address = entrySettings.platformAddress, .timeout = entrySettings.platformTimeout})
{
}

absl::Status Components::mayServe() const
{
    const auto decision = membership->serving();
    return decision.serves() ? absl::OkStatus() : absl::UnavailableError(decision.reason());
}

std::vector<std::string> Components::liveMembers() const
{
    std::vector<std::string> ids{settings.entryId};
    for (const auto &member : view().members.members) {
        if (member.id != settings.entryId && hears(membership->peers(), member, clock.boot())) {
            ids.push_back(member.id);
        }
    }
    return ids;
}

FleetHealth Components::health() const
{
    FleetHealth health;
    health.failed = prober->failed();
    return health;
}

static void dispatchPeerMessage(Components &components, const wire::Envelope &envelope)
{
    if (!components.membership->receive(envelope)) {
        components.slots->receive(envelope);
    }
}

static void makeRequestPath(Components &c)
{
    c.slots = std::make_unique<SlotManager>(c.settings.entryId,
                                            c.incarnation,
                                            SlotManagerPorts{.clock = c.clock,
                                                             .timers = c.loop.timers(),
                                                             .peers = c.peerLink->port(),
                                                             .mayServe =
                                                                 [&c] {
                                                                     return c.mayServe().ok();
                                                                 }},
                                            LimitsSettings{.longestDeadline = maxServiceDeadline});
    c.views->onChange([&c] { c.slots->applyView(c.view()); });
    c.once = std::make_unique<OnceManager>(c.platform.table(), c.loop.timers(), c.clock, c.requestCounters);
    RequestPorts ports{.target = c.targetHttp.port(), .slots = c.slots->port(), .clock = c.clock};
    ports.view = [&c]() -> const View & {
        return c.view();
    };
    ports.mayServe = [&c] {
        return c.mayServe();
    };
    c.requests = std::make_unique<RequestManager>(std::move(ports), *c.once, c.requestCounters);
    c.onceCleanup = std::make_unique<OnceCleanup>(
        c.platform.table(), c.loop.timers(), c.clock, OnceCleanupSettings{.retention = c.settings.onceRetention});
}

static void makeFleetManager(Components &c)
{
    c.drains = std::make_unique<DrainWatch>(c.platform.table(), c.loop.timers(), c.clock, *c.views, *c.membership, *c.requests);
    c.prober = std::make_unique<Prober>(c.targetHttp.port(), c.loop.timers(), c.clock, *c.views);
    FleetPorts ports{.table = c.platform.table(), .vms = c.platform.vms(), .timers = c.loop.timers(), .clock = c.clock};
    ports.view = [&c]() -> const View & {
        return c.view();
    };
    ports.viewAge = [&c] {
        return c.clock.boot() - c.views->lastRead().value_or(Millis{});
    };
    ports.health = [&c] {
        return c.health();
    };
    ports.confirmations = [&c](const VmRow &vm) {
        return c.drains->confirmations(vm);
    };
    ports.liveMembers = [&c] {
        return c.liveMembers();
    };
    c.fleet = std::make_unique<FleetManager>(c.settings.entryId, std::move(ports));
}

static std::vector<wire::VmInFlight> inFlightToInactiveVms(const Components &c)
{
    std::vector<wire::VmInFlight> out;
    for (const auto &[vm, requests] : c.requests->inFlight()) {
        const auto row = c.view().vms.find(vm);
        if (row != c.view().vms.end() && row->second.state == VmState::Active) {
            continue;
        }
        wire::VmInFlight item;
        item.set_vm(vm);
        item.set_requests(requests);
        out.push_back(std::move(item));
    }
    return out;
}

static absl::Status makeMembership(Components &c)
{
    PeerLinkOptions options{
        .address = c.settings.peerAddress, .publicKey = c.settings.curvePublicKey, .secretKey = c.settings.curveSecretKey};
    auto link = PeerLink::listen(c.loop, std::move(options), [&c](const wire::Envelope &envelope) { dispatchPeerMessage(c, envelope); });
    if (!link.ok()) {
        return link.status();
    }
    c.peerLink = std::move(*link);
    c.views = std::make_unique<ViewManager>(
        ViewManager::Identity{c.settings.entryId, c.incarnation}, c.platform.table(), c.peerLink->port(), c.loop.timers(), c.clock);
    const Member self{.id = c.settings.entryId, .incarnation = c.incarnation, .address = c.settings.peerAddress, .zone = c.settings.zone};
    Membership::Ports ports{
        .table = c.platform.table(), .vms = c.platform.vms(), .peers = c.peerLink->port(), .timers = c.loop.timers(), .clock = c.clock};
    c.membership = std::make_unique<Membership>(self, c.settings.seedPeers, std::move(ports), *c.views);
    c.membership->setInFlightSource([&c] { return inFlightToInactiveVms(c); });
    return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<Components>> makeComponents(EventLoop &loop, const Settings &settings)
{
    auto components = std::make_unique<Components>(loop, settings);
    auto &c = *components;
    if (auto status = makeMembership(c); !status.ok()) {
        return status;
    }
    makeRequestPath(c);
    makeFleetManager(c);
    c.submissions = std::make_unique<SubmissionManager>(c.platform.table(), loop.timers(), c.clock, settings.bootstrapToken);
    c.views->start();
    c.membership->start();
    c.drains->start();
    const auto owns = [&c](std::string_view subject) {
        return ownsSubject(c.settings.entryId, c.liveMembers(), subject);
    };
    c.prober->start(owns);
    c.onceCleanup->start(owns);
    c.fleet->start();
    return components;
}

} // namespace hibiscusbridge
