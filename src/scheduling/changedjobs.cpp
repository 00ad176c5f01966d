// Jobs whose progress has changed and is not in the store yet.
#include "scheduling/changedjobs.hpp"

namespace hibiscusbridge::jobs
{

void ChangedJobs::add(const std::string &id)
{
    ++m_latest;
    if (m_numbers.try_emplace(id, m_latest).second) {
        m_order.emplace(m_latest, id);
    }
}

const std::string *ChangedJobs::oldest() const
{
    for (const auto &[number, id] : m_order) {
        if (!m_postponed.contains(id)) {
            return &id;
        }
    }
    return nullptr;
}

void ChangedJobs::takeOldest()
{
    const auto id = *oldest();
    const auto number = m_numbers.extract(id).mapped();
    m_order.erase(number);
    m_inFlight.emplace(id, number);
}

void ChangedJobs::onCommitFailed()
{
    for (const auto &[id, number] : m_inFlight) {
        if (const auto later = m_numbers.find(id); later != m_numbers.end()) {
            m_order.erase(later->second);
        }
        m_numbers[id] = number;
        m_order[number] = id;
    }
    m_inFlight.clear();
}

} // namespace hibiscusbridge::jobs
