// Counters and latency histograms of an entry, in the Prometheus text format.
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

    /// The same port, with its calls counted by kind and outcome and their durations.
    StorePort instrument(StorePort store, Clock clock);
    WorkerPort instrument(WorkerPort workers, Clock clock);
    void recordAnswer(std::string_view call, const Answer &answer, Millis duration);
    /// Renders everything, with the shards held and the log lines dropped as they are now.
    std::string render(const ShardHost &host) const;

private:
    struct Families;

    std::unique_ptr<Families> m_families;
};

} // namespace hibiscusbridge::jobs
