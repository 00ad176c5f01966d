// In-memory implementation of the platform's store.
#include "fakes/fakestore.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace hibiscusbridge::jobs
{

/// Interval at which a waiting feed checks for changes.
constexpr Millis feedPollInterval{10};

FakeStore::FakeStore(FakeLoop &loop)
    : m_loop(loop)
{
}

void FakeStore::put(const RowKey &key, const std::string &value)
{
    m_rows[{key.table, key.part, key.key}] = {value, ++m_version, false};
}

void FakeStore::remove(const RowKey &key)
{
    m_rows[{key.table, key.part, key.key}] = {"", ++m_version, true};
}

std::string FakeStore::value(const RowKey &key) const
{
    const auto it = m_rows.find({key.table, key.part, key.key});
    return it != m_rows.end() && !it->second.removed ? it->second.value : std::string();
}

CommitResult FakeStore::apply(const RowTransaction &tx)
{
    CommitResult result{.outcome = CommitOutcome::Applied};
    for (const auto &[key, version] : tx.conditions) {
        const auto it = m_rows.find({key.table, key.part, key.key});
        const bool exists = it != m_rows.end() && !it->second.removed;
        const auto current = exists ? it->second.version : 0;
        if (current != version) {
            result.outcome = CommitOutcome::Conflict;
        }
        result.current.push_back({key, exists ? it->second.value : std::string(), current, false});
    }
    if (result.outcome == CommitOutcome::Conflict) {
        return result;
    }
    result.current.clear();
    result.version = ++m_version;
    for (const auto &[key, value] : tx.puts) {
        m_rows[{key.table, key.part, key.key}] = {value, m_version, false};
    }
    for (const auto &key : tx.removes) {
        m_rows[{key.table, key.part, key.key}] = {"", m_version, true};
    }
    return result;
}

bool FakeStore::isWithinRate()
{
    const Millis second{m_loop.now().count / 1'000};
    if (m_rateSecond != second) {
        m_rateSecond = second;
        m_writesInSecond = 0;
    }
    return writesPerSecond == 0 || ++m_writesInSecond <= writesPerSecond;
}

bool FakeStore::isWithinLimits(const RowTransaction &tx) const
{
    // Keys, punctuation and base64, which turns three bytes into four.
    constexpr std::size_t entryBytes = 120;
    const auto entries = tx.conditions.size() + tx.puts.size() + tx.removes.size();
    auto bytes = entries * entryBytes;
    for (const auto &it : tx.puts) {
        if (it.value.size() > maxRowBytes) {
            return false;
        }
        bytes += it.value.size() * 4 / 3;
    }
    return entries <= maxEntries && bytes <= maxCallBytes;
}

void FakeStore::enqueue(const RowTransaction &tx, Millis timeout, const std::function<void(CommitResult)> &done)
{
    auto &busyUntil = m_partBusyUntil[tx.puts.empty() ? std::string() : tx.puts.front().key.part];
    busyUntil = std::max(busyUntil, m_loop.now());
    if (busyUntil - m_loop.now() > maxPartWait) {
        return done({.outcome = CommitOutcome::Refused, .error = "HTTP status 429"});
    }
    busyUntil = busyUntil + transactionTime;
    const auto answered = std::make_shared<bool>(false);
    m_loop.timers().after(busyUntil - m_loop.now(), [this, tx, answered, done] {
        auto result = apply(tx);
        if (!std::exchange(*answered, true)) {
            done(std::move(result));
        }
    });
    m_loop.timers().after(timeout, [answered, done] {
        if (!std::exchange(*answered, true)) {
            done({.error = "no response"});
        }
    });
}

ReadResult FakeStore::readNow(const RowRange &range) const
{
    ReadResult result{.outcome = ReadOutcome::Answered, .version = m_version, .storeClock = m_loop.now()};
    for (auto it = m_rows.lower_bound({range.table, range.part, range.from}); it != m_rows.end(); ++it) {
        const auto &[table, part, key] = it->first;
        if (table != range.table || part != range.part || (!range.to.empty() && key >= range.to)) {
            break;
        }
        if (it->second.removed) {
            continue;
        }
        if (static_cast<int>(result.rows.size()) == range.limit) {
            result.hasMore = true;
            break;
        }
        result.rows.push_back({{table, part, key}, it->second.value, it->second.version, false});
    }
    return result;
}

void FakeStore::feed(const std::string &client,
                     const std::string &table,
                     std::uint64_t after,
                     Millis until,
                     const std::shared_ptr<bool> &answered,
                     const std::function<void(ReadResult)> &done)
{
    if (*answered) {
        return;
    }
    if (isReachable(client) && !refusing && !silentFeeds.contains(table)) {
        ReadResult result{.outcome = after < m_historyFrom ? ReadOutcome::HistoryLost : ReadOutcome::Answered,
                          .version = m_version,
                          .storeClock = m_loop.now()};
        std::map<std::uint64_t, std::vector<Row>> changed;
        for (const auto &[key, row] : m_rows) {
            if (std::get<0>(key) == table && row.version > after) {
                changed[row.version].push_back({{table, std::get<1>(key), std::get<2>(key)}, row.value, row.version, row.removed});
            }
        }
        for (auto &[version, rows] : changed) {
            result.rows.insert(result.rows.end(), rows.begin(), rows.end());
        }
        if (result.outcome == ReadOutcome::HistoryLost || !result.rows.empty() || m_loop.now() >= until) {
            *answered = true;
            return done(std::move(result));
        }
    }
    m_loop.timers().after(feedPollInterval,
                          [this, client, table, after, until, answered, done] { feed(client, table, after, until, answered, done); });
}

StorePort FakeStore::port(const std::string &client)
{
    StorePort port;
    port.commit = [this, client](const RowTransaction &tx, Millis timeout, std::function<void(CommitResult)> done) {
        if (!isReachable(client)) {
            return m_loop.timers().after(timeout, [done = std::move(done)] { done({.error = "no response"}); });
        }
        m_loop.timers().after(latency, [this, tx, timeout, done = std::move(done)] {
            if (refusing) {
                return done({.outcome = CommitOutcome::Refused, .error = "HTTP status 503"});
            }
            if (!isWithinLimits(tx)) {
                ++oversized;
                return done({.outcome = CommitOutcome::Invalid, .error = "HTTP status 413"});
            }
            if (!isWithinRate()) {
                return done({.outcome = CommitOutcome::Refused, .error = "HTTP status 429"});
            }
            if (transactionTime.count > 0) {
                return enqueue(tx, timeout, done);
            }
            const bool lost = loseResponseEvery > 0 && ++transactions % loseResponseEvery == 0 && loss != Loss::None;
            if (!lost) {
                return done(apply(tx));
            }
            if (loss == Loss::Applied) {
                apply(tx);
            } else {
                m_loop.timers().after(applyDelay, [this, tx] { apply(tx); });
            }
            m_loop.timers().after(timeout, [done] { done({.error = "no response"}); });
        });
    };
    port.read = [this, client](const RowRange &range, Millis timeout, std::function<void(ReadResult)> done) {
        if (!isReachable(client)) {
            return m_loop.timers().after(timeout, [done = std::move(done)] { done({.error = "no response"}); });
        }
        m_loop.timers().after(
            latency, [this, range, done = std::move(done)] { done(refusing ? ReadResult{.error = "HTTP status 503"} : readNow(range)); });
    };
    port.feed = [this,
                 client](const std::string &table, std::uint64_t after, Millis wait, Millis timeout, std::function<void(ReadResult)> done) {
        const auto answered = std::make_shared<bool>(false);
        if (refusing && isReachable(client)) {
            return m_loop.timers().after(latency, [done = std::move(done)] { done({.error = "HTTP status 503"}); });
        }
        m_loop.timers().after(timeout, [answered, done] {
            if (!*answered) {
                *answered = true;
                done({.error = "no response"});
            }
        });
        m_loop.timers().after(latency, [this, client, table, after, wait, answered, done = std::move(done)] {
            feed(client, table, after, m_loop.now() + wait, answered, done);
        });
    };
    return port;
}

} // namespace hibiscusbridge::jobs
