// Choice of the next member list.
#include "membership/memberlist.hpp"

#include <algorithm>

namespace hibiscusbridge
{

static bool isSelf(const Member &member, const MemberFacts &facts)
{
    return member.id == facts.self.id && member.incarnation == facts.self.incarnation;
}

/// True when the member has no registration that is still valid and this entry does not hear it.
static bool isSilent(const Member &member, const PeerTable &table, const MemberFacts &facts)
{
    const auto isRegistered = [&](const Registration &it) {
        return it.id == member.id && facts.wallNow < it.expiresAt;
    };
    return !isSelf(member, facts) && !hears(table, member, facts.bootNow) && std::ranges::none_of(facts.registrations, isRegistered);
}

static bool isDead(const Member &member, const PeerTable &table, const MemberFacts &facts)
{
    const bool isReplacedBySelf =
        member.id == facts.self.id && member.incarnation < facts.self.incarnation && member.address == facts.self.address;
    const auto isListed = std::ranges::any_of(facts.vms, [&](const auto &it) { return it.id == member.id; });
    return isReplacedBySelf || (!isListed && isSilent(member, table, facts));
}

static MemberList without(const MemberList &list, const Member &member)
{
    MemberList out = list;
    std::erase_if(out.members, [&](const auto &it) { return it.id == member.id && it.incarnation == member.incarnation; });
    return out;
}

static MemberChange normalStep(const MemberList &list, const PeerTable &table, const MemberFacts &facts)
{
    const auto own = std::ranges::find(list.members, facts.self.id, &Member::id);
    if (own != list.members.end() && (facts.isLeaving || own->incarnation < facts.self.incarnation)) {
        return {without(list, *own), facts.isLeaving ? "graceful stop" : "remove the former incarnation of this entry"};
    }
    if (own == list.members.end() && !facts.isLeaving) {
        MemberList out = list;
        out.members.push_back(facts.self);
        return {std::move(out), "join"};
    }
    const auto silent = std::ranges::find_if(list.members, [&](const auto &it) { return isSilent(it, table, facts); });
    if (silent != list.members.end()) {
        return {without(list, *silent), "registration of " + silent->id + " has expired and it is not heard"};
    }
    return {};
}

MemberChange nextMemberChange(const View &view, const PeerTable &table, const MemberFacts &facts)
{
    const auto &list = view.members;
    MemberList alive = list;
    std::erase_if(alive.members, [&](const auto &it) { return isDead(it, table, facts); });
    if (const auto dead = list.members.size() - alive.members.size(); dead > 0) {
        return {std::move(alive), "remove " + std::to_string(dead) + " members whose process has ended"};
    }
    auto change = normalStep(list, table, facts);
    if (change.list && !list.members.empty() && !confirmedByMajority(view, table, list.version)) {
        return {std::nullopt, "waiting for a majority to confirm the last member change; next: " + change.reason};
    }
    return change;
}

} // namespace hibiscusbridge
