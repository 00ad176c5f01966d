// Which change of the member list is safe to commit next. No I/O.
//
// Two entries must never both believe in a majority that the other knows nothing of. A list changes in two ways:
//  - A normal step adds or removes one member. It needs a majority of the current list to have confirmed the version of
//    the current list, and has that version as its precondition.
//  - A dead member is removed without confirmation, any number at once, because a majority may be gone for good.
//    Dead means that the process can neither receive nor count: (1) its VM is no longer in the platform's list, its
//    registration has expired and it is not heard; or (2) a newer incarnation of the same id holds the same peer
//    address, which it could bind only after the former process had ended. The proposer of (2) is that incarnation.
//    A live VM that the lagging list does not show yet is protected by its registration: the list must show a VM within
//    `registrationExpiry` of its first registration.
//
// Argument: between two confirmed lists there is at most one normal step. Let an entry hold list L, and let C be the
// majority that confirmed a later list K. If at most one normal step lies between them, K = (L without dead members G)
// with at most one member more or less. A majority Q of L that is heard now has no dead member, so it is a majority of
// L without G, and majorities of two sets that differ by one member intersect: Q and C share a live member. Its heartbeat
// carries a version of K or newer, which the entry must hold before it counts that member, so it does not go on with L.
// If more normal steps lie between, the same holds for the list that the second of them was based on. A majority of
// Announced confirmations is tied to the list in force by the precondition on `view/members` (confirmedByMajority).
//
// An expired registration alone proves nothing: the side without the platform may hold a majority and serve from it.
// Such a member, and an older incarnation at another address, is removed by a normal step only.
#pragma once

#include "membership/confirmation.hpp"
#include "ports/vm.hpp"

#include <optional>
#include <string>
#include <vector>

namespace hibiscusbridge
{

/// Age after which a registration that was not renewed has expired.
inline constexpr Millis registrationExpiry{10'000};

struct MemberFacts {
    Member self;
    /// True during a graceful stop.
    bool isLeaving = false;
    std::vector<Registration> registrations;
    /// The platform's list; the id of an entry is the id of its VM.
    std::vector<PlatformVm> vms;
    Millis bootNow;
    Millis wallNow;
};

struct MemberChange {
    /// Empty when nothing is to be done or the change must wait.
    std::optional<MemberList> list;
    std::string reason;
};

/// The next list to commit, with the version of `view.members` as the precondition.
MemberChange nextMemberChange(const View &view, const PeerTable &table, const MemberFacts &facts);

} // namespace hibiscusbridge
