// Test cluster of several entries with one pool, an in-memory store and in-memory workers.
#pragma once

#include "fakes/fakeloop.hpp"
#include "fakes/fakestore.hpp"
#include "fakes/fakeworkers.hpp"
#include "intake/intake.hpp"
#include "node/shardhost.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

/// A step of `count` subtasks that depends on the steps in `after`.
StepSpec makeStep(int count, std::int64_t cpuMilli, Millis estimate, std::vector<int> after = {});
JobSpec makeJob(std::string id, std::vector<StepSpec> steps);
/// Formats `n` as a job id of 16 hexadecimal digits.
std::string jobId(int n);

class JobCluster
{
public:
    /// Starts `entries` entries and registers `workers` workers of 8 cores in the pool `pool`, which is divided into cells.
    JobCluster(int entries, int workers, int cells = 1);
    ~JobCluster();

    void startEntry(const std::string &name);
    /// Destroys the entry without a graceful shutdown.
    void killEntry(const std::string &name);
    void stopEntry(const std::string &name);
    /// Freezes the entry: its timers and the results of its calls are kept until `resumeEntry`, which runs them in order. What it
    /// has sent is carried out.
    void pauseEntry(const std::string &name);
    void resumeEntry(const std::string &name);
    /// Delays every timer and every result of a call to the entry, as on a VM that has too little processor time.
    void delayEntry(const std::string &name, Millis lag)
    {
        m_lags[name] = lag;
    }
    /// Lets `to` request the shard of the cell from its owner. Returns whether the owner hands it over.
    bool requestShard(const std::string &to, int cell = 0);
    const ShardHost &host(const std::string &name) const
    {
        return *m_entries.at(name).host;
    }
    /// Name of the entry that owns the pool's shard of this cell; empty if no entry does.
    std::string owner(int cell = 0) const;
    /// Gives the entries a version of the configuration that sends the queue's jobs to this pool, under this name of the queue.
    void moveQueue(const std::vector<std::string> &entries, const std::string &pool, const std::string &route);
    /// Gives the entries a version of the configuration without the queue.
    void removeQueue(const std::vector<std::string> &entries);
    /// Submits the job through an entry; the response is stored in `answers` under the job id.
    void submit(const std::string &entry, const JobSpec &spec);
    void cancel(const std::string &entry, const std::string &id);
    /// Length of the queue that the entry tells callers; a refusal if it does not know it.
    Answer readQueue(const std::string &entry);
    Answer readState(const std::string &entry, const std::string &id);
    void registerWorker(const WorkerRegistration &worker);
    void unregisterWorker(const std::string &id);
    JobPhase phaseOf(const std::string &id) const;
    bool allFinal() const;

    FakeLoop loop;
    FakeStore store{loop};
    FakeWorkers workers{loop};
    std::vector<std::string> names;
    std::map<std::string, Answer> answers;
    /// Reports of ends that waited long for their acknowledgement, by reason.
    std::map<AckDelay, int> ackDelays;
    std::vector<std::string> accepted;

private:
    struct Entry {
        std::unique_ptr<ShardHost> host;
        std::unique_ptr<Intake> intake;
    };

    /// Runs the function after the entry's lag, or keeps it while the entry is frozen.
    void deliver(const std::string &name, std::function<void()> fn);
    void deliverNow(const std::string &name, std::function<void()> fn);
    TimerPort timersOf(const std::string &name);
    StorePort storeOf(const std::string &name);
    WorkerPort workersOf(const std::string &name);

    void configure(const std::vector<std::string> &entries, std::vector<Queue> queues);

    std::map<std::string, std::vector<std::function<void()>>> m_frozen;
    std::map<std::string, Millis> m_lags;
    Configuration m_configuration;
    Cells m_cells;
    std::map<std::string, Entry> m_entries;
};

} // namespace hibiscusbridge::jobs
