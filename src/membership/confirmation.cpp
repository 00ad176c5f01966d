// Majority and drain confirmations.
#include "membership/confirmation.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

std::string encodeRegistration(const Registration &registration)
{
    return json{{"incarnation", registration.incarnation}, {"expiresAtMs", registration.expiresAt.count}}.dump();
}

std::optional<Registration> parseRegistration(const Row &row)
{
    if (!row.value || !row.key.starts_with(registrationPrefix)) {
        return std::nullopt;
    }
    try {
        const auto object = json::parse(*row.value);
        return Registration{
            .id = row.key.substr(registrationPrefix.size()),
            .incarnation = object.at("incarnation"),
            .expiresAt = {object.at("expiresAtMs")},
        };
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

bool confirmedByMajority(const View &view, const PeerTable &table, std::uint64_t version)
{
    const auto holds = [&](const Member &member) {
        if (member.id == table.self) {
            return member.incarnation == table.incarnation && view.version >= version;
        }
        const auto it = table.peers.find(member.id);
        return it != table.peers.end() && it->second.incarnation == member.incarnation && it->second.viewVersion >= version;
    };
    const auto &members = view.members.members;
    const auto confirmed = std::ranges::count_if(members, holds);
    return static_cast<std::size_t>(confirmed) >= members.size() / 2 + 1;
}

/// An entry whose confirmation a drain needs.
struct DrainParty {
    std::string id;
    std::uint64_t incarnation = 0;
    /// 0 for an entry without a registration.
    Millis expiresAt;
};

static void addParty(std::vector<DrainParty> &parties, const DrainParty &party)
{
    const auto isSame = [&](const DrainParty &it) {
        return it.id == party.id && it.incarnation == party.incarnation;
    };
    if (std::ranges::none_of(parties, isSame)) {
        parties.push_back(party);
    }
}

static std::vector<DrainParty> partiesOf(const View &view,
                                         const PeerTable &table,
                                         const std::vector<Registration> &registrations,
                                         Millis now)
{
    std::vector<DrainParty> parties{{.id = table.self, .incarnation = table.incarnation}};
    for (const auto &it : registrations) {
        addParty(parties, {it.id, it.incarnation, it.expiresAt});
    }
    for (const auto &it : view.members.members) {
        addParty(parties, {.id = it.id, .incarnation = it.incarnation});
    }
    for (const auto &[id, peer] : table.peers) {
        if (hears(table, {.id = id, .incarnation = peer.incarnation}, now)) {
            addParty(parties, {.id = id, .incarnation = peer.incarnation});
        }
    }
    return parties;
}

static std::string inFlightReason(std::uint32_t requests)
{
    return requests == 0 ? "" : std::to_string(requests) + " requests in flight";
}

/// Why an entry that has not confirmed must still be waited for; empty when it cannot have a request in flight.
static std::string silenceReason(const DrainParty &party, const DrainQuery &query)
{
    if (query.wallNow < party.expiresAt) {
        return "not confirmed and its registration has not expired";
    }
    if (query.bootNow < query.seenAt + hearingTimeout) {
        return "not confirmed and it may still be serving";
    }
    const bool isOver =
        query.bootNow >= query.seenAt + hearingTimeout + query.longestDeadline && query.wallNow >= party.expiresAt + query.longestDeadline;
    return isOver ? "" : "not confirmed and the longest request deadline has not passed";
}

static std::string waitReason(const PeerTable &table, const View &view, const DrainParty &party, const DrainQuery &query)
{
    if (party.id == table.self && party.incarnation == table.incarnation) {
        return view.version < query.version ? "does not hold the draining state yet" : inFlightReason(query.ownInFlight);
    }
    const auto it = table.peers.find(party.id);
    if (it == table.peers.end() || it->second.incarnation != party.incarnation || it->second.viewVersion < query.version) {
        return silenceReason(party, query);
    }
    const auto requests = it->second.inFlight.find(query.vm);
    if (requests == it->second.inFlight.end() || requests->second == 0) {
        return {};
    }
    const Member member{.id = party.id, .incarnation = party.incarnation};
    return hears(table, member, query.bootNow) ? inFlightReason(requests->second) : silenceReason(party, query);
}

DrainConfirmation drainConfirmation(const View &view,
                                    const PeerTable &table,
                                    const std::vector<Registration> &registrations,
                                    const DrainQuery &query)
{
    DrainConfirmation confirmation;
    for (const auto &party : partiesOf(view, table, registrations, query.bootNow)) {
        if (auto reason = waitReason(table, view, party, query); !reason.empty()) {
            confirmation.waitingFor.push_back({party.id, std::move(reason)});
        }
    }
    return confirmation;
}

} // namespace hibiscusbridge
