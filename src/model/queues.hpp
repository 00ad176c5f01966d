// The operators' configuration of queues and pools in force.
#pragma once

#include "jobs/job.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge::jobs
{

/// A route: where callers hand in jobs, and the pool that runs them.
struct Queue {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string pool;
    QueuePolicy policy;

    bool operator==(const Queue &) const = default;
};

struct PoolConfig {
    std::string name;
    /// Workers refuse what does not fit; otherwise they start whatever they are told.
    bool workersGuardCapacity = false;
    /// VMs of the pool are off and cost nothing.
    bool standby = false;

    bool operator==(const PoolConfig &) const = default;
};

struct Configuration {
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<PoolConfig> pools;
};

/// The queue of a host and a path by the longest prefix; null when there is none. A port in `host` is ignored.
const Queue *findQueue(const Configuration &configuration, std::string_view host, std::string_view path);

/// A request of the operators to maintain VMs.
struct Wave {
    std::int64_t number = 0;
    std::vector<std::string> vms;
    /// From the moment the wave was written.
    Millis finishWithin;
    int maxAtOnce = 1;

    bool operator==(const Wave &) const = default;
};

} // namespace hibiscusbridge::jobs
