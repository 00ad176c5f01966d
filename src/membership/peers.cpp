// Peer table: taking in and building heartbeats.
#include "membership/peers.hpp"

namespace hibiscusbridge
{

bool isRecent(Millis time, Millis now)
{
    return time <= now && now - time <= hearingTimeout;
}

/// The peer that a heartbeat belongs to; nullptr when the heartbeat must be ignored.
static Peer *peerFor(PeerTable &table, const wire::Envelope &envelope)
{
    if (envelope.sender().empty() || envelope.sender() == table.self) {
        return nullptr;
    }
    const auto it = table.peers.find(envelope.sender());
    if (it == table.peers.end()) {
        if (table.peers.size() >= maxPeers) {
            return nullptr;
        }
        auto &peer = table.peers[envelope.sender()];
        peer.incarnation = envelope.incarnation();
        return &peer;
    }
    auto &peer = it->second;
    if (envelope.incarnation() > peer.incarnation) {
        peer = Peer{.incarnation = envelope.incarnation()};
        return &peer;
    }
    const bool isReordered = envelope.heartbeat().sent_ms() <= peer.lastSent.count;
    return envelope.incarnation() < peer.incarnation || isReordered ? nullptr : &peer;
}

static std::optional<Evidence> evidenceOf(const PeerTable &table, const wire::Heartbeat &heartbeat, Millis now)
{
    for (const auto &echo : heartbeat.echoes()) {
        if (echo.peer() != table.self || echo.incarnation() != table.incarnation || echo.sent_ms() > now.count) {
            continue;
        }
        Evidence evidence{.echoedAt = {echo.sent_ms()}, .viewVersion = heartbeat.view_version()};
        if (const Millis age{heartbeat.platform_read_age_ms()}; age >= Millis{0}) {
            evidence.readAt = evidence.echoedAt - age;
        }
        return evidence;
    }
    return std::nullopt;
}

bool receiveHeartbeat(PeerTable &table, const wire::Envelope &envelope, std::uint64_t ownViewVersion, Millis now)
{
    auto *peer = peerFor(table, envelope);
    if (!peer) {
        ++table.dropped;
        return false;
    }
    const auto &heartbeat = envelope.heartbeat();
    peer->address = heartbeat.address();
    peer->lastSent = {heartbeat.sent_ms()};
    peer->receivedAt = now;
    peer->viewVersion = heartbeat.view_version();
    peer->inFlight.clear();
    for (const auto &it : heartbeat.in_flight()) {
        peer->inFlight[it.vm()] += it.requests();
    }
    if (const auto evidence = evidenceOf(table, heartbeat, now)) {
        if (peer->latest && peer->latest->viewVersion <= ownViewVersion) {
            peer->caughtUp = peer->latest;
        }
        peer->latest = evidence;
    }
    return true;
}

wire::Envelope buildHeartbeat(PeerTable &table, const OwnState &own, Millis now)
{
    std::erase_if(table.peers, [&](const auto &it) { return now - it.second.receivedAt > peerRetention; });
    wire::Envelope envelope;
    envelope.set_sender(table.self);
    envelope.set_incarnation(table.incarnation);
    auto &heartbeat = *envelope.mutable_heartbeat();
    heartbeat.set_sent_ms(now.count);
    heartbeat.set_address(table.address);
    heartbeat.set_view_version(own.viewVersion);
    heartbeat.set_platform_read_age_ms(own.lastRead ? (now - *own.lastRead).count : -1);
    for (const auto &[id, peer] : table.peers) {
        auto &echo = *heartbeat.add_echoes();
        echo.set_peer(id);
        echo.set_incarnation(peer.incarnation);
        echo.set_sent_ms(peer.lastSent.count);
    }
    for (const auto &it : own.inFlight) {
        *heartbeat.add_in_flight() = it;
    }
    return envelope;
}

bool hears(const PeerTable &table, const Member &peer, Millis now)
{
    const auto it = table.peers.find(peer.id);
    if (it == table.peers.end() || it->second.incarnation != peer.incarnation) {
        return false;
    }
    return it->second.latest && isRecent(it->second.latest->echoedAt, now);
}

const Evidence *heldEvidence(const Peer &peer, std::uint64_t viewVersion)
{
    if (peer.latest && peer.latest->viewVersion <= viewVersion) {
        return &*peer.latest;
    }
    return peer.caughtUp ? &*peer.caughtUp : nullptr;
}

} // namespace hibiscusbridge
