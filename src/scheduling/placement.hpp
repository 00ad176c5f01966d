// Placement of subtasks on workers: pure functions without clocks or network.
#pragma once

#include "jobs/job.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge::jobs
{

/// A worker as input to placement.
struct Candidate {
    Resources free;
    Resources capacity;
    std::string_view rack;
    std::span<const std::string> labels;
    /// Runs of the same step and occurrence on this worker.
    int siblings = 0;
    /// Runs of long-running subtasks, and runs that use only spare CPU.
    int serving = 0;
    int spareCpuRuns = 0;
    /// A worker with a higher value is chosen only if none with a lower value fits.
    int failurePenalty = 0;
    /// False for a worker that gets no new work: unreachable, draining, cordoned, backing off, or without a ticket.
    bool usable = false;
    /// Boot clock: when something was started on it last, or now if a start is under way.
    Millis lastStartAt;
    /// Runs a subtask that may crash it, and so gets nothing else for a while.
    bool inProbation = false;
};

/// True if one more subtask of the step may be placed on the worker.
bool canTake(const StepSpec &step, const Candidate &worker);

/// Returns the index of the best worker, or nullopt if none fits. `siblingRack` is the rack of the step's current runs; empty if
/// there are none.
std::optional<std::size_t> chooseWorker(const StepSpec &step, std::span<const Candidate> workers, std::string_view siblingRack);

/// Returns the index of the worker on which a crash of the subtask would do the least harm and leave no doubt about its cause: nothing was
/// started there after `quietSince`, and the smallest share of its CPU is in use. Returns nullopt if none fits.
std::optional<std::size_t> chooseForSuspect(const StepSpec &step, std::span<const Candidate> workers, Millis quietSince);
/// Returns the index of the worker that fits and on which the latest start is the longest ago, or nullopt if none fits.
std::optional<std::size_t> chooseQuietest(const StepSpec &step, std::span<const Candidate> workers);

/// Returns one worker for each of `count` subtasks that must start together, on a single rack if the step requests it and a rack
/// has enough room. `apart` prefers a worker of its own for each. Returns nullopt if they don't all fit.
std::optional<std::vector<std::size_t>> chooseGang(const StepSpec &step, std::span<const Candidate> workers, int count, bool apart = false);

} // namespace hibiscusbridge::jobs
