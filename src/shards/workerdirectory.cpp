// Table follower and worker directory.
#include "shards/workerdirectory.hpp"

#include "helpers/log.hpp"

#include <exception>

namespace hibiscusbridge::jobs
{

/// Wait of the long poll on a feed; also bounds the time until a dead connection is detected. Configurations must take effect
/// within 2 s.
constexpr Millis feedWait{1'500};
constexpr Millis feedTimeout{1'900};
constexpr Millis readTimeout{1'500};
/// Every worker writes its row with each heartbeat, so that without a pause each answer would hold one or two rows.
constexpr Millis workerFeedInterval{200};
constexpr Millis retryDelay{200};

TableFollower::TableFollower(StorePort store, TimerPort timers, Clock clock, std::string table, std::string part, Callbacks callbacks)
    : m_store(std::move(store))
    , m_timers(std::move(timers))
    , m_clock(std::move(clock))
    , m_table(std::move(table))
    , m_part(std::move(part))
    , m_callbacks(std::move(callbacks))
{
}

TableFollower::~TableFollower()
{
    *m_alive = false;
}

void TableFollower::start()
{
    m_rows.clear();
    m_firstPage = true;
    m_current = false;
    readPage("");
}

void TableFollower::retry(std::function<void()> fn)
{
    m_timers.after(retryDelay, [alive = m_alive, fn = std::move(fn)] {
        if (*alive) {
            fn();
        }
    });
}

void TableFollower::readPage(const std::string &from)
{
    const auto sentAt = m_clock.boot();
    m_store.read({m_table, m_part, from, ""}, readTimeout, [this, alive = m_alive, sentAt](ReadResult result) {
        if (!*alive) {
            return;
        }
        if (result.outcome != ReadOutcome::Answered) {
            logEvent(LogLevel::Warn, "table_read_failed", {{"table", m_table}, {"error", result.error}});
            return retry([this] { start(); });
        }
        if (m_firstPage) {
            m_version = result.version; // Later pages may be newer; the feed delivers their changes again.
            m_currentAsOf = result.storeClock;
            m_confirmedAt = sentAt;
            m_firstPage = false;
        }
        for (auto &it : result.rows) {
            m_rows.push_back(std::move(it));
        }
        if (result.hasMore && !m_rows.empty()) {
            return readPage(m_rows.back().key.key + std::string(1, '\x01'));
        }
        m_current = true;
        m_callbacks.replaced(std::move(m_rows));
        m_rows.clear();
        if (*alive) {
            follow();
        }
    });
}

void TableFollower::follow()
{
    const auto sentAt = m_clock.boot();
    // After a failure the first answer is wanted at once: until then changes may have been missed.
    const auto wait = m_current ? feedWait : Millis{0};
    m_store.feed(m_table, m_version, wait, m_current ? feedTimeout : readTimeout, [this, alive = m_alive, sentAt](ReadResult result) {
        if (!*alive) {
            return;
        }
        if (result.outcome == ReadOutcome::HistoryLost) {
            logEvent(LogLevel::Warn, "history_lost", {{"table", m_table}, {"version", m_version}});
            m_receivedBeforeRead = m_version;
            return start();
        }
        if (result.outcome != ReadOutcome::Answered) {
            if (m_current) {
                logEvent(LogLevel::Warn, "feed_lost", {{"table", m_table}, {"error", result.error}});
            }
            m_current = false;
            return retry([this] { follow(); });
        }
        if (!m_current) {
            logEvent(LogLevel::Info, "feed_regained", {{"table", m_table}});
        }
        m_current = true;
        m_version = std::max(m_version, result.version);
        m_currentAsOf = result.storeClock;
        m_confirmedAt = sentAt;
        std::erase_if(result.rows, [this](const Row &it) { return it.key.part != m_part; });
        if (!result.rows.empty()) {
            m_callbacks.changed(std::move(result.rows));
        }
        if (!*alive) {
            return;
        }
        if (m_callbacks.interval.count == 0) {
            return follow();
        }
        m_timers.after(m_callbacks.interval, [this, alive] {
            if (*alive) {
                follow();
            }
        });
    });
}

WorkerDirectory::WorkerDirectory(Ports ports)
    : m_ports(std::move(ports))
    , m_follower(m_ports.store,
                 m_ports.timers,
                 m_ports.clock,
                 m_ports.table,
                 "",
                 {.replaced =
                      [this](const std::vector<Row> &rows) {
                          m_workers.clear(); // Rows that were removed meanwhile are unknown.
                          for (const auto &it : rows) {
                              applyRow(it);
                          }
                          m_loaded = true;
                          m_ports.changed();
                      },
                  .changed =
                      [this](const std::vector<Row> &rows) {
                          for (const auto &it : rows) {
                              applyRow(it);
                          }
                          m_ports.changed();
                      },
                  .interval = workerFeedInterval})
{
    m_follower.start();
}

void WorkerDirectory::applyRow(const Row &row)
{
    if (row.removed) {
        if (const auto it = m_workers.find(row.key.key); it != m_workers.end() && !it->second.vm.empty()) {
            m_removed[it->second.vm] = {it->first, it->second.incarnationStart};
        }
        m_workers.erase(row.key.key);
        return;
    }
    std::optional<WorkerRegistration> worker;
    try {
        worker = m_ports.decode(row);
    } catch (const std::exception &ec) {
        // One row must not end the following of the table.
        logEvent(LogLevel::Error, "worker_row_not_decoded", {{"key", row.key.key}, {"error", ec.what()}});
    }
    if (!worker) {
        ++m_malformed;
        logEvent(LogLevel::Warn, "worker_row_malformed", {{"key", row.key.key}, {"bytes", row.value.size()}, {"count", m_malformed}});
        m_workers.erase(row.key.key);
        return;
    }
    m_workers[worker->id] = std::move(*worker);
}

std::set<std::string> WorkerDirectory::replacedWorkers() const
{
    std::map<std::string, const WorkerRegistration *> newest;
    std::set<std::string> replaced;
    for (const auto &[id, worker] : m_workers) {
        if (worker.vm.empty() || worker.incarnationStart == 0 || !m_ports.isService(worker.service)) {
            continue;
        }
        auto &known = newest[worker.vm];
        if (!known) {
            known = &worker;
            continue;
        }
        if (known->incarnationStart == worker.incarnationStart) {
            continue; // Neither has followed the other; one may be a copy that another program left.
        }
        replaced.insert(known->incarnationStart < worker.incarnationStart ? known->id : id);
        known = known->incarnationStart < worker.incarnationStart ? &worker : known;
    }
    for (const auto &[vm, removed] : m_removed) {
        const auto it = newest.find(vm);
        if (it != newest.end() && it->second->id != removed.id && it->second->incarnationStart > removed.incarnationStart) {
            replaced.insert(removed.id);
        }
    }
    return replaced;
}

std::vector<WorkerRegistration> WorkerDirectory::workersOf(const std::string &service) const
{
    const auto replaced = replacedWorkers();
    std::vector<WorkerRegistration> workers;
    for (const auto &[id, worker] : m_workers) {
        if (worker.service == service && !replaced.contains(id)) {
            workers.push_back(worker);
        }
    }
    return workers;
}

} // namespace hibiscusbridge::jobs
