// Admission, sending, retries and answers of requests.
#include "requests/requestmanager.hpp"

#include "helpers/ids.hpp"
#include "helpers/log.hpp"
#include "requests/responses.hpp"
#include "routing/route.hpp"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <utility>

namespace hibiscusbridge
{

static std::string_view firstSegment(std::string_view path)
{
    if (!path.starts_with('/')) {
        return {};
    }
    path.remove_prefix(1);
    return path.substr(0, path.find_first_of("/?"));
}

static bool isRepeatable(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE";
}

static std::vector<std::string> vmNames(const Route &route)
{
    std::vector<std::string> names;
    for (const auto *vm : route.vms) {
        names.push_back(vm->id);
    }
    return names;
}

static std::size_t minHealthyOf(const View &view, std::string_view pool)
{
    const auto it = view.document.pools.find(pool);
    return it == view.document.pools.end() ? 0 : it->second.minHealthy;
}

RequestManager::RequestManager(RequestPorts ports, OnceManager &once, RequestCounters &counters)
    : m_ports(std::move(ports))
    , m_once(once)
    , m_counters(counters)
    , m_health(counters)
{
}

std::string RequestManager::handle(CallerRequest request, Callback callback)
{
    const auto exchange = std::make_shared<Exchange>();
    exchange->id = randomId();
    exchange->request = std::move(request);
    exchange->callback = std::move(callback);
    m_exchanges.emplace(exchange->id, exchange);
    if (auto refusal = admit(*exchange)) {
        end(exchange, std::move(*refusal));
        return exchange->id;
    }
    m_budgets[exchange->pool].addRequest(m_ports.clock.boot());
    if (exchange->keyed) {
        claim(exchange);
    } else {
        acquire(exchange);
    }
    return exchange->id;
}

std::optional<CallerResponse> RequestManager::admit(Exchange &exchange)
{
    const auto &request = exchange.request;
    exchange.service = firstSegment(request.path);
    const auto route = routeService(m_ports.view(), exchange.service);
    exchange.pool = route.pool;
    if (const auto status = m_ports.mayServe(); !status.ok()) {
        return notRunResponse(503, std::string(status.message()), retryAfter(exchange));
    }
    if (route.pool.empty()) {
        return notRunResponse(404, "no such service", {});
    }
    auto allowed = route.deadline;
    if (const auto text = headerValue(request.headers, "X-Deadline-Ms"); !text.empty()) {
        std::int64_t wanted = 0;
        if (!absl::SimpleAtoi(std::string(text), &wanted) || wanted <= 0) {
            return notRunResponse(400, "X-Deadline-Ms is not a positive number", {});
        }
        allowed = std::min(allowed, Millis{wanted});
    }
    exchange.deadline = m_ports.clock.boot() + allowed;
    const auto hasKey = hasHeader(request.headers, "Idempotency-Key");
    exchange.keyed = hasKey && request.method != "GET" && request.method != "HEAD";
    exchange.repeatable = !exchange.keyed && isRepeatable(request.method);
    if (exchange.keyed && !validIdempotencyKey(headerValue(request.headers, "Idempotency-Key"))) {
        return notRunResponse(400, "Idempotency-Key is not 1 to 128 visible ASCII characters", {});
    }
    return std::nullopt;
}

void RequestManager::claim(const ExchangePtr &exchange)
{
    const auto &request = exchange->request;
    const OnceDemand demand{.service = exchange->service,
                            .key = std::string(headerValue(request.headers, "Idempotency-Key")),
                            .bodyHash = requestHash(request.method, request.path, request.body),
                            .deadline = exchange->deadline};
    m_once.claim(demand, [this, alive = std::weak_ptr(m_alive), exchange](const OnceResult &result) {
        if (!alive.expired()) {
            handleClaim(exchange, result);
        }
    });
}

void RequestManager::handleClaim(const ExchangePtr &exchange, const OnceResult &result)
{
    switch (result.verdict) {
    case OnceVerdict::Granted:
        exchange->grant = result.grant;
        return acquire(exchange);
    case OnceVerdict::Finished:
        return end(exchange, recordedResponse(result.record));
    case OnceVerdict::InProgress:
        return end(exchange, inProgressResponse(result.reason));
    case OnceVerdict::Unknown:
        return end(exchange, unknownResponse(false, result.reason));
    case OnceVerdict::Mismatch:
        return end(exchange, notRunResponse(422, result.reason, {}));
    case OnceVerdict::NotRun:
        return end(exchange, notRunResponse(503, result.reason, retryAfter(*exchange)));
    }
}

std::vector<std::string> RequestManager::candidates(Exchange &exchange)
{
    const auto &view = m_ports.view();
    const auto route = routeService(view, exchange.service);
    exchange.pool = route.pool;
    auto vms = vmNames(route);
    const auto inFlightTo = [this](const std::string &vm) {
        const auto it = m_inFlight.find(vm);
        return it == m_inFlight.end() ? 0U : it->second;
    };
    std::sort(vms.begin(), vms.end(), [&](const std::string &a, const std::string &b) {
        const auto loadA = inFlightTo(a);
        const auto loadB = inFlightTo(b);
        return loadA != loadB ? loadA < loadB : stableHash(exchange.id + a) < stableHash(exchange.id + b);
    });
    auto usable = m_health.usable(vms, minHealthyOf(view, route.pool), m_ports.clock.boot());
    std::erase_if(usable, [&](const std::string &vm) { return exchange.tried.contains(vm); });
    return usable;
}

void RequestManager::acquire(const ExchangePtr &exchange)
{
    auto vms = candidates(*exchange);
    if (vms.empty()) {
        return giveUp(exchange, exchange->tried.empty() ? "no VM receives work" : "no other VM is left to try");
    }
    SlotDemand demand{.service = exchange->service, .pool = exchange->pool, .candidates = std::move(vms), .deadline = exchange->deadline};
    m_ports.slots.acquire(std::move(demand), [this, alive = std::weak_ptr(m_alive), exchange](const absl::StatusOr<SlotLease> &lease) {
        if (!alive.expired()) {
            handleLease(exchange, lease);
        }
    });
}

void RequestManager::handleLease(const ExchangePtr &exchange, const absl::StatusOr<SlotLease> &lease)
{
    if (!lease.ok()) {
        return giveUp(exchange, std::string(lease.status().message()));
    }
    exchange->lease = *lease;
    exchange->leasedAt = m_ports.clock.boot();
    if (!receivesWork(m_ports.view(), lease->vm, exchange->pool)) {
        exchange->tried.insert(lease->vm);
        releaseLease(*exchange);
        return acquire(exchange);
    }
    if (const auto status = maySend(*exchange, lease->vm); !status.ok()) {
        return giveUp(exchange, std::string(status.message()));
    }
    send(exchange);
}

absl::Status RequestManager::maySend(const Exchange &exchange, std::string_view vm) const
{
    if (exchange.ended) {
        return absl::CancelledError("request has ended");
    }
    if (exchange.callerGone && !exchange.keyed) {
        return absl::CancelledError("caller has gone");
    }
    if (m_ports.clock.boot() >= exchange.deadline) {
        return absl::DeadlineExceededError("deadline passed before the send");
    }
    if (!receivesWork(m_ports.view(), vm, exchange.pool)) {
        return absl::FailedPreconditionError("VM receives no new work");
    }
    return m_ports.mayServe();
}

void RequestManager::send(const ExchangePtr &exchange)
{
    const auto now = m_ports.clock.boot();
    const auto vm = exchange->lease->vm;
    const bool othersLeft = candidates(*exchange).size() > 1;
    const auto remaining = exchange->deadline - now;
    exchange->tried.insert(vm);
    exchange->cancelled = false;
    ++m_inFlight[vm];
    m_health.noteSend(vm, now);
    const auto &request = exchange->request;
    TargetRequest out{
        .address = m_ports.view().vms.find(vm)->second.address,
        .method = request.method,
        .path = request.path,
        .headers = headersForTarget(request.headers, exchange->id, remaining),
        .body = request.body,
        // A silent VM must leave a repeatable request time for another one.
        .timeout = exchange->repeatable && othersLeft ? remaining / 2 : remaining,
    };
    out.mayStillSend = [this, alive = std::weak_ptr(m_alive), exchange, vm] {
        exchange->cancelled = alive.expired() || !maySend(*exchange, vm).ok();
        return !exchange->cancelled;
    };
    m_ports.target.send(std::move(out), [this, alive = std::weak_ptr(m_alive), exchange, vm](TargetResult result) {
        if (!alive.expired()) {
            handleResult(exchange, vm, std::move(result));
        }
    });
}

void RequestManager::handleResult(const ExchangePtr &exchange, const std::string &vm, TargetResult result)
{
    if (const auto it = m_inFlight.find(vm); it != m_inFlight.end() && --it->second == 0) {
        m_inFlight.erase(it);
    }
    if (exchange->lease) {
        exchange->lease->mayStillRun = result.outcome == TargetOutcome::Unknown;
    }
    releaseLease(*exchange);
    noteHealth(*exchange, vm, result);
    if (result.outcome == TargetOutcome::Answered) {
        auto response = finishedResponse(result.status, result.headers, std::move(result.body));
        if (exchange->grant) {
            m_once.recordFinished(*exchange->grant, response.status, response.headers, response.body);
        }
        return end(exchange, std::move(response));
    }
    exchange->maybeRan = exchange->maybeRan || result.outcome == TargetOutcome::Unknown;
    if (mayRetry(*exchange)) {
        ++m_counters.retries;
        logEvent(LogLevel::Info, "request_retry", {{"id", exchange->id}, {"vm", vm}, {"error", result.error}});
        return acquire(exchange);
    }
    giveUp(exchange, result.error);
}

void RequestManager::noteHealth(const Exchange &exchange, const std::string &vm, const TargetResult &result)
{
    const auto now = m_ports.clock.boot();
    if (exchange.cancelled) {
        return m_health.noteNothing(vm);
    }
    if (result.outcome == TargetOutcome::Answered && result.status < 500) {
        return m_health.noteSuccess(vm, now);
    }
    const auto &view = m_ports.view();
    const auto route = routeService(view, exchange.service);
    m_health.noteFailure(vm, exchange.id, vmNames(route), minHealthyOf(view, route.pool), now);
}

bool RequestManager::mayRetry(Exchange &exchange)
{
    const auto now = m_ports.clock.boot();
    if (exchange.maybeRan && !exchange.repeatable) {
        return false;
    }
    if (now >= exchange.deadline || !m_ports.mayServe().ok() || (exchange.callerGone && !exchange.keyed)) {
        return false;
    }
    if (candidates(exchange).empty()) {
        return false;
    }
    // A VM that left the pool is no failure; the number of VMs bounds these retries.
    if (exchange.cancelled || m_budgets[exchange.pool].tryTake(now)) {
        return true;
    }
    ++m_counters.retriesDenied;
    return false;
}

void RequestManager::releaseLease(Exchange &exchange)
{
    if (!exchange.lease) {
        return;
    }
    const auto lease = *exchange.lease;
    exchange.lease.reset();
    m_ports.slots.release(lease, m_ports.clock.boot() - exchange.leasedAt);
}

Millis RequestManager::retryAfter(const Exchange &exchange) const
{
    return exchange.pool.empty() ? Millis{1000} : m_ports.slots.retryAfter(exchange.pool);
}

void RequestManager::giveUp(const ExchangePtr &exchange, std::string_view reason)
{
    if (exchange->maybeRan) {
        return end(exchange, unknownResponse(m_ports.clock.boot() >= exchange->deadline, reason));
    }
    auto response = notRunResponse(503, reason, retryAfter(*exchange));
    if (!exchange->grant) {
        return end(exchange, std::move(response));
    }
    // A repeat that another entry gets right after this answer must find the record.
    releaseLease(*exchange);
    m_once.recordNotRun(*exchange->grant, [this, alive = std::weak_ptr(m_alive), exchange, response = std::move(response)] {
        if (!alive.expired()) {
            end(exchange, response);
        }
    });
}

void RequestManager::end(const ExchangePtr &exchange, CallerResponse response)
{
    releaseLease(*exchange);
    exchange->ended = true;
    m_exchanges.erase(exchange->id);
    switch (response.outcome) {
    case RequestOutcome::Finished:
        ++m_counters.finished;
        break;
    case RequestOutcome::NotRun:
        ++m_counters.notRun;
        break;
    case RequestOutcome::Unknown:
        ++m_counters.unknown;
        break;
    }
    addOutcomeHeaders(response, exchange->id);
    logEvent(LogLevel::Info,
             "request",
             {{"id", exchange->id},
              {"service", exchange->service},
              {"method", exchange->request.method},
              {"outcome", toString(response.outcome)},
              {"status", response.status},
              {"attempts", exchange->tried.size()}});
    if (const auto callback = std::exchange(exchange->callback, nullptr)) {
        callback(std::move(response));
    }
}

void RequestManager::callerGone(std::string_view requestId)
{
    const auto it = m_exchanges.find(requestId);
    if (it == m_exchanges.end()) {
        return;
    }
    it->second->callerGone = true;
    it->second->callback = nullptr;
}

} // namespace hibiscusbridge
