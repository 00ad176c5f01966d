// Serializes jobs and their progress for the store, as compact JSON arrays without field names.
#pragma once

#include "jobs/job.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusbridge::jobs
{

std::string encodeSpec(const JobSpec &spec);
/// Returns nullopt if the text is not a valid stored job.
std::optional<JobSpec> decodeSpec(std::string_view id, std::string_view text);

std::string encodeRecord(const JobRecord &record);
/// Returns nullopt if the text does not match the job's steps.
std::optional<JobRecord> decodeRecord(const JobSpec &spec, std::string_view text);
/// What callers are told of a job.
struct JobOutcome {
    JobPhase phase = JobPhase::Queued;
    std::string failureReason; ///< empty unless the job has failed
};

/// Reads only the outcome, which needs no job specification. Returns nullopt if the text is not a valid record.
std::optional<JobOutcome> decodeOutcome(std::string_view text);
std::optional<JobPhase> decodePhase(std::string_view text);

} // namespace hibiscusbridge::jobs
