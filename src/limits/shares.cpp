// Shares by rendezvous hashing.
#include "limits/shares.hpp"

#include "helpers/ids.hpp"

#include <algorithm>
#include <numeric>

namespace hibiscusbridge
{

/// Indexes of the members, the highest hash for this VM first.
static std::vector<std::size_t> rankMembers(std::string_view vm, const std::vector<std::string> &members)
{
    std::vector<std::uint64_t> weights;
    weights.reserve(members.size());
    for (const auto &member : members) {
        weights.push_back(stableHash(std::string(vm) + '\n' + member));
    }
    std::vector<std::size_t> ranked(members.size());
    std::iota(ranked.begin(), ranked.end(), 0);
    std::stable_sort(ranked.begin(), ranked.end(), [&](auto a, auto b) { return weights[a] > weights[b]; });
    return ranked;
}

std::size_t slotOwner(std::string_view vm, std::uint32_t slot, const std::vector<std::string> &members)
{
    return rankMembers(vm, members)[slot % members.size()];
}

std::uint32_t slotShare(std::string_view vm, std::uint32_t slots, const std::vector<std::string> &members, std::string_view entry)
{
    const auto n = static_cast<std::uint32_t>(members.size());
    const auto ranked = rankMembers(vm, members);
    const auto it = std::find_if(ranked.begin(), ranked.end(), [&](auto member) { return members[member] == entry; });
    if (it == ranked.end()) {
        return 0;
    }
    const auto rank = static_cast<std::uint32_t>(it - ranked.begin());
    return slots / n + (rank < slots % n ? 1 : 0);
}

void ShareWindow::set(std::uint32_t share, Millis now, Millis wait)
{
    std::erase_if(m_former, [&](const Former &former) { return former.until <= now; });
    if (share == m_share) {
        return;
    }
    // Only the smallest share of the window matters, so a larger one that ends earlier can be dropped.
    std::erase_if(m_former, [&](const Former &former) { return former.share >= m_share; });
    m_former.push_back({m_share, now + wait});
    m_share = share;
}

std::uint32_t ShareWindow::usable(Millis now) const
{
    auto least = m_share;
    for (const auto &former : m_former) {
        if (former.until > now) {
            least = std::min(least, former.share);
        }
    }
    return least;
}

bool ShareWindow::isEmpty(Millis now) const
{
    return m_share == 0 && std::none_of(m_former.begin(), m_former.end(), [&](const Former &former) { return former.until > now; });
}

} // namespace hibiscusbridge
