// Serves the callers' job requests.
#include "intake/intake.hpp"

#include "helpers/log.hpp"
#include "jobs/codec.hpp"
#include "shards/rows.hpp"

#include <algorithm>

namespace hibiscusbridge::jobs
{

/// Part of the caller's timeout that is reserved for sending the response.
constexpr Millis answerMargin{300};
constexpr Millis readTimeout{900};
constexpr Millis retryDelay{60};
/// A write rejected by the store is retried for this long before the caller gets a refusal with a retry delay.
constexpr Millis refusalRetryTime{350};
/// Retry delay for callers while the store is unavailable: about the length of a short outage.
constexpr Millis storeRetryAfter{1'000};
/// A stopping entry refuses calls that it would have to give up sooner than this.
constexpr Millis minCallTime{300};
/// Retry delay for callers of a stopping entry; other entries can serve them.
constexpr Millis stopRetryAfter{1'000};
/// Retry delay for the submission of a cancelled job, which is refused again as long as the cancellation is kept.
constexpr Millis cancelledRetryAfter{60'000};
constexpr std::size_t idLength = 16;

static bool isJobId(std::string_view text)
{
    return text.size() == idLength && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

Intake::Intake(Ports ports)
    : m_ports(std::move(ports))
    , m_writer({.store = m_ports.store, .timers = m_ports.timers, .clock = m_ports.clock})
{
}

Intake::~Intake()
{
    *m_alive = false;
    for (const auto &it : m_calls) {
        if (it->write) {
            SubmissionWriter::withdraw(*it->write); // Its callback holds the call.
        }
    }
}

void Intake::handle(Call call, Done done)
{
    const auto *const configuration = m_ports.configuration();
    if (!configuration) {
        return done({.kind = AnswerKind::Refused, .retryAfter = storeRetryAfter, .reason = "no configuration loaded yet"});
    }
    const auto *const queue = findQueue(*configuration, call.host, call.path);
    if (!queue) {
        return done({.kind = AnswerKind::NoQueue, .reason = "no queue is configured for this host and path"});
    }
    const std::string id = call.path.substr(queue->pathPrefix.size());
    if (call.kind == CallKind::Read && id.empty()) {
        const int n = m_ports.queuedJobs(*queue);
        if (n < 0) {
            return done({.kind = AnswerKind::Refused, .retryAfter = storeRetryAfter, .reason = "the queue length is not known yet"});
        }
        return done({.kind = AnswerKind::QueuedCount, .queued = n});
    }
    if (!isJobId(id)) {
        return done({.kind = AnswerKind::NoQueue, .reason = "a job id must have 16 hexadecimal digits"});
    }
    if (auto reason = m_ports.unavailable(); !reason.empty()) {
        logEvent(LogLevel::Warn, "call_refused", {{"job", id}, {"route", queue->name}, {"reason", reason}});
        return done({.kind = AnswerKind::Refused, .retryAfter = storeRetryAfter, .reason = std::move(reason)});
    }
    const auto shardsByPool = shardsOf(*queue, id);
    if (shardsByPool.front().empty()) {
        return done({.kind = AnswerKind::Refused, .retryAfter = storeRetryAfter, .reason = "the division of the fleet is not known yet"});
    }
    if (m_stopsAt && *m_stopsAt - m_ports.clock.boot() < minCallTime) {
        logEvent(LogLevel::Info, "call_refused", {{"job", id}, {"route", queue->name}, {"reason", "stopping"}});
        return done({.kind = AnswerKind::Refused, .retryAfter = stopRetryAfter, .reason = "this entry is stopping"});
    }
    auto open = std::make_shared<OpenCall>(OpenCall{.id = id, .done = std::move(done)});
    m_calls.insert(open);
    if (call.kind == CallKind::Submit) {
        return submit(*queue, std::move(call), open);
    }
    std::vector<std::string> shards;
    for (const auto &it : shardsByPool) {
        shards.insert(shards.end(), it.begin(), it.end());
    }
    if (call.kind == CallKind::Read) {
        return readState(std::move(shards), open);
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->shards = std::move(shards);
    attempt->deadline = answerDeadline(call.callerTimeout);
    attempt->call = open;
    cancel(attempt);
}

std::vector<std::vector<std::string>> Intake::shardsOf(const Queue &queue, const std::string &id) const
{
    std::vector<std::vector<std::string>> shards;
    for (const auto &pool : m_ports.poolsOf(queue)) {
        shards.push_back(m_ports.shardsOf(pool, id));
    }
    return shards;
}

void Intake::answerNoJob(const OpenCallPtr &call, bool storedElsewhere)
{
    if (storedElsewhere || !m_ports.knowsPools()) {
        return answer(
            call,
            {.kind = AnswerKind::Refused, .retryAfter = storeRetryAfter, .reason = "the pools of the queue have not been read recently"});
    }
    answer(call, {.kind = AnswerKind::NoJob, .reason = "no such job"});
}

Millis Intake::answerDeadline(Millis callerTimeout) const
{
    const auto deadline = m_ports.clock.boot() + std::max(callerTimeout - answerMargin, answerMargin);
    return m_stopsAt ? std::min(deadline, *m_stopsAt) : deadline;
}

void Intake::answer(const OpenCallPtr &call, Answer answer)
{
    if (m_calls.erase(call) == 0) {
        return; // Answered when the entry stopped.
    }
    if (call->write) {
        SubmissionWriter::withdraw(*call->write);
    }
    const auto done = std::exchange(call->done, nullptr);
    done(std::move(answer));
}

void Intake::stopBy(Millis end)
{
    m_stopsAt = end;
    m_ports.timers.after(end - m_ports.clock.boot(), [this, alive = m_alive] {
        if (*alive) {
            answerOpenCalls();
        }
    });
}

void Intake::answerOpenCalls()
{
    for (const auto &it : std::set<OpenCallPtr>(m_calls)) {
        const bool mayBeApplied = it->write && it->write->mayBeApplied();
        logEvent(LogLevel::Warn, "call_given_up", {{"job", it->id}, {"may_be_applied", mayBeApplied}, {"reason", "stopping"}});
        answer(it,
               {.kind = mayBeApplied ? AnswerKind::Unknown : AnswerKind::Refused,
                .retryAfter = stopRetryAfter,
                .reason = "this entry is stopping"});
    }
}

void Intake::submit(const Queue &queue, Call call, const OpenCallPtr &open)
{
    if (!call.job.ok()) {
        logEvent(LogLevel::Info,
                 "job_invalid",
                 {{"job", open->id}, {"route", queue.name}, {"reason", std::string(call.job.status().message())}});
        return answer(open, {.kind = AnswerKind::Invalid, .reason = std::string(call.job.status().message())});
    }
    auto spec = std::move(*call.job);
    spec.id = open->id;
    spec.route = queue.name;
    spec.policy = queue.policy;
    spec.acceptedAt = m_ports.clock.wall();
    if (auto admission = m_ports.admit(queue, spec); !admission.accepted) {
        logEvent(LogLevel::Info,
                 "job_refused",
                 {{"job", open->id}, {"route", queue.name}, {"reason", admission.reason}, {"retry_after_ms", admission.retryAfter.count}});
        return answer(open, {.kind = AnswerKind::Refused, .retryAfter = admission.retryAfter, .reason = std::move(admission.reason)});
    }
    auto value = encodeSpec(spec);
    if (value.size() > m_ports.limits.rowBytes) {
        logEvent(LogLevel::Info, "job_too_large", {{"job", open->id}, {"route", queue.name}, {"bytes", value.size()}});
        return answer(open,
                      {.kind = AnswerKind::Invalid,
                       .reason = "the job takes " + std::to_string(value.size()) + " bytes, and at most "
                                 + std::to_string(m_ports.limits.rowBytes) + " can be stored"});
    }
    const auto deadline = answerDeadline(call.callerTimeout);
    m_ports.recordPool(queue, [this, alive = m_alive, queue, spec = std::move(spec), deadline, open](bool recorded) mutable {
        if (!*alive || !open->done) {
            return;
        }
        if (!recorded) {
            logEvent(LogLevel::Warn, "job_refused", {{"job", open->id}, {"route", queue.name}, {"reason", "pool not recorded"}});
            return answer(
                open, {.kind = AnswerKind::Refused, .retryAfter = storeRetryAfter, .reason = "the store did not confirm the queue's pool"});
        }
        store(queue, std::move(spec), deadline, open);
    });
}

void Intake::store(const Queue &queue, JobSpec spec, Millis deadline, const OpenCallPtr &open)
{
    const auto shardsByPool = shardsOf(queue, open->id);
    const auto shardOf = [&spec](const std::vector<std::string> &shards) {
        return isLongRunning(spec) ? shards.back() : shards.front();
    };
    const auto shard = shardOf(shardsByPool.front());
    const auto now = m_ports.clock.boot();
    open->write = std::make_shared<SubmissionWrite>(SubmissionWrite{
        .key = submissionKey(shard, open->id), .value = encodeSpec(spec), .deadline = deadline, .retryUntil = now + refusalRetryTime});
    // A copy of the submission that is accepted for a former pool must not be a second job.
    for (std::size_t i = 1; i < shardsByPool.size(); ++i) {
        open->write->others.push_back({submissionKey(shardOf(shardsByPool[i]), open->id), encodeTombstone({m_ports.clock.wall()})});
    }
    open->write->done = [this, open, shard, now](const WriteResult &result) {
        if (result.outcome == WriteOutcome::Stored || result.outcome == WriteOutcome::KnownBefore) {
            logEvent(LogLevel::Info,
                     "job_accepted",
                     {{"job", open->id},
                      {"shard", shard},
                      {"known_before", result.outcome == WriteOutcome::KnownBefore},
                      {"version", result.version},
                      {"store_ms", (m_ports.clock.boot() - now).count}});
            return answer(open, {.kind = AnswerKind::Done});
        }
        const bool isUnknown = result.outcome == WriteOutcome::Unknown;
        logEvent(LogLevel::Warn,
                 isUnknown ? "job_outcome_unknown" : "job_refused",
                 {{"job", open->id}, {"shard", shard}, {"reason", result.error}});
        if (result.outcome == WriteOutcome::Cancelled) {
            return answer(
                open,
                {.kind = AnswerKind::Refused, .retryAfter = cancelledRetryAfter, .reason = "the job was cancelled before it was stored"});
        }
        if (result.outcome == WriteOutcome::Invalid) {
            return answer(open, {.kind = AnswerKind::Invalid, .reason = "the job can't be stored: " + result.error});
        }
        answer(open,
               {.kind = isUnknown ? AnswerKind::Unknown : AnswerKind::Refused,
                .retryAfter = storeRetryAfter,
                .reason = "the store did not confirm the job"});
    };
    m_writer.add(open->write);
}

void Intake::retryLater(const std::shared_ptr<Attempt> &attempt, void (Intake::*retry)(std::shared_ptr<Attempt>))
{
    m_ports.timers.after(retryDelay, [this, alive = m_alive, attempt, retry] {
        if (*alive && attempt->call->done) {
            (this->*retry)(attempt);
        }
    });
}

void Intake::readState(std::vector<std::string> shards, const OpenCallPtr &call, bool storedElsewhere)
{
    const auto shard = shards.front();
    shards.erase(shards.begin());
    const auto key = progressKey(shard, call->id);
    const auto fail = [this, call](const std::string &error) {
        logEvent(LogLevel::Warn, "state_not_read", {{"job", call->id}, {"reason", "store: " + error}});
        answer(call, {.kind = AnswerKind::Refused, .retryAfter = storeRetryAfter, .reason = "the store did not respond"});
    };
    m_ports.store.read(
        {key.table, key.part, key.key, key.key + '\x01', 1},
        readTimeout,
        [this, alive = m_alive, shard, shards, call, fail, storedElsewhere](const ReadResult &result) {
            if (!*alive || !call->done) {
                return;
            }
            if (result.outcome != ReadOutcome::Answered) {
                return fail(result.error);
            }
            if (!result.rows.empty()) {
                auto outcome = decodeOutcome(result.rows.front().value);
                if (!outcome) {
                    return fail("invalid progress record");
                }
                return answer(call, {.kind = AnswerKind::State, .phase = outcome->phase, .reason = std::move(outcome->failureReason)});
            }
            const auto submission = submissionKey(shard, call->id);
            m_ports.store.read({submission.table, submission.part, call->id, call->id + '\x01', 1},
                               readTimeout,
                               [this, alive, shards, call, fail, storedElsewhere](const ReadResult &row) {
                                   if (!*alive || !call->done) {
                                       return;
                                   }
                                   if (row.outcome != ReadOutcome::Answered) {
                                       return fail(row.error);
                                   }
                                   const auto tombstone = row.rows.empty() ? std::nullopt : decodeTombstone(row.rows.front().value);
                                   if (!row.rows.empty() && !tombstone) {
                                       return answer(call, {.kind = AnswerKind::State, .phase = JobPhase::Queued});
                                   }
                                   const bool elsewhere = storedElsewhere || (tombstone && !tombstone->cancelled);
                                   if (!shards.empty()) {
                                       return readState(shards, call, elsewhere);
                                   }
                                   answerNoJob(call, elsewhere);
                               });
        });
}

void Intake::cancel(std::shared_ptr<Attempt> attempt)
{
    const auto key = submissionKey(attempt->shards[attempt->next], attempt->call->id);
    m_ports.store.read(
        {key.table, key.part, key.key, key.key + '\x01', 1}, readTimeout, [this, alive = m_alive, attempt](const ReadResult &result) {
            if (!*alive || !attempt->call->done) {
                return;
            }
            if (result.outcome != ReadOutcome::Answered) {
                if (m_ports.clock.boot() < attempt->deadline) {
                    return retryLater(attempt, &Intake::cancel);
                }
                logEvent(LogLevel::Warn, "cancel_refused", {{"job", attempt->call->id}, {"reason", "store: " + result.error}});
                return answer(attempt->call,
                              {.kind = AnswerKind::Refused, .retryAfter = storeRetryAfter, .reason = "the store did not respond"});
            }
            const auto &shard = attempt->shards[attempt->next++];
            const auto tombstone = result.rows.empty() ? std::nullopt : decodeTombstone(result.rows.front().value);
            if (!result.rows.empty() && !tombstone) {
                return storeCancellation(attempt, shard);
            }
            if (!tombstone) {
                attempt->emptyShards.push_back(shard);
            }
            attempt->storedElsewhere = attempt->storedElsewhere || (tombstone && !tombstone->cancelled);
            if (attempt->next < attempt->shards.size()) {
                return cancel(attempt);
            }
            if (attempt->storedElsewhere || attempt->emptyShards.empty()) {
                return answerNoJob(attempt->call, attempt->storedElsewhere);
            }
            storeTombstones(attempt);
        });
}

void Intake::storeTombstones(const std::shared_ptr<Attempt> &attempt)
{
    const auto &call = attempt->call;
    const auto value = encodeTombstone({.writtenAt = m_ports.clock.wall(), .cancelled = true});
    call->write = std::make_shared<SubmissionWrite>(SubmissionWrite{.key = submissionKey(attempt->emptyShards.front(), call->id),
                                                                    .value = value,
                                                                    .deadline = attempt->deadline,
                                                                    .retryUntil = attempt->deadline});
    for (std::size_t i = 1; i < attempt->emptyShards.size(); ++i) {
        call->write->others.push_back({submissionKey(attempt->emptyShards[i], call->id), value});
    }
    call->write->done = [this, attempt, call](const WriteResult &result) {
        switch (result.outcome) {
        case WriteOutcome::Stored:
            logEvent(LogLevel::Info, "unknown_job_cancelled", {{"job", call->id}, {"version", result.version}});
            return answerNoJob(call, false);
        case WriteOutcome::KnownBefore:
        case WriteOutcome::Cancelled:
            // The submission, or another cancellation, was stored meanwhile.
            attempt->next = 0;
            attempt->emptyShards.clear();
            return cancel(attempt);
        default:
            return answerNotCancelled(call, result);
        }
    };
    m_writer.add(call->write);
}

void Intake::answerNotCancelled(const OpenCallPtr &call, const WriteResult &result)
{
    const bool isUnknown = result.outcome == WriteOutcome::Unknown;
    logEvent(LogLevel::Warn, isUnknown ? "cancel_unknown" : "cancel_refused", {{"job", call->id}, {"reason", result.error}});
    answer(call,
           {.kind = isUnknown ? AnswerKind::Unknown : AnswerKind::Refused,
            .retryAfter = storeRetryAfter,
            .reason = "the store did not confirm the cancellation"});
}

void Intake::storeCancellation(const std::shared_ptr<Attempt> &attempt, const std::string &shard)
{
    const auto &call = attempt->call;
    call->write = std::make_shared<SubmissionWrite>(SubmissionWrite{
        .key = cancellationKey(shard, call->id), .value = "1", .deadline = attempt->deadline, .retryUntil = attempt->deadline});
    call->write->done = [this, call, shard](const WriteResult &result) {
        if (result.outcome == WriteOutcome::Stored || result.outcome == WriteOutcome::KnownBefore) {
            logEvent(LogLevel::Info, "cancel_accepted", {{"job", call->id}, {"shard", shard}, {"version", result.version}});
            return answer(call, {.kind = AnswerKind::Done});
        }
        answerNotCancelled(call, result);
    };
    m_writer.add(call->write);
}

} // namespace hibiscusbridge::jobs
