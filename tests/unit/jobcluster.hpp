// Several entries that own pools, with a store and workers in memory.
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

/// One step of `count` subtasks.
StepSpec makeStep(int count, std::int64_t cpuMilli, Millis estimate, std::vector<int> after = {});
JobSpec makeJob(std::string id, std::vector<StepSpec> steps);
/// A job id of 16 hexadecimal digits.
std::string jobId(int n);

class JobCluster
{
public:
    /// `entries` entries and `workers` workers of 8 cores in pool `pool`.
    JobCluster(int entries, int workers);
    ~JobCluster();

    void startEntry(const std::string &name);
    /// Ends the process without a word.
    void killEntry(const std::string &name);
    void stopEntry(const std::string &name);
    /// Name of the entry that owns the pool; empty when none does.
    std::string owner() const;
    /// Submits through an entry; the answer appears in `answers`.
    void submit(const std::string &entry, const JobSpec &spec);
    void cancel(const std::string &entry, const std::string &id);
    Answer readState(const std::string &entry, const std::string &id);
    /// Registers a worker.
    void registerWorker(const WorkerRegistration &worker);
    void unregisterWorker(const std::string &id);
    JobPhase phaseOf(const std::string &id) const;
    bool allFinal() const;

    FakeLoop loop;
    FakeStore store{loop};
    FakeWorkers workers{loop};
    std::vector<std::string> names;
    std::map<std::string, Answer> answers;
    std::vector<std::string> accepted;

private:
    struct Entry {
        std::unique_ptr<ShardHost> host;
        std::unique_ptr<Intake> intake;
    };

    Configuration m_configuration;
    std::map<std::string, Entry> m_entries;
};

} // namespace hibiscusbridge::jobs
