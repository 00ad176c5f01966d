// In-memory implementation of the platform's store with fault injection.
#pragma once

#include "fakes/fakeloop.hpp"
#include "ports/store.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>

namespace hibiscusbridge::jobs
{

class FakeStore
{
public:
    explicit FakeStore(FakeLoop &loop);

    /// Port for the named client, subject to the faults injected for that client.
    StorePort port(const std::string &client);
    /// Writes directly, bypassing faults and latency, as an operator does.
    void put(const RowKey &key, const std::string &value);
    void remove(const RowKey &key);
    std::string value(const RowKey &key) const;
    std::uint64_t version() const
    {
        return m_version;
    }
    /// Feeds from versions before the current one fail with HistoryLost from now on.
    void discardHistory()
    {
        m_historyFrom = m_version;
    }

    /// Whether and when a transaction whose response is lost is applied.
    enum class Loss {
        None,
        Applied,
        AppliedLater,
    };

    /// No call gets a response.
    bool unresponsive = false;
    /// Every call is rejected.
    bool refusing = false;
    /// Clients whose calls get no response.
    std::set<std::string> disconnected;
    /// Tables whose feeds get no response.
    std::set<std::string> silentFeeds;
    Millis latency{4};
    /// Every n-th transaction loses its response; 0 disables the fault.
    int loseResponseEvery = 0;
    Loss loss = Loss::None;
    /// Delay of a transaction under Loss::AppliedLater.
    Millis applyDelay{2'500};
    int transactions = 0;
    /// Time that a part takes for one transaction; it handles them one after another and rejects a transaction that would wait
    /// for longer than `maxPartWait`. 0 disables the queue.
    Millis transactionTime{0};
    Millis maxPartWait{1'000};
    /// Transactions of all clients in one second; further ones are rejected. 0 disables the limit.
    int writesPerSecond = 0;
    /// Limits of a transaction, as the platform's store has them.
    std::size_t maxRowBytes = 65'536;
    std::size_t maxCallBytes = 1'000'000;
    std::size_t maxEntries = 100;
    /// Transactions that exceeded one of them.
    int oversized = 0;

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Stored {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    CommitResult apply(const RowTransaction &tx);
    bool isWithinRate();
    bool isWithinLimits(const RowTransaction &tx) const;
    /// Applies the transaction when its part comes to it.
    void enqueue(const RowTransaction &tx, Millis timeout, const std::function<void(CommitResult)> &done);
    ReadResult readNow(const RowRange &range) const;
    void feed(const std::string &client,
              const std::string &table,
              std::uint64_t after,
              Millis until,
              const std::shared_ptr<bool> &answered,
              const std::function<void(ReadResult)> &done);
    bool isReachable(const std::string &client) const
    {
        return !unresponsive && !disconnected.contains(client);
    }

    FakeLoop &m_loop;
    std::map<Key, Stored> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_historyFrom = 0;
    /// When each part has handled all transactions that it has taken.
    std::map<std::string, Millis> m_partBusyUntil;
    Millis m_rateSecond;
    int m_writesInSecond = 0;
};

} // namespace hibiscusbridge::jobs
