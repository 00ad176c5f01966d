// Records the pools of the queues and follows the records of other entries.
#include "shards/queuepools.hpp"

#include "helpers/ids.hpp"
#include "helpers/json.hpp"
#include "helpers/log.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

constexpr const char *queuePoolTable = "queue-pools";
constexpr const char *queuePoolPart = "all";
constexpr Millis writeTimeout{900};
/// A row that is not received within this time after its write counts as not recorded.
constexpr Millis recordTimeout{1'500};
/// Covers the wait of the feed under way, that of one that failed, and the next request to a slow store.
constexpr Millis maxAge{5'000};

RowPut queuePoolRow(const Queue &queue)
{
    const auto hash = sha256Hex(queue.host + '\n' + queue.pathPrefix + '\n' + queue.pool + '\n' + queue.name);
    const Json json{{"host", queue.host}, {"prefix", queue.pathPrefix}, {"pool", queue.pool}, {"route", queue.name}};
    return {{queuePoolTable, queuePoolPart, hash}, json.dump()};
}

QueuePools::QueuePools(Ports ports)
    : m_ports(std::move(ports))
    , m_follower(m_ports.store,
                 m_ports.timers,
                 m_ports.clock,
                 queuePoolTable,
                 queuePoolPart,
                 {.replaced =
                      [this](const std::vector<Row> &rows) {
                          for (const auto &it : rows) {
                              applyRow(it);
                          }
                          m_ports.changed();
                      },
                  .changed =
                      [this](const std::vector<Row> &rows) {
                          for (const auto &it : rows) {
                              applyRow(it);
                          }
                          m_ports.changed();
                      }})
{
}

QueuePools::~QueuePools()
{
    *m_alive = false;
}

void QueuePools::applyRow(const Row &row)
{
    const auto json = parseJson(row.value);
    if (row.removed || !json.is_object() || textOf(json, "pool").empty()) {
        return logEvent(LogLevel::Error, "queue_pool_unreadable", {{"key", row.key.key}, {"removed", row.removed}});
    }
    const QueuePool recorded{textOf(json, "pool"), textOf(json, "route")};
    m_pools[{textOf(json, "host"), textOf(json, "prefix")}].emplace(row.version, recorded);
    finish(row.key.key, true);
}

void QueuePools::finish(const std::string &key, bool recorded)
{
    if (auto waiting = m_waiting.extract(key); !waiting.empty()) {
        for (const auto &it : waiting.mapped()) {
            it(recorded);
        }
    }
}

bool QueuePools::isCurrent() const
{
    return m_follower.confirmedAt().count > 0 && m_ports.clock.boot() - m_follower.confirmedAt() <= maxAge;
}

std::vector<QueuePool> QueuePools::of(const Queue &queue) const
{
    std::vector<QueuePool> pools{{queue.pool, queue.name}};
    const auto recorded = m_pools.find({queue.host, queue.pathPrefix});
    if (recorded == m_pools.end()) {
        return pools;
    }
    for (auto it = recorded->second.rbegin(); it != recorded->second.rend(); ++it) {
        if (std::find(pools.begin(), pools.end(), it->second) == pools.end()) {
            pools.push_back(it->second);
        }
    }
    return pools;
}

std::set<std::string> QueuePools::pools() const
{
    std::set<std::string> pools;
    for (const auto &[path, recorded] : m_pools) {
        for (const auto &[version, it] : recorded) {
            pools.insert(it.pool);
        }
    }
    return pools;
}

bool QueuePools::isRecorded(const Queue &queue) const
{
    const auto recorded = m_pools.find({queue.host, queue.pathPrefix});
    return recorded != m_pools.end() && std::any_of(recorded->second.begin(), recorded->second.end(), [&](const auto &it) {
               return it.second == QueuePool{queue.pool, queue.name};
           });
}

void QueuePools::record(const Queue &queue, std::function<void(bool)> done)
{
    if (isRecorded(queue)) {
        return done(true);
    }
    auto row = queuePoolRow(queue);
    const auto key = row.key;
    auto &waiting = m_waiting[key.key];
    waiting.push_back(std::move(done));
    if (waiting.size() > 1) {
        return;
    }
    RowTransaction tx;
    tx.conditions.push_back({key, 0});
    tx.puts.push_back(std::move(row));
    // Whatever the outcome, the row counts when it arrives with the feed.
    m_ports.store.commit(std::move(tx), writeTimeout, [this, alive = m_alive, key](const CommitResult &result) {
        if (*alive && result.outcome != CommitOutcome::Applied && result.outcome != CommitOutcome::Conflict) {
            logEvent(LogLevel::Warn, "queue_pool_not_stored", {{"key", key.key}, {"error", result.error}});
            finish(key.key, false);
        }
    });
    m_ports.timers.after(recordTimeout, [this, alive = m_alive, key] {
        if (*alive) {
            finish(key.key, false);
        }
    });
}

} // namespace hibiscusbridge::jobs
