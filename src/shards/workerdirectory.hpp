// Directory of the fleet's registered workers, kept up to date through a table feed while this entry owns a shard.
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

/// Reads a table once and then follows its feed. Reads the table again if the feed's history was lost.
class TableFollower
{
public:
    struct Callbacks {
        /// Receives all rows of the followed part, after the first read and after each loss of history.
        std::function<void(std::vector<Row>)> replaced;
        /// Receives the rows of the followed part that have changed.
        std::function<void(std::vector<Row>)> changed;
        /// Minimum time between an answer of the feed and the next request.
        Millis interval{};
    };

    TableFollower(StorePort store, TimerPort timers, Clock clock, std::string table, std::string part, Callbacks callbacks);
    ~TableFollower();
    void start();
    bool isCurrent() const
    {
        return m_current;
    }
    /// Store clock: all changes stored before this time have been received; 0 before the first read.
    Millis currentAsOf() const
    {
        return m_currentAsOf;
    }
    /// Boot clock: when the last answered read was sent, so that changes stored before this time have been received; 0 before the
    /// first read.
    Millis confirmedAt() const
    {
        return m_confirmedAt;
    }

    /// All changes up to this version had been received when the table was last read again; 0 until then.
    std::uint64_t receivedBeforeRead() const
    {
        return m_receivedBeforeRead;
    }

private:
    void readPage(const std::string &from);
    void follow();
    void retry(std::function<void()> fn);

    StorePort m_store;
    TimerPort m_timers;
    Clock m_clock;
    std::string m_table;
    std::string m_part;
    Callbacks m_callbacks;
    std::vector<Row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_receivedBeforeRead = 0;
    bool m_firstPage = true;
    bool m_current = false;
    Millis m_currentAsOf;
    Millis m_confirmedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

class WorkerDirectory
{
public:
    using Decode = std::function<std::optional<WorkerRegistration>(const Row &)>;

    struct Ports {
        StorePort store;
        TimerPort timers;
        Clock clock;
        std::string table;
        Decode decode;
        /// Whether the configuration names the service. Rows of other services may come from any writer and are ignored.
        std::function<bool(const std::string &service)> isService;
        std::function<void()> changed;
    };

    explicit WorkerDirectory(Ports ports);
    /// Returns the newest worker of each VM that runs the service. Older workers of the VM have ended with all their runs, but
    /// their rows may remain for a while.
    std::vector<WorkerRegistration> workersOf(const std::string &service) const;
    /// Returns the workers whose VM has a newer worker, in any pool.
    std::set<std::string> replacedWorkers() const;
    bool isLoaded() const
    {
        return m_loaded;
    }
    /// Number of rows read that could not be decoded.
    std::uint64_t malformedRows() const
    {
        return m_malformed;
    }

private:
    void applyRow(const Row &row);

    struct RemovedWorker {
        std::string id;
        std::int64_t incarnationStart = 0;
    };

    Ports m_ports;
    std::map<std::string, WorkerRegistration> m_workers;
    /// The worker of each VM whose row was removed last. A crashed worker's row may go before its VM has a new worker.
    std::map<std::string, RemovedWorker> m_removed;
    std::uint64_t m_malformed = 0;
    bool m_loaded = false;
    TableFollower m_follower;
};

} // namespace hibiscusbridge::jobs
