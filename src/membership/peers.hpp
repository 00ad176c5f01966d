// Heartbeats between entries and what they prove about each peer. No I/O.
#pragma once

#include "helpers/millis.hpp"
#include "model/view.hpp"
#include "peer.pb.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

inline constexpr Millis heartbeatInterval{500};
/// Limit for the age of an echo, and for the age of a platform read that makes a view fresh.
inline constexpr Millis hearingTimeout{2'000};
/// A peer that is silent for longer is removed from the table.
inline constexpr Millis peerRetention{60'000};
/// Limit for peers that are not in the member list, so that stray senders cannot exhaust memory.
inline constexpr std::size_t maxPeers = 256;

/// What one heartbeat of a peer proves. Times are this entry's boot clock.
struct Evidence {
    /// Send time of the own heartbeat that the peer echoed; the peer sent its heartbeat later than this.
    Millis echoedAt;
    std::uint64_t viewVersion = 0;
    /// Lower bound for the request time of the peer's last platform read: `echoedAt` minus the reported age.
    std::optional<Millis> readAt;
};

struct Peer {
    std::uint64_t incarnation = 0;
    std::string address;
    /// Send time of the newest heartbeat received, in the peer's boot clock; echoed to the peer.
    Millis lastSent;
    /// Own boot clock; only for retention, never for hearing.
    Millis receivedAt;
    /// From the newest heartbeat, echoed or not.
    std::uint64_t viewVersion = 0;
    std::map<std::string, std::uint32_t, std::less<>> inFlight;
    std::optional<Evidence> latest;
    /// The newest evidence whose view version this entry held when the next evidence arrived.
    std::optional<Evidence> caughtUp;
};

struct PeerTable {
    std::string self;
    std::uint64_t incarnation = 0;
    std::string address;
    std::map<std::string, Peer, std::less<>> peers;
    std::uint64_t dropped = 0;
};

/// What this entry reports about itself.
struct OwnState {
    std::uint64_t viewVersion = 0;
    /// Boot clock of the request of the last successful platform read.
    std::optional<Millis> lastRead;
    /// Requests in flight to VMs that are not active.
    std::vector<wire::VmInFlight> inFlight;
};

/// Takes in the heartbeat of `envelope`. Returns false when it is ignored: from this entry itself, an older incarnation,
/// reordered, or with the table full. `ownViewVersion` is the version this entry holds.
bool receiveHeartbeat(PeerTable &table, const wire::Envelope &envelope, std::uint64_t ownViewVersion, Millis now);

/// The next heartbeat, with an echo for every peer of the table. Forgets peers that were silent for `peerRetention`.
wire::Envelope buildHeartbeat(PeerTable &table, const OwnState &own, Millis now);

/// True when the peer, in the incarnation of the member list, echoed a heartbeat sent within the timeout.
bool hears(const PeerTable &table, const Member &peer, Millis now);

/// Newest evidence of the peer whose view version is not newer than `viewVersion`; nullptr for none. Evidence of a newer
/// view does not count until this entry holds that view.
const Evidence *heldEvidence(const Peer &peer, std::uint64_t viewVersion);

/// True for a time between `now - hearingTimeout` and `now`.
bool isRecent(Millis time, Millis now);

} // namespace hibiscusbridge
