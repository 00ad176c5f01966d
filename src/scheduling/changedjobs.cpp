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
    return m_order.empty() ? nullptr : &m_order.begin()->second;
}

void ChangedJobs::takeOldest()
{
    const auto oldest = m_order.extract(m_order.begin());
    m_numbers.erase(oldest.mapped());
    m_inFlight.emplace(oldest.mapped(), oldest.key());
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
