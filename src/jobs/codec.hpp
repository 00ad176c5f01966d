// Serializes jobs and their progress for the store, as compact JSON arrays without field names.
#pragma once

#include "jobs/job.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge::jobs
{

std::string encodeSpec(const JobSpec &spec);
/// Returns nullopt if the text is not a valid stored job.
std::optional<JobSpec> decodeSpec(std::string_view id, std::string_view text);

std::string encodeRecord(const JobRecord &record);

/// A record as it is stored: the first row has the outcome, and the subtasks too unless they are in parts of their own.
struct RecordRows {
    std::string first;
    /// Equal shares of the subtasks, in their order.
    std::vector<std::string> parts;
};

/// Encodes the record into rows of at most `maxRowBytes`, with at least `minParts` parts. A single subtask that exceeds the limit is
/// not divided.
RecordRows encodeRecordRows(const JobRecord &record, std::size_t maxRowBytes, std::size_t minParts);
/// Returns nullopt if the rows do not match the job's steps or a part is missing.
std::optional<JobRecord> decodeRecord(const JobSpec &spec, std::string_view first, std::span<const std::string> parts = {});
/// What callers are told of a job.
struct JobOutcome {
    JobPhase phase = JobPhase::Queued;
    std::string failureReason; ///< empty unless the job has failed
};

/// Reads only the outcome, which needs no job specification. Returns nullopt if the text is not a valid record.
std::optional<JobOutcome> decodeOutcome(std::string_view text);
std::optional<JobPhase> decodePhase(std::string_view text);

} // namespace hibiscusbridge::jobs
