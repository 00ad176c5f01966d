// The registered workers of the fleet, followed while this entry owns a shard.
#pragma once

#include "ports/store.hpp"
#include "ports/timer.hpp"
#include "ports/workers.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

/// Reads a table once and then follows its feed; reads it again when the feed's history was lost.
class TableFollower
{
public:
    struct Callbacks {
        /// All rows of the followed part, after the first read and after each loss of history.
        std::function<void(std::vector<Row>)> replaced;
        std::function<void(std::vector<Row>)> changed;
    };

    TableFollower(StorePort store, TimerPort timers, std::string table, std::string part, Callbacks callbacks);
    ~TableFollower();
    void start();
    bool isCurrent() const
    {
        return m_current;
    }

private:
    void readPage(const std::string &from);
    void follow();
    void retry(std::function<void()> fn);

    StorePort m_store;
    TimerPort m_timers;
    std::string m_table;
    std::string m_part;
    Callbacks m_callbacks;
    std::vector<Row> m_rows;
    std::uint64_t m_version = 0;
    bool m_firstPage = true;
    bool m_current = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

class WorkerDirectory
{
public:
    using Decode = std::function<std::optional<WorkerRegistration>(const Row &)>;

    WorkerDirectory(StorePort store, TimerPort timers, std::string table, Decode decode, std::function<void()> changed);
    /// The newest worker of each VM; an older one has ended with everything on it, though its row may stay for a while.
    std::vector<WorkerRegistration> workersOf(const std::string &service) const;
    /// Workers whose VM has a newer worker, in any pool.
    std::set<std::string> replacedWorkers() const;
    bool isLoaded() const
    {
        return m_loaded;
    }
    /// Rows that named no usable worker.
    std::uint64_t malformedRows() const
    {
        return m_malformed;
    }

private:
    void applyRow(const Row &row);

    Decode m_decode;
    std::function<void()> m_changed;
    std::map<std::string, WorkerRegistration> m_workers;
    std::uint64_t m_malformed = 0;
    bool m_loaded = false;
    TableFollower m_follower;
};

} // namespace hibiscusbridge::jobs
