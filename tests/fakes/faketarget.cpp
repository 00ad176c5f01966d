// Fake targets and slots.
#include "fakes/faketarget.hpp"

#include "requests/request.hpp"

namespace hibiscusbridge
{

TargetPort FakeTarget::port()
{
    return {.send = [this](TargetRequest request, TargetPort::Callback callback) {
        attempts.push_back(request.address);
        timers.after(connectTime, [this, request = std::move(request), callback = std::move(callback)] {
            if (beforeSend) {
                beforeSend();
            }
            const auto it = faults.find(request.address);
            const auto fault = it == faults.end() ? defaultFault : it->second;
            if (fault == TargetFault::ConnectionRefused || !request.mayStillSend()) {
                return callback({.outcome = TargetOutcome::NotSent, .error = "not sent"});
            }
            executions->push_back({request.address,
                                   std::string(headerValue(request.headers, "X-Request-Id")),
                                   std::string(headerValue(request.headers, "Idempotency-Key")),
                                   request.body,
                                   clock.boot()});
            TargetResult result{
                .outcome = TargetOutcome::Answered, .status = 200, .headers = answerHeaders, .body = request.body + answerSuffix};
            result.status = fault == TargetFault::Status500 ? 500 : 200;
            if (fault == TargetFault::NoResponse || fault == TargetFault::ConnectionReset) {
                result = {.outcome = TargetOutcome::Unknown, .error = "no answer"};
            }
            timers.after(fault == TargetFault::NoResponse ? request.timeout : runTime, [callback, result] { callback(result); });
        });
    }};
}

SlotPort FakeSlots::port()
{
    return {
        .acquire =
            [this](SlotDemand demand, SlotPort::Callback callback) {
                timers.after(grantTime, [this, demand = std::move(demand), callback = std::move(callback)] {
                    if (!refusal.ok()) {
                        return callback(refusal);
                    }
                    held.insert(++granted);
                    callback(SlotLease{demand.candidates.front(), granted});
                });
            },
        .release = [this](const SlotLease &lease, Millis) { invalidReleases += held.erase(lease.id) == 0 ? 1 : 0; },
        .retryAfter = [](const std::string &) { return Millis{1500}; },
    };
}

} // namespace hibiscusbridge
