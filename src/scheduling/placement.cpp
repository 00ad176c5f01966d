// Placement of subtasks on workers.
#include "scheduling/placement.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace hibiscusbridge::jobs
{

bool canTake(const StepSpec &step, const Candidate &worker)
{
    if (!worker.usable || !fits(reserved(step), worker.free)) {
        return false;
    }
    if (step.maxPerWorker > 0 && worker.siblings >= step.maxPerWorker) {
        return false;
    }
    return step.requiredLabel.empty() || std::find(worker.labels.begin(), worker.labels.end(), step.requiredLabel) != worker.labels.end();
}

/// CPU in use, in thousandths of the worker's capacity.
static std::int64_t usedShareOf(const Candidate &worker)
{
    const auto used = worker.capacity.cpuMilli - worker.free.cpuMilli;
    return worker.capacity.cpuMilli > 0 ? used * 1000 / worker.capacity.cpuMilli : 1000;
}

/// Lower is better. Compares failure penalty, rack of the data and siblings, interference and load, in this order.
static auto costOf(const StepSpec &step, const Candidate &worker, std::string_view siblingRack)
{
    const bool farFromData = !step.preferredRack.empty() && worker.rack != step.preferredRack;
    const bool farFromSiblings = step.sameRack && !siblingRack.empty() && worker.rack != siblingRack;
    // Latency-sensitive subtasks and subtasks that use spare CPU interfere, so they are kept apart while there is room.
    int interference = 0;
    if (step.usesSpareCpu) {
        interference = worker.serving - worker.spareCpuRuns;
    } else if (step.tailLatencyTarget.count > 0) {
        interference = worker.spareCpuRuns;
    }
    // Packed onto the workers that already run long-running subtasks, and onto the fullest ones, so that idle VMs can be moved or
    // maintained. A VM with a long-running subtask can't be moved to another pool.
    const auto load = step.longRunning ? -worker.serving : 0;
    return std::make_tuple(worker.failurePenalty, farFromData || farFromSiblings, interference, load, -usedShareOf(worker));
}

std::optional<std::size_t> chooseWorker(const StepSpec &step, std::span<const Candidate> workers, std::string_view siblingRack)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (!canTake(step, workers[i])) {
            continue;
        }
        if (!best || costOf(step, workers[i], siblingRack) < costOf(step, workers[*best], siblingRack)) {
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> chooseForSuspect(const StepSpec &step, std::span<const Candidate> workers, Millis quietSince)
{
    const auto costOf = [](const Candidate &it) {
        return std::make_pair(it.failurePenalty, usedShareOf(it));
    };
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const bool quiet = workers[i].lastStartAt <= quietSince;
        if (quiet && canTake(step, workers[i]) && (!best || costOf(workers[i]) < costOf(workers[*best]))) {
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> chooseQuietest(const StepSpec &step, std::span<const Candidate> workers)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (canTake(step, workers[i]) && (!best || workers[i].lastStartAt < workers[*best].lastStartAt)) {
            best = i;
        }
    }
    return best;
}

static std::optional<std::vector<std::size_t>> chooseGangOn(const StepSpec &step,
                                                            std::span<const Candidate> workers,
                                                            int count,
                                                            const std::string_view *rack)
{
    std::vector<Candidate> remaining(workers.begin(), workers.end());
    if (rack) {
        for (auto &it : remaining) {
            it.usable = it.usable && it.rack == *rack;
        }
    }
    std::vector<std::size_t> chosen;
    for (int n = 0; n < count; ++n) {
        const auto i = chooseWorker(step, remaining, {});
        if (!i) {
            return std::nullopt;
        }
        chosen.push_back(*i);
        remaining[*i].free = remaining[*i].free - reserved(step);
        ++remaining[*i].siblings;
    }
    return chosen;
}

std::optional<std::vector<std::size_t>> chooseGang(const StepSpec &step, std::span<const Candidate> workers, int count, bool apart)
{
    if (apart && step.maxPerWorker != 1) {
        auto spread = step;
        spread.maxPerWorker = 1;
        if (auto chosen = chooseGang(spread, workers, count)) {
            return chosen;
        }
    }
    if (step.sameRack) {
        std::set<std::string_view> racks;
        for (const auto &it : workers) {
            racks.insert(it.rack);
        }
        for (const auto &rack : racks) {
            if (auto chosen = chooseGangOn(step, workers, count, &rack)) {
                return chosen;
            }
        }
    }
    return chooseGangOn(step, workers, count, nullptr);
}

} // namespace hibiscusbridge::jobs
