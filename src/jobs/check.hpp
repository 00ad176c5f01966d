// Checks that the numbers of a job are within the limits that the scheduler's arithmetic and the stored rows allow.
#pragma once

#include "jobs/job.hpp"

#include <absl/status/status.h>

namespace hibiscusbridge::jobs
{

/// Upper limit of each duration in a job or in the policy of a queue: about one day.
inline constexpr Millis maxDuration{100'000'000};
/// Upper limit of a queue's stretch, so that a latency objective stays within the range of `Millis`.
inline constexpr double maxStretch = 10'000;

/// True if no amount is negative or too large for the scheduler's arithmetic.
bool isWithinLimits(const Resources &resources);

/// Returns kInvalidArgument with the reason if the job has no steps, a step depends on one that does not precede it, or a number is
/// negative or too large. Callers' submissions and stored rows are checked alike, since an entry must survive rows that another
/// program wrote.
absl::Status checkSpec(const JobSpec &spec);

} // namespace hibiscusbridge::jobs
