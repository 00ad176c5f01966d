// The life cycle of a caller's request from acceptance to answer.
#pragma once

#include "model/view.hpp"
#include "ports/slots.hpp"
#include "ports/target.hpp"
#include "ports/timer.hpp"
#include "requests/oncemanager.hpp"
#include "requests/retrybudget.hpp"
#include "requests/targethealth.hpp"

#include <absl/status/status.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace hibiscusbridge
{

/// What the request manager needs from the rest of the entry.
struct RequestPorts {
    TargetPort target;
    SlotPort slots;
    Clock clock;
    /// The current view; a reference is valid until the next turn of the loop.
    std::function<const View &()> view;
    /// Whether this entry may send requests now; the reason when not.
    std::function<absl::Status()> mayServe;
};

/// Invariants: a request is answered once; a lease is released once; a request is never sent twice to one VM, and after
/// a byte of it may have left it is sent again only when its method is repeatable and it has no Idempotency-Key.
class RequestManager
{
public:
    using Callback = std::function<void(CallerResponse)>;

    RequestManager(RequestPorts ports, OnceManager &once, RequestCounters &counters);

    /// Calls back once, possibly from within the call, unless the caller has gone. Returns the request's id.
    std::string handle(CallerRequest request, Callback callback);
    /// The caller's connection is closed: it gets no answer. A request with an Idempotency-Key goes on, so that its
    /// outcome is recorded; another one is not sent any more.
    void callerGone(std::string_view requestId);

    /// Requests in flight to each VM, VMs without any left out.
    const std::map<std::string, std::uint32_t, std::less<>> &inFlight() const
    {
        return m_inFlight;
    }
    /// Requests without an answer plus at-most-once outcomes still being written; a graceful stop waits for 0.
    std::size_t inFlightTotal() const
    {
        return m_exchanges.size() + m_once.recordsInFlight();
    }

private:
    struct Exchange {
        std::string id;
        CallerRequest request;
        Callback callback;
        std::string service;
        std::string pool;
        /// Boot clock.
        Millis deadline;
        bool keyed = false;
        bool repeatable = false;
        std::optional<OnceGrant> grant;
        std::optional<SlotLease> lease;
        std::set<std::string, std::less<>> tried;
        /// A byte of the request may have left this process.
        bool maybeRan = false;
        /// `mayStillSend` refused the current attempt.
        bool cancelled = false;
        bool callerGone = false;
        bool ended = false;
        Millis leasedAt;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    std::optional<CallerResponse> admit(Exchange &exchange);
    void claim(const ExchangePtr &exchange);
    void handleClaim(const ExchangePtr &exchange, const OnceResult &result);
    void acquire(const ExchangePtr &exchange);
    std::vector<std::string> candidates(Exchange &exchange);
    void handleLease(const ExchangePtr &exchange, const absl::StatusOr<SlotLease> &lease);
    absl::Status maySend(const Exchange &exchange, std::string_view vm) const;
    void send(const ExchangePtr &exchange);
    void handleResult(const ExchangePtr &exchange, const std::string &vm, TargetResult result);
    void noteHealth(const Exchange &exchange, const std::string &vm, const TargetResult &result);
    bool mayRetry(Exchange &exchange);
    void releaseLease(Exchange &exchange);
    void giveUp(const ExchangePtr &exchange, std::string_view reason);
    void end(const ExchangePtr &exchange, CallerResponse response);
    Millis retryAfter(const Exchange &exchange) const;

    RequestPorts m_ports;
    OnceManager &m_once;
    RequestCounters &m_counters;
    TargetHealth m_health;
    std::map<std::string, RetryBudget, std::less<>> m_budgets;
    std::map<std::string, ExchangePtr, std::less<>> m_exchanges;
    std::map<std::string, std::uint32_t, std::less<>> m_inFlight;
    /// Expires with the manager, so that late callbacks do nothing.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
