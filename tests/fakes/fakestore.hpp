// The platform's store in memory, with the faults that it may have.
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

    /// The store as the client of this name isReachable it.
    StorePort port(const std::string &client);
    /// Writes without a client, as the operator does.
    void put(const RowKey &key, const std::string &value);
    void remove(const RowKey &key);
    std::string value(const RowKey &key) const;
    std::uint64_t version() const
    {
        return m_version;
    }
    /// Feeds from earlier versions get lost history from now on.
    void discardHistory()
    {
        m_historyFrom = m_version;
    }

    /// What happens to a transaction whose answer is lost.
    enum class Loss {
        None,
        Applied,
        AppliedLater,
    };

    /// Answers nothing.
    bool unresponsive = false;
    /// Refuses every call.
    bool refusing = false;
    /// Clients without an answer.
    std::set<std::string> disconnected;
    Millis latency{4};
    /// Every n-th transaction loses its answer; 0 for none.
    int loseResponseEvery = 0;
    Loss loss = Loss::None;
    Millis applyDelay{2'500};
    int transactions = 0;

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Stored {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    CommitResult apply(const RowTransaction &tx);
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
};

} // namespace hibiscusbridge::jobs
