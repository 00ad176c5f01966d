// The stored form of jobs and of their progress.
#include "jobs/codec.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusbridge::jobs
{

using Json = nlohmann::json;

JobRecord emptyRecord(const JobSpec &spec)
{
    JobRecord record;
    std::vector<std::vector<SubtaskRecord>> steps;
    for (const auto &it : spec.steps) {
        steps.emplace_back(static_cast<std::size_t>(it.count));
    }
    record.occurrences.assign(static_cast<std::size_t>(occurrenceCount(spec)), steps);
    return record;
}

static std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static Json encodeStep(const StepSpec &step)
{
    return Json::array({step.count,
                        step.need.cpuMilli,
                        step.need.memoryMb,
                        step.need.gpus,
                        step.estimate.count,
                        step.after,
                        step.checkpointing,
                        step.gang,
                        step.sameRack,
                        step.requiredLabel,
                        step.preferredRack,
                        step.maxPerWorker,
                        step.speculativeExecution,
                        step.longRunning,
                        step.image,
                        step.tailLatencyTarget.count,
                        step.usesSpareCpu,
                        step.maxUnavailable});
}

static StepSpec decodeStep(const Json &json)
{
    StepSpec step;
    step.count = json.at(0).get<int>();
    step.need = {json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>(), json.at(3).get<std::int64_t>()};
    step.estimate = {json.at(4).get<std::int64_t>()};
    step.after = json.at(5).get<std::vector<int>>();
    step.checkpointing = json.at(6).get<bool>();
    step.gang = json.at(7).get<bool>();
    step.sameRack = json.at(8).get<bool>();
    step.requiredLabel = json.at(9).get<std::string>();
    step.preferredRack = json.at(10).get<std::string>();
    step.maxPerWorker = json.at(11).get<int>();
    step.speculativeExecution = json.at(12).get<bool>();
    step.longRunning = json.at(13).get<bool>();
    step.image = json.at(14).get<std::string>();
    step.tailLatencyTarget = {json.at(15).get<std::int64_t>()};
    step.usesSpareCpu = json.at(16).get<bool>();
    step.maxUnavailable = json.at(17).get<int>();
    return step;
}

std::string encodeSpec(const JobSpec &spec)
{
    Json steps = Json::array();
    for (const auto &it : spec.steps) {
        steps.push_back(encodeStep(it));
    }
    const auto &policy = spec.policy;
    return dump(Json::array({spec.route,
                             spec.payload,
                             std::move(steps),
                             spec.times,
                             spec.startAt.count,
                             spec.interval.count,
                             policy.priority,
                             policy.maxAttempts,
                             policy.stretch,
                             policy.latencyTarget.count,
                             policy.needsAdvice,
                             spec.acceptedAt.count,
                             policy.adviceTime.count,
                             policy.adviceTimePerWorker.count}));
}

std::optional<JobSpec> decodeSpec(std::string_view id, std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        JobSpec spec{.id = std::string(id), .route = json.at(0).get<std::string>(), .payload = json.at(1).get<std::string>()};
        for (const auto &it : json.at(2)) {
            spec.steps.push_back(decodeStep(it));
        }
        spec.times = json.at(3).get<int>();
        spec.startAt = {json.at(4).get<std::int64_t>()};
        spec.interval = {json.at(5).get<std::int64_t>()};
        spec.policy.priority = json.at(6).get<int>();
        spec.policy.maxAttempts = json.at(7).get<int>();
        spec.policy.stretch = json.at(8).get<double>();
        spec.policy.latencyTarget = {json.at(9).get<std::int64_t>()};
        spec.policy.needsAdvice = json.at(10).get<bool>();
        spec.acceptedAt = {json.at(11).get<std::int64_t>()};
        spec.policy.adviceTime = {json.at(12).get<std::int64_t>()};
        spec.policy.adviceTimePerWorker = {json.at(13).get<std::int64_t>()};
        return spec;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

/// 0 for a subtask that was never started, 1 for one that is done; otherwise its fields.
static Json encodeSubtask(const SubtaskRecord &subtask)
{
    if (subtask.done && subtask.runs.empty()) {
        return 1;
    }
    if (subtask == SubtaskRecord{}) {
        return 0;
    }
    Json runs = Json::array();
    for (const auto &it : subtask.runs) {
        runs.push_back(Json::array({it.number, it.workerId, it.workerStartedAt}));
    }
    return Json::array({subtask.done ? 1 : 0, subtask.failedRuns, subtask.lastRun, subtask.checkpoint, std::move(runs)});
}

static SubtaskRecord decodeSubtask(const Json &json)
{
    SubtaskRecord subtask;
    if (json.is_number()) {
        subtask.done = json.get<int>() == 1;
        return subtask;
    }
    subtask.done = json.at(0).get<int>() == 1;
    subtask.failedRuns = json.at(1).get<std::vector<int>>();
    subtask.lastRun = json.at(2).get<int>();
    subtask.checkpoint = json.at(3).get<std::string>();
    for (const auto &it : json.at(4)) {
        subtask.runs.push_back({it.at(0).get<int>(), it.at(1).get<std::string>(), it.at(2).get<std::int64_t>()});
    }
    return subtask;
}

std::string encodeRecord(const JobRecord &record)
{
    Json occurrences = Json::array();
    for (const auto &steps : record.occurrences) {
        Json stepsJson = Json::array();
        for (const auto &subtasks : steps) {
            Json subtasksJson = Json::array();
            for (const auto &it : subtasks) {
                subtasksJson.push_back(encodeSubtask(it));
            }
            stepsJson.push_back(std::move(subtasksJson));
        }
        occurrences.push_back(std::move(stepsJson));
    }
    return dump(Json::array({static_cast<int>(record.phase), record.endedAt.count, std::move(occurrences)}));
}

std::optional<JobRecord> decodeRecord(const JobSpec &spec, std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        auto record = emptyRecord(spec);
        record.phase = static_cast<JobPhase>(json.at(0).get<int>());
        record.endedAt = {json.at(1).get<std::int64_t>()};
        for (std::size_t k = 0; k < record.occurrences.size(); ++k) {
            for (std::size_t step = 0; step < record.occurrences[k].size(); ++step) {
                for (std::size_t i = 0; i < record.occurrences[k][step].size(); ++i) {
                    record.occurrences[k][step][i] = decodeSubtask(json.at(2).at(k).at(step).at(i));
                }
            }
        }
        return record;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::optional<JobPhase> decodePhase(std::string_view text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_array() || json.empty() || !json[0].is_number_integer()) {
        return std::nullopt;
    }
    const auto phase = json[0].get<int>();
    if (phase < static_cast<int>(JobPhase::Queued) || phase > static_cast<int>(JobPhase::Cancelled)) {
        return std::nullopt;
    }
    return static_cast<JobPhase>(phase);
}

} // namespace hibiscusbridge::jobs
