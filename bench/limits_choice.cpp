// Power of two choices.
#include "limits_choice.hpp"

namespace hibiscusbridge
{

std::uint32_t TwoChoices::load(const std::string &vm) const
{
    const auto countIn = [&](const std::map<std::string, std::uint32_t> &counts) {
        const auto it = counts.find(vm);
        return it == counts.end() ? 0 : it->second;
    };
    auto sum = countIn(m_inFlight);
    for (const auto &[peer, counts] : m_peers) {
        sum += countIn(counts);
    }
    return sum;
}

void TwoChoices::acquire(const SlotDemand &demand, const SlotPort::Callback &done)
{
    std::uniform_int_distribution<std::size_t> pick(0, demand.candidates.size() - 1);
    const auto &first = demand.candidates[pick(m_random)];
    const auto &second = demand.candidates[pick(m_random)];
    const auto &vm = load(first) <= load(second) ? first : second;
    if (load(vm) >= m_slots) {
        done(absl::ResourceExhaustedError("both VMs are full"));
        return;
    }
    ++m_inFlight[vm];
    done(SlotLease{vm, 0});
}

void TwoChoices::release(const SlotLease &lease)
{
    --m_inFlight[lease.vm];
}

void TwoChoices::learn(std::size_t peer, std::map<std::string, std::uint32_t> inFlight)
{
    m_peers[peer] = std::move(inFlight);
}

} // namespace hibiscusbridge
