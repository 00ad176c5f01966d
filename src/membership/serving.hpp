// Whether this entry may send work to targets from the view it holds.
#pragma once

#include "membership/peers.hpp"

#include <optional>
#include <string>

namespace hibiscusbridge
{

enum class ServingBasis {
    OwnRead,
    PeerRead,
    Majority,
    /// Not allowed to serve.
    None,
};

struct ServingDecision {
    ServingBasis basis = ServingBasis::None;
    std::size_t heard = 0;
    std::size_t needed = 0;
    bool hasView = true;
    /// A newer incarnation of this entry has registered.
    bool isSuperseded = false;

    bool serves() const
    {
        return basis != ServingBasis::None;
    }
    /// Text for operators and for the readiness check.
    std::string reason() const;
};

/// Decides from the view, the peers and the request time of the last own platform read; `now` is the boot clock.
///
/// Why an entry that serves knows of every VM that has been Draining for `hearingTimeout` or longer: let Draining be
/// committed at D, and now > D + hearingTimeout.
///  - Own read: the request was sent after D, so the view reflects D.
///  - Peer read: the peer's request was sent after D and this entry holds at least the version that the peer reported.
///  - Majority: each counted peer sent its heartbeat after the echoed one, that is after D. A majority confirmed the
///    Announced state before D, two majorities intersect, versions never decrease within one incarnation, and this entry
///    holds at least every version it counts. Different member lists: see memberlist.hpp.
ServingDecision servingDecision(const View &view, const PeerTable &table, std::optional<Millis> lastOwnRead, Millis now);

/// The last part of servingDecision: serves only while a majority of the members is heard.
ServingDecision majorityDecision(const View &view, const PeerTable &table, Millis now);

} // namespace hibiscusbridge
