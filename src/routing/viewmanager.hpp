// Keeps the routing view current: polls the platform and exchanges deltas with peers.
#pragma once

#include "model/view.hpp"
#include "ports/peer.hpp"
#include "ports/timer.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusbridge
{

inline constexpr Millis pollInterval{1'000};
inline constexpr Millis pollDeadline{1'000};
inline constexpr Millis pollBackoffLimit{4'000};
/// Shortest time between two requests for a delta to peers.
inline constexpr Millis deltaRequestSpacing{250};

/// One poll is outstanding at a time. An answer that arrives after its deadline is still applied, because its age
/// counts from its request.
class ViewManager
{
public:
    struct Identity {
        std::string id;
        std::uint64_t incarnation = 0;
    };

    ViewManager(Identity self, TablePort table, PeerPort peers, TimerPort timers, Clock clock);

    /// Starts polling.
    void start();
    const View &view() const
    {
        return m_view;
    }
    /// Boot clock of the request of the last read that was not older than any version known when it was sent.
    std::optional<Millis> lastRead() const
    {
        return m_lastRead;
    }
    /// False until a view came from the platform or a peer.
    bool isReady() const
    {
        return m_view.version > 0;
    }
    /// Adds a function that runs after each change of the view's rows or version.
    void onChange(std::function<void()> listener);
    /// A version that a peer or a commit has shown to exist. Older reads do not count as fresh afterwards.
    void noteVersion(std::uint64_t version);
    /// Takes in a heartbeat: asks its sender for a delta when it shows a newer version.
    void receiveHeartbeat(const wire::Heartbeat &heartbeat);
    /// Answers with the rows that changed after the requested version.
    void answer(const wire::ViewRequest &request, const std::string &address) const;
    /// Applies a peer's delta unless it leaves a gap or is not newer.
    void receiveDelta(const wire::ViewDelta &delta);

private:
    void poll();
    void finishPoll(std::uint64_t poll, bool isSuccess);
    void takeRead(const absl::StatusOr<ReadResult> &result, Millis requestedAt, std::uint64_t knownVersion);
    void apply(std::uint64_t version, const std::vector<Row> &rows, std::string_view source);
    Millis nextDelay();
    void after(Millis delay, void (ViewManager::*step)());

    Identity m_self;
    TablePort m_table;
    PeerPort m_peers;
    TimerPort m_timers;
    Clock m_clock;
    View m_view;
    std::optional<Millis> m_lastRead;
    std::uint64_t m_knownVersion = 0;
    /// Number of the outstanding poll, 0 for none.
    std::uint64_t m_outstanding = 0;
    std::uint64_t m_polls = 0;
    std::uint32_t m_failures = 0;
    std::optional<Millis> m_lastDeltaRequest;
    std::vector<std::function<void()>> m_listeners;
    /// Callbacks that outlive the manager find this expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
