// Metrics implemented with prometheus-cpp, in base units and with the suffix `_total` for counters.
#include "node/metrics.hpp"

#include "helpers/log.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace hibiscusbridge::jobs
{

/// Bucket bounds in seconds, from the usual latency of the store to the time that a caller waits.
static const prometheus::Histogram::BucketBoundaries latencyBuckets{0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5};
constexpr double secondsPerMilli = 0.001;

struct Metrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &answers =
        prometheus::BuildCounter().Name("hibiscusbridge_answers_total").Help("Answers to callers by call and outcome").Register(registry);
    prometheus::Family<prometheus::Histogram> &answerSeconds =
        prometheus::BuildHistogram().Name("hibiscusbridge_answer_seconds").Help("Time to answer a caller").Register(registry);
    prometheus::Family<prometheus::Counter> &storeCalls = prometheus::BuildCounter()
                                                              .Name("hibiscusbridge_store_calls_total")
                                                              .Help("Calls of the store by kind and outcome")
                                                              .Register(registry);
    prometheus::Family<prometheus::Histogram> &storeSeconds =
        prometheus::BuildHistogram().Name("hibiscusbridge_store_call_seconds").Help("Duration of calls of the store").Register(registry);
    prometheus::Family<prometheus::Counter> &orders =
        prometheus::BuildCounter().Name("hibiscusbridge_orders_total").Help("Orders to workers by kind and outcome").Register(registry);
    prometheus::Family<prometheus::Histogram> &orderSeconds =
        prometheus::BuildHistogram().Name("hibiscusbridge_order_seconds").Help("Time to a worker's answer to a start").Register(registry);
    prometheus::Family<prometheus::Counter> &ends = prometheus::BuildCounter()
                                                        .Name("hibiscusbridge_runs_listed_ended_total")
                                                        .Help("Ends of runs that workers listed")
                                                        .Register(registry);
    prometheus::Family<prometheus::Counter> &ackDelays =
        prometheus::BuildCounter()
            .Name("hibiscusbridge_ack_delay_seconds_total")
            .Help("Seconds in which a pool's oldest listed end had waited over a second for its acknowledgement, by reason")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &loopDelays =
        prometheus::BuildCounter()
            .Name("hibiscusbridge_loop_delay_seconds_total")
            .Help("Time in which the event loop served nothing, in delays of a tenth of a second or more")
            .Register(registry);
    prometheus::Family<prometheus::Gauge> &oldestUnackedEnd =
        prometheus::BuildGauge()
            .Name("hibiscusbridge_oldest_unacknowledged_end_seconds")
            .Help("Time that the oldest listed end has waited for its acknowledgement")
            .Register(registry);
    prometheus::Family<prometheus::Gauge> &shards =
        prometheus::BuildGauge().Name("hibiscusbridge_shards_held").Help("Shards that this entry owns").Register(registry);
    prometheus::Family<prometheus::Gauge> &logLines = prometheus::BuildGauge()
                                                          .Name("hibiscusbridge_log_lines_dropped")
                                                          .Help("Log lines that their reader did not take")
                                                          .Register(registry);
};

Metrics::Metrics()
    : m_families(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

static const char *nameOf(CommitOutcome outcome)
{
    switch (outcome) {
    case CommitOutcome::Applied:
        return "applied";
    case CommitOutcome::Conflict:
        return "conflict";
    case CommitOutcome::Refused:
        return "refused";
    case CommitOutcome::Invalid:
        return "invalid";
    case CommitOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

static const char *nameOf(ReadOutcome outcome)
{
    switch (outcome) {
    case ReadOutcome::Answered:
        return "answered";
    case ReadOutcome::HistoryLost:
        return "history-lost";
    case ReadOutcome::Failed:
        return "failed";
    }
    return "failed";
}

static const char *nameOf(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::Done:
        return "done";
    case AnswerKind::State:
        return "state";
    case AnswerKind::QueuedCount:
        return "queued-count";
    case AnswerKind::Invalid:
        return "invalid";
    case AnswerKind::NoQueue:
        return "no-queue";
    case AnswerKind::NoJob:
        return "no-job";
    case AnswerKind::Refused:
        return "refused";
    case AnswerKind::Unknown:
        return "unknown";
    }
    return "unknown";
}

StorePort Metrics::instrument(StorePort store, Clock clock)
{
    auto *const families = m_families.get();
    const auto count = [families, clock](const char *kind, const char *outcome, Millis sentAt) {
        families->storeCalls.Add({{"kind", kind}, {"outcome", outcome}}).Increment();
        families->storeSeconds.Add({{"kind", kind}}, latencyBuckets)
            .Observe(static_cast<double>((clock.boot() - sentAt).count) * secondsPerMilli);
    };
    StorePort instrumented;
    instrumented.commit = [store, clock, count](RowTransaction tx, Millis timeout, std::function<void(CommitResult)> done) {
        store.commit(std::move(tx), timeout, [count, sentAt = clock.boot(), done = std::move(done)](CommitResult result) {
            count("commit", nameOf(result.outcome), sentAt);
            done(std::move(result));
        });
    };
    instrumented.read = [store, clock, count](RowRange range, Millis timeout, std::function<void(ReadResult)> done) {
        store.read(std::move(range), timeout, [count, sentAt = clock.boot(), done = std::move(done)](ReadResult result) {
            count("read", nameOf(result.outcome), sentAt);
            done(std::move(result));
        });
    };
    instrumented.feed = [families,
                         store](std::string table, std::uint64_t after, Millis wait, Millis timeout, std::function<void(ReadResult)> done) {
        store.feed(std::move(table), after, wait, timeout, [families, done = std::move(done)](ReadResult result) {
            // The duration is not recorded: it is mostly the wait for a change.
            families->storeCalls.Add({{"kind", "feed"}, {"outcome", nameOf(result.outcome)}}).Increment();
            done(std::move(result));
        });
    };
    return instrumented;
}

WorkerPort Metrics::instrument(WorkerPort workers, Clock clock)
{
    auto *const families = m_families.get();
    WorkerPort instrumented = workers;
    instrumented.start =
        [families, workers, clock](StartOrder order, Millis timeout, MaySend maySend, std::function<void(OrderResult)> done) {
            workers.start(std::move(order),
                          timeout,
                          std::move(maySend),
                          [families, clock, sentAt = clock.boot(), done = std::move(done)](OrderResult result) {
                              families->orders.Add({{"kind", "start"}, {"outcome", nameOf(result.outcome)}}).Increment();
                              families->orderSeconds.Add({{"kind", "start"}}, latencyBuckets)
                                  .Observe(static_cast<double>((clock.boot() - sentAt).count) * secondsPerMilli);
                              done(std::move(result));
                          });
        };
    instrumented.stop = [families, workers](StopOrder order, Millis timeout, MaySend maySend, std::function<void(OrderResult)> done) {
        workers.stop(std::move(order), timeout, std::move(maySend), [families, done = std::move(done)](OrderResult result) {
            families->orders.Add({{"kind", "stop"}, {"outcome", nameOf(result.outcome)}}).Increment();
            done(std::move(result));
        });
    };
    instrumented.renew = [families, workers](RenewOrder order, Millis timeout, MaySend maySend, std::function<void(RenewResult)> done) {
        workers.renew(std::move(order), timeout, std::move(maySend), [families, done = std::move(done)](RenewResult result) {
            families->orders.Add({{"kind", "hold"}, {"outcome", nameOf(result.outcome)}}).Increment();
            for (const auto &it : result.ended) {
                families->ends.Add({{"end", nameOf(it.end)}}).Increment();
            }
            done(std::move(result));
        });
    };
    return instrumented;
}

void Metrics::recordAnswer(std::string_view call, const Answer &answer, Millis duration)
{
    m_families->answers.Add({{"call", std::string(call)}, {"outcome", nameOf(answer.kind)}}).Increment();
    m_families->answerSeconds.Add({{"call", std::string(call)}}, latencyBuckets)
        .Observe(static_cast<double>(duration.count) * secondsPerMilli);
}

void Metrics::recordLoopDelay(Millis length)
{
    m_families->loopDelays.Add({}).Increment(static_cast<double>(length.count) * secondsPerMilli);
}

void Metrics::recordAckDelay(AckDelay delay)
{
    m_families->ackDelays.Add({{"reason", nameOf(delay)}}).Increment();
}

std::string Metrics::render(const ShardHost &host) const
{
    m_families->oldestUnackedEnd.Add({}).Set(static_cast<double>(host.oldestUnackedEndAge().count) * secondsPerMilli);
    m_families->shards.Add({}).Set(static_cast<double>(host.leases().held().size()));
    m_families->logLines.Add({}).Set(static_cast<double>(droppedLogLines()));
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_families->registry.Collect());
    return out.str();
}

} // namespace hibiscusbridge::jobs
