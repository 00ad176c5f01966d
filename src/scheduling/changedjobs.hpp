// Jobs whose progress has changed and is not in the store yet, in the order of their changes.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hibiscusbridge::jobs
{

/// Changes are numbered from 1. A job keeps the number of its oldest change that is not part of a transaction, so that the jobs that
/// change most do not delay the others.
class ChangedJobs
{
public:
    void add(const std::string &id);
    bool empty() const
    {
        return oldest() == nullptr;
    }
    /// True if the job has a change that is not in the store, in flight or not.
    bool contains(const std::string &id) const
    {
        return m_numbers.contains(id) || m_inFlight.contains(id);
    }
    /// Number of the latest change.
    std::uint64_t latest() const
    {
        return m_latest;
    }
    /// The job with the oldest change, apart from postponed ones; null if there is none.
    const std::string *oldest() const;
    /// Moves the job with the oldest change into the next transaction. Must not be called while a transaction is in flight.
    void takeOldest();
    /// All changes up to this number are in the store or part of the transaction in flight.
    std::uint64_t takenUpTo() const
    {
        return m_order.empty() ? m_latest : m_order.begin()->first - 1;
    }
    const std::map<std::string, std::uint64_t> &inFlight() const
    {
        return m_inFlight;
    }
    void onCommitted()
    {
        m_inFlight.clear();
    }
    /// Puts the jobs of the transaction in flight back to their places.
    void onCommitFailed();
    /// The job keeps its place, so that no later change counts as stored before it, but is not taken until `resume`.
    void postpone(const std::string &id)
    {
        m_postponed.insert(id);
    }
    void resume()
    {
        m_postponed.clear();
    }

private:
    std::map<std::uint64_t, std::string> m_order;
    std::map<std::string, std::uint64_t> m_numbers;
    std::map<std::string, std::uint64_t> m_inFlight;
    std::set<std::string> m_postponed;
    std::uint64_t m_latest = 0;
};

} // namespace hibiscusbridge::jobs
