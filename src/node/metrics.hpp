// Counters and latency histograms of an entry, exposed in the Prometheus text format.
#pragma once

#include "intake/intake.hpp"
#include "node/shardhost.hpp"
#include "ports/store.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace hibiscusbridge::jobs
{

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Wraps the port to count its calls by kind and outcome and to record their durations.
    StorePort instrument(StorePort store, Clock clock);
    WorkerPort instrument(WorkerPort workers, Clock clock);
    void recordAnswer(std::string_view call, const Answer &answer, Millis duration);
    /// Counts a second in which a pool had an end that waited long for its acknowledgement.
    void recordAckDelay(AckDelay delay);
    void recordLoopDelay(Millis length);
    /// Renders all metrics, including the current state of the shards and the number of dropped log lines.
    std::string render(const ShardHost &host) const;

private:
    struct Families;

    std::unique_ptr<Families> m_families;
};

} // namespace hibiscusbridge::jobs
