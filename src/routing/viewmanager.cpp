// Polling of the platform and exchange of deltas with peers.
#include "routing/viewmanager.hpp"

#include "helpers/ids.hpp"
#include "helpers/log.hpp"

#include <algorithm>

namespace hibiscusbridge
{

ViewManager::ViewManager(Identity self, TablePort table, PeerPort peers, TimerPort timers, Clock clock)
    : m_self(std::move(self))
    , m_table(std::move(table))
    , m_peers(std::move(peers))
    , m_timers(std::move(timers))
    , m_clock(std::move(clock))
{
}

void ViewManager::start()
{
    poll();
}

void ViewManager::onChange(std::function<void()> listener)
{
    m_listeners.push_back(std::move(listener));
}

void ViewManager::noteVersion(std::uint64_t version)
{
    m_knownVersion = std::max(m_knownVersion, version);
}

void ViewManager::after(Millis delay, void (ViewManager::*step)())
{
    m_timers.after(delay, [this, step, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            (this->*step)();
        }
    });
}

void ViewManager::poll()
{
    const auto number = ++m_polls;
    const auto requestedAt = m_clock.boot();
    const auto knownVersion = m_knownVersion;
    m_outstanding = number;
    const std::weak_ptr<bool> alive = m_alive;
    m_timers.after(pollDeadline, [this, number, alive] {
        if (!alive.expired()) {
            finishPoll(number, false);
        }
    });
    m_table.read({.prefix = std::string(viewPrefix), .since = m_view.version},
                 [this, number, requestedAt, knownVersion, alive](auto result) {
                     if (alive.expired()) {
                         return;
                     }
                     takeRead(result, requestedAt, knownVersion);
                     finishPoll(number, result.ok());
                 });
}

void ViewManager::finishPoll(std::uint64_t poll, bool isSuccess)
{
    if (m_outstanding != poll) {
        return;
    }
    m_outstanding = 0;
    m_failures = isSuccess ? 0 : m_failures + 1;
    if (m_failures == 1) {
        logEvent(LogLevel::Warn, "view_poll_failed", {{"view_version", m_view.version}});
    }
    after(nextDelay(), &ViewManager::poll);
}

Millis ViewManager::nextDelay()
{
    if (m_failures == 0) {
        return pollInterval;
    }
    const auto limit = std::min(pollBackoffLimit, pollInterval / 2 * (std::int64_t{1} << std::min(m_failures, 8U)));
    // Half of the delay is jitter, so that entries do not retry in step after an outage.
    const auto jitter = stableHash(m_self.id + "/" + std::to_string(m_polls)) % static_cast<std::uint64_t>(limit.count / 2);
    return limit / 2 + Millis{static_cast<std::int64_t>(jitter)};
}

void ViewManager::takeRead(const absl::StatusOr<ReadResult> &result, Millis requestedAt, std::uint64_t knownVersion)
{
    if (!result.ok()) {
        return;
    }
    if (result->version < std::max(m_view.version, knownVersion)) {
        logEvent(LogLevel::Info, "view_read_is_older", {{"version", result->version}, {"view_version", m_view.version}});
    }
    apply(result->version, result->rows, "platform");
    // A delta from a peer may overtake the answer, so only versions known at the request make a read an older one.
    if (result->version >= knownVersion && (!m_lastRead || *m_lastRead < requestedAt)) {
        m_lastRead = requestedAt;
    }
}

void ViewManager::apply(std::uint64_t version, const std::vector<Row> &rows, std::string_view source)
{
    if (version <= m_view.version) {
        return;
    }
    for (const auto &key : applyRows(m_view, version, rows)) {
        logEvent(LogLevel::Error, "view_row_malformed", {{"key", key}, {"source", source}});
    }
    noteVersion(version);
    for (const auto &listener : m_listeners) {
        listener();
    }
}

void ViewManager::receiveHeartbeat(const wire::Heartbeat &heartbeat)
{
    noteVersion(heartbeat.view_version());
    const auto now = m_clock.boot();
    const bool isTooSoon = m_lastDeltaRequest && now - *m_lastDeltaRequest < deltaRequestSpacing;
    if (heartbeat.view_version() <= m_view.version || isTooSoon) {
        return;
    }
    m_lastDeltaRequest = now;
    wire::Envelope envelope;
    envelope.set_sender(m_self.id);
    envelope.set_incarnation(m_self.incarnation);
    envelope.mutable_view_request()->set_since(m_view.version);
    m_peers.send(heartbeat.address(), envelope);
}

void ViewManager::answer(const wire::ViewRequest &request, const std::string &address) const
{
    if (m_view.version <= request.since()) {
        return;
    }
    wire::Envelope envelope;
    envelope.set_sender(m_self.id);
    envelope.set_incarnation(m_self.incarnation);
    auto &delta = *envelope.mutable_view_delta();
    delta.set_since(request.since());
    delta.set_version(m_view.version);
    for (const auto &[key, row] : m_view.rows) {
        if (row.version <= request.since()) {
            continue;
        }
        auto &out = *delta.add_rows();
        out.set_key(key);
        out.set_version(row.version);
        if (row.value) {
            out.set_value(*row.value);
        }
    }
    m_peers.send(address, envelope);
}

void ViewManager::receiveDelta(const wire::ViewDelta &delta)
{
    if (delta.since() > m_view.version) {
        return; // Rows between the two versions would be missing.
    }
    std::vector<Row> rows;
    for (const auto &it : delta.rows()) {
        rows.push_back({it.key(), it.has_value() ? std::optional(it.value()) : std::nullopt, it.version()});
    }
    apply(delta.version(), rows, "peer");
}

} // namespace hibiscusbridge
