// The pools that each queue's jobs were accepted for, so that a job is found after its queue has moved to another pool.
//
// An entry accepts a job for a pool only after it has received the row that records the queue with that pool. Rows arrive in the order of
// their versions, so of two entries that accept jobs of one queue for different pools at least one knows both pools.
#pragma once

#include "model/queues.hpp"
#include "ports/store.hpp"
#include "ports/timer.hpp"
#include "shards/workerdirectory.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscusbridge::jobs
{

/// A pool that jobs of a queue were accepted for, and the name that the queue had then.
struct QueuePool {
    std::string pool;
    std::string route;

    bool operator==(const QueuePool &) const = default;
};

/// The row that records the queue with its present pool.
RowPut queuePoolRow(const Queue &queue);

class QueuePools
{
public:
    struct Ports {
        StorePort store;
        TimerPort timers;
        Clock clock;
        /// Called when a pool was recorded.
        std::function<void()> changed;
    };

    explicit QueuePools(Ports ports);
    ~QueuePools();
    QueuePools(const QueuePools &) = delete;
    QueuePools &operator=(const QueuePools &) = delete;
    void start()
    {
        m_follower.start();
    }

    /// True if no row that was stored some seconds ago can be missing.
    bool isCurrent() const;
    /// The queue's present pool, then those recorded for the same host and path, the latest first.
    std::vector<QueuePool> of(const Queue &queue) const;
    /// All recorded pools.
    std::set<std::string> pools() const;
    /// Stores that jobs of the queue are accepted for its present pool, unless it is known. `done` may run from within the call, with false
    /// if the row has not arrived in time.
    void record(const Queue &queue, std::function<void(bool)> done);

private:
    /// Host and path prefix.
    using QueuePath = std::pair<std::string, std::string>;

    void applyRow(const Row &row);
    bool isRecorded(const Queue &queue) const;
    void finish(const std::string &key, bool recorded);

    Ports m_ports;
    /// By the version of the row.
    std::map<QueuePath, std::map<std::uint64_t, QueuePool>> m_pools;
    /// Callbacks of `record` by the key of the row.
    std::map<std::string, std::vector<std::function<void(bool)>>> m_waiting;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    TableFollower m_follower;
};

} // namespace hibiscusbridge::jobs
