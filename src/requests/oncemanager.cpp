// Claims and outcomes of at-most-once records.
#include "requests/oncemanager.hpp"

#include "helpers/ids.hpp"
#include "helpers/log.hpp"

#include <algorithm>

namespace hibiscusbridge
{

constexpr std::size_t maxStoredAnswer = 16'384;
constexpr Millis firstInsertBackoff{10};
constexpr Millis maxInsertBackoff{200};
constexpr Millis firstRecordBackoff{50};
constexpr Millis maxRecordBackoff{5'000};
/// About half a minute with the backoff above.
constexpr int maxRecordAttempts = 12;

OnceManager::OnceManager(TablePort table, TimerPort timers, Clock clock, RequestCounters &counters)
    : m_timers(timers)
    , m_clock(std::move(clock))
    , m_counters(counters)
    , m_writer(std::move(table), timers, counters)
{
}

void OnceManager::later(Millis delay, std::function<void()> fn)
{
    m_timers.after(delay, [alive = std::weak_ptr(m_alive), fn = std::move(fn)] {
        if (!alive.expired()) {
            fn();
        }
    });
}

void OnceManager::claim(const OnceDemand &demand, Callback callback)
{
    const auto remaining = std::max(demand.deadline - m_clock.boot(), Millis{0});
    const auto claim = std::make_shared<Claim>();
    claim->grant.rowKey = onceKey(demand.service, demand.key);
    claim->grant.record = {.token = randomId(), .bodyHash = demand.bodyHash, .deadline = m_clock.wall() + remaining};
    claim->deadline = demand.deadline;
    claim->callback = std::move(callback);
    claim->backoff = firstInsertBackoff;
    later(remaining, [this, claim] { decide(claim, {.reason = "deadline passed before the key was recorded"}); });
    insert(claim);
}

void OnceManager::insert(const ClaimPtr &claim)
{
    const auto &grant = claim->grant;
    m_writer.write({grant.rowKey, grant.version, encodeOnce(grant.record)},
                   [this, claim](const RowWriteResult &result) { handleInsert(claim, result); });
}

void OnceManager::handleInsert(const ClaimPtr &claim, const RowWriteResult &result)
{
    if (result.status.ok()) {
        return takeOwnRow(claim, result.row.version);
    }
    if (absl::IsAborted(result.status)) {
        return handleConflict(claim, result.row);
    }
    claim->maybeWritten = claim->maybeWritten || !absl::IsUnavailable(result.status);
    if (!claim->maybeWritten) {
        return decide(claim, {.reason = "platform unavailable"});
    }
    retryInsert(claim);
}

void OnceManager::retryInsert(const ClaimPtr &claim)
{
    if (claim->decided) {
        if (claim->maybeWritten) {
            recordNotRun(claim->grant);
        }
        return;
    }
    later(claim->backoff, [this, claim] { claim->decided ? retryInsert(claim) : insert(claim); });
    claim->backoff = std::min(claim->backoff * 2, maxInsertBackoff);
}

void OnceManager::handleConflict(const ClaimPtr &claim, const Row &row)
{
    if (!row.value) {
        claim->grant.version = 0;
        return retryInsert(claim);
    }
    const auto found = parseOnce(*row.value);
    if (!found) {
        logEvent(LogLevel::Error, "once_malformed", {{"key", row.key}});
        return decide(claim, {.verdict = OnceVerdict::Unknown, .reason = "malformed record"});
    }
    if (found->token != claim->grant.record.token) {
        return handleRepeat(claim, *found, row.version);
    }
    if (found->outcome == OnceOutcome::Pending) {
        takeOwnRow(claim, row.version);
    }
}

void OnceManager::handleRepeat(const ClaimPtr &claim, const OnceRecord &found, std::uint64_t version)
{
    if (claim->decided) {
        return; // Attempts of this claim expected an older version and can no longer be written.
    }
    if (found.bodyHash != claim->grant.record.bodyHash) {
        return decide(claim, {.verdict = OnceVerdict::Mismatch, .reason = "key was used with another request"});
    }
    if (found.outcome == OnceOutcome::NotRun) {
        claim->grant.version = version;
        return retryInsert(claim);
    }
    ++m_counters.onceRepeats;
    if (found.outcome == OnceOutcome::Finished) {
        return decide(claim, {.verdict = OnceVerdict::Finished, .record = found});
    }
    if (m_clock.wall() < found.deadline) {
        return decide(claim, {.verdict = OnceVerdict::InProgress, .reason = "an earlier request with the key is in progress"});
    }
    decide(claim, {.verdict = OnceVerdict::Unknown, .reason = "the outcome of an earlier request with the key is unknown"});
}

void OnceManager::takeOwnRow(const ClaimPtr &claim, std::uint64_t version)
{
    claim->grant.version = version;
    if (!claim->decided && m_clock.boot() < claim->deadline) {
        return decide(claim, {.verdict = OnceVerdict::Granted, .grant = claim->grant});
    }
    decide(claim, {.reason = "deadline passed before the key was recorded"});
    recordNotRun(claim->grant);
}

void OnceManager::decide(const ClaimPtr &claim, const OnceResult &result)
{
    if (claim->decided) {
        return;
    }
    claim->decided = true;
    const auto callback = std::move(claim->callback);
    claim->callback = nullptr;
    callback(result);
}

void OnceManager::recordFinished(OnceGrant grant, int status, const std::vector<Header> &headers, const std::string &body)
{
    auto size = body.size();
    for (const auto &it : headers) {
        size += it.name.size() + it.value.size();
    }
    grant.record.outcome = OnceOutcome::Finished;
    grant.record.status = status;
    grant.record.answerStored = size <= maxStoredAnswer;
    if (grant.record.answerStored) {
        grant.record.headers = headers;
        grant.record.body = body;
    }
    record(std::move(grant));
}

/// Ends the wait for a record, once.
static void endWait(std::function<void()> &done)
{
    if (const auto callback = std::exchange(done, nullptr)) {
        callback();
    }
}

void OnceManager::recordNotRun(OnceGrant grant, std::function<void()> done)
{
    grant.record.outcome = OnceOutcome::NotRun;
    record(std::move(grant), std::move(done));
}

void OnceManager::record(OnceGrant grant, std::function<void()> done)
{
    ++m_recordsInFlight;
    auto record = std::make_shared<Record>(Record{.grant = std::move(grant), .backoff = firstRecordBackoff, .done = std::move(done)});
    if (record->done) {
        later(notRunRecordWait, [record] { endWait(record->done); });
    }
    writeRecord(record);
}

void OnceManager::writeRecord(const std::shared_ptr<Record> &record)
{
    ++record->attempts;
    const auto &grant = record->grant;
    m_writer.write({grant.rowKey, grant.version, encodeOnce(grant.record), !record->done},
                   [this, record](const RowWriteResult &result) { handleRecord(record, result); });
}

void OnceManager::handleRecord(const std::shared_ptr<Record> &record, const RowWriteResult &result)
{
    bool done = result.status.ok();
    if (absl::IsAborted(result.status)) {
        const auto found = result.row.value ? parseOnce(*result.row.value) : std::nullopt;
        // A row of another token, or one that already has its outcome, is not to be overwritten.
        done = !found || found->token != record->grant.record.token || found->outcome != OnceOutcome::Pending;
        record->grant.version = result.row.version;
    }
    if (!done && record->attempts < maxRecordAttempts) {
        later(record->backoff, [this, record] { writeRecord(record); });
        record->backoff = std::min(record->backoff * 2, maxRecordBackoff);
        return;
    }
    --m_recordsInFlight;
    endWait(record->done);
    if (!done) {
        ++m_counters.outcomesLost;
        logEvent(LogLevel::Warn, "once_outcome_lost", {{"key", record->grant.rowKey}, {"status", result.status.ToString()}});
    }
}

} // namespace hibiscusbridge
