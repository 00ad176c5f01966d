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
};

/// True if one more subtask of the step may be placed on the worker.
bool canTake(const StepSpec &step, const Candidate &worker);

/// Returns the index of the best worker, or nullopt if none fits. `siblingRack` is the rack of the step's current runs; empty if
/// there are none.
std::optional<std::size_t> chooseWorker(const StepSpec &step, std::span<const Candidate> workers, std::string_view siblingRack);

/// Returns one worker for each of `count` subtasks that must start together, on a single rack if the step requests it and a rack
/// has enough room. Returns nullopt if they don't all fit.
std::optional<std::vector<std::size_t>> chooseGang(const StepSpec &step, std::span<const Candidate> workers, int count);

} // namespace hibiscusbridge::jobs
