// Confirmations of view versions by other entries: for announcements, member changes and drains.
#pragma once

#include "membership/peers.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

inline constexpr std::string_view registrationPrefix = "registration/";

/// A row `registration/<id>`.
struct Registration {
    std::string id;
    std::uint64_t incarnation = 0;
    /// Wall clock.
    Millis expiresAt;
};

std::string encodeRegistration(const Registration &registration);
/// Nothing for a deleted or malformed row.
std::optional<Registration> parseRegistration(const Row &row);

/// True when a majority of the view's members, this entry included if it is one, holds `version` or a newer one. A
/// transaction based on it must have the version of `view/members` among its preconditions, so that the majority is one
/// of the list in force at the commit.
bool confirmedByMajority(const View &view, const PeerTable &table, std::uint64_t version);

struct DrainQuery {
    std::string vm;
    /// Commit version at which the VM became Draining.
    std::uint64_t version = 0;
    /// Boot clock when this entry first held `version`; not earlier than the commit.
    Millis seenAt;
    /// Longest deadline of a request that any service allows.
    Millis longestDeadline;
    /// Requests of this entry in flight to the VM.
    std::uint32_t ownInFlight = 0;
    Millis bootNow;
    Millis wallNow;
};

struct DrainWait {
    std::string entry;
    std::string reason;
};

struct DrainConfirmation {
    /// Empty when confirmed.
    std::vector<DrainWait> waitingFor;

    bool isConfirmed() const
    {
        return waitingFor.empty();
    }
};

/// Asks every registered entry, every member and every heard peer. An entry that does not respond is waited for until
/// its registration has expired and it must have stopped serving (hearingTimeout after `seenAt`), both plus the longest
/// deadline.
DrainConfirmation drainConfirmation(const View &view,
                                    const PeerTable &table,
                                    const std::vector<Registration> &registrations,
                                    const DrainQuery &query);

} // namespace hibiscusbridge
