// Serving decision. Called before each send: no allocation, one pass over the peers and one over the members.
#include "membership/serving.hpp"

#include <algorithm>

namespace hibiscusbridge
{

static bool hasPeerRead(const View &view, const PeerTable &table, Millis now)
{
    return std::ranges::any_of(table.peers, [&](const auto &it) {
        const auto *evidence = heldEvidence(it.second, view.version);
        return evidence && isRecent(evidence->echoedAt, now) && evidence->readAt && isRecent(*evidence->readAt, now);
    });
}

static bool countsFor(const Member &member, const View &view, const PeerTable &table, Millis now)
{
    if (member.id == table.self) {
        return member.incarnation == table.incarnation;
    }
    const auto it = table.peers.find(member.id);
    if (it == table.peers.end() || it->second.incarnation != member.incarnation) {
        return false;
    }
    const auto *evidence = heldEvidence(it->second, view.version);
    return evidence && isRecent(evidence->echoedAt, now);
}

ServingDecision servingDecision(const View &view, const PeerTable &table, std::optional<Millis> lastOwnRead, Millis now)
{
    if (view.version == 0) {
        return {.hasView = false};
    }
    if (lastOwnRead && isRecent(*lastOwnRead, now)) {
        return {.basis = ServingBasis::OwnRead};
    }
    if (hasPeerRead(view, table, now)) {
        return {.basis = ServingBasis::PeerRead};
    }
    return majorityDecision(view, table, now);
}

ServingDecision majorityDecision(const View &view, const PeerTable &table, Millis now)
{
    if (view.version == 0) {
        return {.hasView = false};
    }
    const auto &members = view.members.members;
    const auto heard = std::ranges::count_if(members, [&](const auto &it) { return countsFor(it, view, table, now); });
    ServingDecision decision{.heard = static_cast<std::size_t>(heard), .needed = members.size() / 2 + 1};
    decision.basis = decision.heard >= decision.needed ? ServingBasis::Majority : ServingBasis::None;
    return decision;
}

std::string ServingDecision::reason() const
{
    const auto counts = std::to_string(heard) + " of the " + std::to_string(needed) + " members needed for a majority are heard";
    switch (basis) {
    case ServingBasis::OwnRead:
        return "the platform was read recently";
    case ServingBasis::PeerRead:
        return "a heard peer read the platform recently";
    case ServingBasis::Majority:
        return "no recent platform read; " + counts;
    case ServingBasis::None:
        break;
    }
    if (isSuperseded) {
        return "a newer incarnation of this entry has registered";
    }
    return hasView ? "no recent platform read and only " + counts : "no view of the platform's table yet";
}

} // namespace hibiscusbridge
