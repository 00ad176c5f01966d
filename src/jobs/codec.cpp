// Encodes and decodes stored jobs and their progress. The position of each array element is part of the stored format.
#include "jobs/codec.hpp"

#include "helpers/json.hpp"
#include "jobs/check.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace hibiscusbridge::jobs
{

std::string toString(const SubtaskId &id)
{
    return id.job + "." + std::to_string(id.occurrence) + "." + std::to_string(id.step) + "." + std::to_string(id.index);
}

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
    step.count = toInt(json.at(0));
    step.need = {toNumber(json.at(1)), toNumber(json.at(2)), toNumber(json.at(3))};
    step.estimate = {toNumber(json.at(4))};
    for (const auto &it : json.at(5)) {
        step.after.push_back(toInt(it, -1));
    }
    step.checkpointing = json.at(6).get<bool>();
    step.gang = json.at(7).get<bool>();
    step.sameRack = json.at(8).get<bool>();
    step.requiredLabel = json.at(9).get<std::string>();
    step.preferredRack = json.at(10).get<std::string>();
    step.maxPerWorker = toInt(json.at(11));
    step.speculativeExecution = json.at(12).get<bool>();
    step.longRunning = json.at(13).get<bool>();
    step.image = json.at(14).get<std::string>();
    step.tailLatencyTarget = {toNumber(json.at(15))};
    step.usesSpareCpu = json.at(16).get<bool>();
    step.maxUnavailable = toInt(json.at(17));
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

static bool isValid(const QueuePolicy &policy)
{
    const auto isDuration = [](Millis it) {
        return it >= Millis{0} && it <= maxDuration;
    };
    return policy.maxAttempts >= 1 && policy.stretch >= 0 && policy.stretch <= maxStretch && isDuration(policy.latencyTarget)
           && isDuration(policy.adviceTime) && isDuration(policy.adviceTimePerWorker);
}

std::optional<JobSpec> decodeSpec(std::string_view id, std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        JobSpec spec{.id = std::string(id), .route = json.at(0).get<std::string>(), .payload = json.at(1).get<std::string>()};
        for (const auto &it : json.at(2)) {
            spec.steps.push_back(decodeStep(it));
        }
        spec.times = toInt(json.at(3));
        spec.startAt = {toNumber(json.at(4))};
        spec.interval = {toNumber(json.at(5))};
        spec.policy.priority = toInt(json.at(6));
        spec.policy.maxAttempts = toInt(json.at(7));
        spec.policy.stretch = json.at(8).get<double>();
        spec.policy.latencyTarget = {toNumber(json.at(9))};
        spec.policy.needsAdvice = json.at(10).get<bool>();
        spec.acceptedAt = {toNumber(json.at(11))};
        spec.policy.adviceTime = {toNumber(json.at(12))};
        spec.policy.adviceTimePerWorker = {toNumber(json.at(13))};
        if (!checkSpec(spec).ok() || !isValid(spec.policy)) {
            return std::nullopt;
        }
        return spec;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

namespace
{

/// Worker incarnations that the subtasks of a part refer to by their position.
class WorkerTable
{
public:
    std::size_t positionOf(const std::string &id, std::int64_t startedAt)
    {
        const auto [it, isNew] = m_positions.try_emplace({id, startedAt}, m_positions.size());
        if (isNew) {
            m_rows.push_back(Json::array({id, startedAt}));
        }
        return it->second;
    }
    const Json &rows() const
    {
        return m_rows;
    }

private:
    std::map<std::pair<std::string, std::int64_t>, std::size_t> m_positions;
    Json m_rows = Json::array();
};

} // namespace

/// Adds the worker to a row of a run or a crash; `table` is null in a record of a single row, which names each worker in full.
static void addWorker(Json &row, const std::string &id, std::int64_t startedAt, WorkerTable *table)
{
    if (table) {
        row.push_back(table->positionOf(id, startedAt));
        return;
    }
    row.push_back(id);
    row.push_back(startedAt);
}

/// 0 for a subtask without progress, 1 for a completed one without runs, otherwise an array of its fields.
static Json encodeSubtask(const SubtaskRecord &subtask, WorkerTable *table)
{
    if (subtask.done && subtask.runs.empty()) {
        return 1;
    }
    if (subtask == SubtaskRecord{}) {
        return 0;
    }
    Json runs = Json::array();
    for (const auto &it : subtask.runs) {
        auto row = Json::array({it.number});
        addWorker(row, it.workerId, it.workerStartedAt, table);
        runs.push_back(std::move(row));
    }
    auto json = Json::array({subtask.done ? 1 : 0, subtask.failedRuns, subtask.lastRun, subtask.checkpoint, std::move(runs)});
    if (!subtask.crashes.empty()) {
        Json crashes = Json::array();
        for (const auto &it : subtask.crashes) {
            auto row = Json::array();
            addWorker(row, it.workerId, it.workerStartedAt, table);
            row.push_back(static_cast<int>(it.suspicion));
            row.push_back(it.confirmed);
            if (!it.vm.empty()) {
                row.push_back(it.vm);
            }
            crashes.push_back(std::move(row));
        }
        json.push_back(std::move(crashes));
    }
    return json;
}

/// Reads what `addWorker` has added at `position` and returns the position after it.
static std::size_t readWorker(const Json &row, std::size_t position, const Json *table, std::string &id, std::int64_t &startedAt)
{
    const auto &worker = table ? table->at(row.at(position).get<std::size_t>()) : row;
    const auto at = table ? 0 : position;
    id = worker.at(at).get<std::string>();
    startedAt = toNumber(worker.at(at + 1));
    return position + (table ? 1 : 2);
}

static CrashRecord decodeCrash(const Json &json, const Json *table)
{
    CrashRecord crash;
    const auto next = readWorker(json, 0, table, crash.workerId, crash.workerStartedAt);
    const auto suspicion = std::clamp(toInt(json.at(next)), 0, static_cast<int>(Suspicion::SoleSuspect));
    crash.suspicion = static_cast<Suspicion>(suspicion);
    crash.confirmed = json.at(next + 1).get<bool>();
    crash.vm = json.size() > next + 2 ? json.at(next + 2).get<std::string>() : std::string();
    return crash;
}

static SubtaskRecord decodeSubtask(const Json &json, const Json *table)
{
    SubtaskRecord subtask;
    if (json.is_number()) {
        subtask.done = toInt(json) == 1;
        return subtask;
    }
    subtask.done = toInt(json.at(0)) == 1;
    for (const auto &it : json.at(1)) {
        subtask.failedRuns.push_back(toInt(it));
    }
    subtask.lastRun = std::max(toInt(json.at(2)), 0);
    subtask.checkpoint = json.at(3).get<std::string>();
    for (const auto &it : json.at(4)) {
        RunRecord run{.number = toInt(it.at(0))};
        readWorker(it, 1, table, run.workerId, run.workerStartedAt);
        subtask.runs.push_back(std::move(run));
    }
    if (json.size() > 5) { // Records of earlier versions have no crashes.
        for (const auto &it : json.at(5)) {
            subtask.crashes.push_back(decodeCrash(it, table));
        }
    }
    return subtask;
}

/// `subtasks` is the array of all subtasks, or the number of parts that hold them.
static std::string encodeFirstRow(const JobRecord &record, Json subtasks)
{
    auto json = Json::array({static_cast<int>(record.phase), record.endedAt.count, std::move(subtasks)});
    if (!record.failureReason.empty()) {
        json.push_back(record.failureReason);
    }
    return dump(json);
}

std::string encodeRecord(const JobRecord &record)
{
    Json occurrences = Json::array();
    for (const auto &steps : record.occurrences) {
        Json stepsJson = Json::array();
        for (const auto &subtasks : steps) {
            Json subtasksJson = Json::array();
            for (const auto &it : subtasks) {
                subtasksJson.push_back(encodeSubtask(it, nullptr));
            }
            stepsJson.push_back(std::move(subtasksJson));
        }
        occurrences.push_back(std::move(stepsJson));
    }
    return encodeFirstRow(record, std::move(occurrences));
}

/// The subtasks of all occurrences and steps in one sequence.
template<typename Record>
static auto flattened(Record &record)
{
    std::vector<decltype(&record.occurrences[0][0][0])> subtasks;
    for (auto &steps : record.occurrences) {
        for (auto &step : steps) {
            for (auto &it : step) {
                subtasks.push_back(&it);
            }
        }
    }
    return subtasks;
}

/// Index of the first subtask in part `part` of `parts`.
static std::size_t firstOfPart(std::size_t part, std::size_t parts, std::size_t subtasks)
{
    return part * subtasks / parts;
}

static std::string encodePart(std::span<const SubtaskRecord *const> subtasks)
{
    WorkerTable table;
    Json json = Json::array();
    for (const auto *const it : subtasks) {
        json.push_back(encodeSubtask(*it, &table));
    }
    return dump(Json::array({table.rows(), std::move(json)}));
}

RecordRows encodeRecordRows(const JobRecord &record, std::size_t maxRowBytes, std::size_t minParts)
{
    auto parts = minParts;
    if (parts == 0) {
        RecordRows single{.first = encodeRecord(record)};
        if (single.first.size() <= maxRowBytes) {
            return single;
        }
        parts = single.first.size() / maxRowBytes + 1;
    }
    const auto subtasks = flattened(record);
    for (;; parts *= 2) {
        parts = std::min(parts, subtasks.size());
        RecordRows rows{.first = encodeFirstRow(record, parts)};
        bool fits = true;
        for (std::size_t i = 0; i < parts; ++i) {
            const auto first = firstOfPart(i, parts, subtasks.size());
            const auto end = firstOfPart(i + 1, parts, subtasks.size());
            rows.parts.push_back(encodePart(std::span(subtasks).subspan(first, end - first)));
            fits = fits && rows.parts.back().size() <= maxRowBytes;
        }
        if (fits || parts == subtasks.size()) {
            return rows;
        }
    }
}

static std::optional<JobPhase> phaseOf(const Json &json)
{
    const auto phase = json.is_number_integer() ? toInt(json) : -1;
    if (phase < static_cast<int>(JobPhase::Queued) || phase > static_cast<int>(JobPhase::Cancelled)) {
        return std::nullopt;
    }
    return static_cast<JobPhase>(phase);
}

/// Throws `Json::exception` if the parts do not have exactly the subtasks of the record.
static void decodeParts(JobRecord &record, std::span<const std::string> parts)
{
    const auto subtasks = flattened(record);
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const auto json = Json::parse(parts[part]);
        const auto first = firstOfPart(part, parts.size(), subtasks.size());
        const auto end = firstOfPart(part + 1, parts.size(), subtasks.size());
        for (auto i = first; i < end; ++i) {
            *subtasks[i] = decodeSubtask(json.at(1).at(i - first), &json.at(0));
        }
    }
    record.parts = parts.size();
}

std::optional<JobRecord> decodeRecord(const JobSpec &spec, std::string_view first, std::span<const std::string> parts)
{
    try {
        const auto json = Json::parse(first);
        auto record = emptyRecord(spec);
        const auto phase = phaseOf(json.at(0));
        if (!phase) {
            return std::nullopt;
        }
        record.phase = *phase;
        record.endedAt = {toNumber(json.at(1))};
        record.failureReason = json.size() > 3 ? json.at(3).get<std::string>() : std::string();
        if (const auto &subtasks = json.at(2); subtasks.is_number()) {
            if (parts.empty() || toNumber(subtasks) != static_cast<std::int64_t>(parts.size())) {
                return std::nullopt;
            }
            decodeParts(record, parts);
            return record;
        }
        for (std::size_t k = 0; k < record.occurrences.size(); ++k) {
            for (std::size_t step = 0; step < record.occurrences[k].size(); ++step) {
                for (std::size_t i = 0; i < record.occurrences[k][step].size(); ++i) {
                    record.occurrences[k][step][i] = decodeSubtask(json.at(2).at(k).at(step).at(i), nullptr);
                }
            }
        }
        return record;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::optional<JobOutcome> decodeOutcome(std::string_view text)
{
    const auto json = Json::parse(text, nullptr, false);
    const auto phase = json.is_array() && !json.empty() ? phaseOf(json[0]) : std::nullopt;
    if (!phase) {
        return std::nullopt;
    }
    return JobOutcome{*phase, json.size() > 3 && json[3].is_string() ? json[3].get<std::string>() : std::string()};
}

std::optional<JobPhase> decodePhase(std::string_view text)
{
    const auto outcome = decodeOutcome(text);
    return outcome ? std::optional(outcome->phase) : std::nullopt;
}

} // namespace hibiscusbridge::jobs
