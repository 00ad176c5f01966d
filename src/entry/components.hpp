// The managers and adapters of one entry, and the answers that need several of them.
#pragma once

#include "adapters/eventloop.hpp"
#include "adapters/httpclient.hpp"
#include "adapters/peerlink.hpp"
#include "adapters/platformclient.hpp"
#include "config/settings.hpp"
#include "document/submission.hpp"
#include "entry/drainwatch.hpp"
#include "entry/prober.hpp"
#include "fleet/manager.hpp"
#include "limits/slotmanager.hpp"
#include "membership/membership.hpp"
#include "requests/oncecleanup.hpp"
#include "requests/requestmanager.hpp"
#include "routing/viewmanager.hpp"

#include <memory>

namespace hibiscusbridge
{

/// Everything that runs in an entry process. Built by `makeComponents`, in the order of the members; each member may
/// refer to the ones above it.
struct Components {
    EventLoop &loop;
    Settings settings;
    Clock clock;
    /// Wall clock at the start of the process in milliseconds; grows with each start.
    std::uint64_t incarnation = 0;
    HttpClient targetHttp;
    HttpClient platformHttp;
    PlatformClient platform;
    std::unique_ptr<PeerLink> peerLink;
    std::unique_ptr<ViewManager> views;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<SlotManager> slots;
    RequestCounters requestCounters;
    std::unique_ptr<OnceManager> once;
    std::unique_ptr<RequestManager> requests;
    std::unique_ptr<OnceCleanup> onceCleanup;
    std::unique_ptr<SubmissionManager> submissions;
    std::unique_ptr<DrainWatch> drains;
    std::unique_ptr<Prober> prober;
    std::unique_ptr<FleetManager> fleet;

    Components(EventLoop &eventLoop, const Settings &entrySettings);

    const View &view() const
    {
        return views->view();
    }
    /// Whether this entry may send requests to targets now; kUnavailable with the reason when not.
    absl::Status mayServe() const;
    /// Ids of the members heard now, this entry included.
    std::vector<std::string> liveMembers() const;
    FleetHealth health() const;
};

/// Opens the peer link and starts every manager. Fails when the peer address cannot be bound.
absl::StatusOr<std::unique_ptr<Components>> makeComponents(EventLoop &loop, const Settings &settings);

} // namespace hibiscusbridge
