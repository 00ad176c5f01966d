// Division of a VM's slots over the member entries.
#pragma once

#include "helpers/millis.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

/// Index of the member that owns slot `slot` of a VM. `members` is sorted and not empty. Members are ranked by a
/// rendezvous hash, so each gets `slots / members` slots of a VM or one more, and a member that joins or leaves changes
/// few shares of the others.
std::size_t slotOwner(std::string_view vm, std::uint32_t slot, const std::vector<std::string> &members);

/// Number of a VM's slots that `entry` owns; 0 when it is not a member. The shares of all members sum to `slots`.
std::uint32_t slotShare(std::string_view vm, std::uint32_t slots, const std::vector<std::string> &members, std::string_view entry);

/// The usable part of a share that changes. Invariant: the usable part never exceeds any share held during the last
/// `wait`, so a gain waits until its former owner has nothing in flight and a loss counts at once.
class ShareWindow
{
public:
    void set(std::uint32_t share, Millis now, Millis wait);
    std::uint32_t usable(Millis now) const;
    /// True when nothing is owned and no earlier share is remembered.
    bool isEmpty(Millis now) const;

private:
    struct Former {
        std::uint32_t share = 0;
        Millis until;
    };

    std::uint32_t m_share = 0;
    std::vector<Former> m_former;
};

} // namespace hibiscusbridge
