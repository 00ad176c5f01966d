// Chooses workers for subtasks: functions over plain structs, without clocks or network.
#pragma once

#include "jobs/job.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge::jobs
{

/// A worker as the choice sees it.
struct Candidate {
    Resources free;
    Resources capacity;
    std::string_view rack;
    std::span<const std::string> labels;
    /// Subtasks of the same step and occurrence that run there.
    int siblings = 0;
    /// Lasting subtasks that run there, and the ones of these that use spare CPU.
    int serving = 0;
    int spareCpuRuns = 0;
    /// Workers with a higher value are taken only when no other fits.
    int failurePenalty = 0;
    /// False keeps new work away: unheard, draining, being emptied, or without a ticket.
    bool usable = false;
};

/// True when the step may start one more subtask on the worker.
bool canTake(const StepSpec &step, const Candidate &worker);

/// Index of the worker to take; nothing when none fits. `siblingRack` is the rack of subtasks that run already; empty for none.
std::optional<std::size_t> chooseWorker(const StepSpec &step, std::span<const Candidate> workers, std::string_view siblingRack);

/// One worker for each of `count` subtasks that must start together, on one rack if the step asks for it and one has room.
/// Nothing when they don't all fit.
std::optional<std::vector<std::size_t>> chooseGang(const StepSpec &step, std::span<const Candidate> workers, int count);

} // namespace hibiscusbridge::jobs
