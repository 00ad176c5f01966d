// Alternatives to the slot manager: power of two choices, alone or with exchanged in-flight counts.
#pragma once

#include "ports/slots.hpp"

#include <map>
#include <random>

namespace hibiscusbridge
{

/// Sends to the less loaded of two random VMs. Refuses when that VM seems to have all slots taken.
class TwoChoices
{
public:
    TwoChoices(std::uint32_t slots, unsigned seed)
        : m_slots(slots)
        , m_random(seed)
    {
    }

    void acquire(const SlotDemand &demand, const SlotPort::Callback &done);
    void release(const SlotLease &lease);
    /// Replaces what is known of another entry's requests in flight.
    void learn(std::size_t peer, std::map<std::string, std::uint32_t> inFlight);
    const std::map<std::string, std::uint32_t> &inFlight() const
    {
        return m_inFlight;
    }

private:
    std::uint32_t load(const std::string &vm) const;

    std::uint32_t m_slots;
    std::mt19937 m_random;
    std::map<std::string, std::uint32_t> m_inFlight;
    std::map<std::size_t, std::map<std::string, std::uint32_t>> m_peers;
};

} // namespace hibiscusbridge
