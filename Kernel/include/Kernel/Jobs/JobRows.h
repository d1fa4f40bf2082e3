#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/Error.h>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot::Jobs {

/// Durable state of one task.
struct TaskProgress
{
    bool done = false;
    std::vector<std::uint64_t> failedRuns; ///< counted against the attempts of the queue
    std::string saved; ///< newest checkpoint; empty: none
    std::uint64_t run = 0; ///< highest number given to a run
    std::string worker; ///< where that run may be active; empty: it is not

    bool operator==(const TaskProgress &) const = default;
};

/// Durable state of one occurrence; tasks by step and index.
struct OccurrenceProgress
{
    unsigned occurrence = 0;
    std::vector<std::vector<TaskProgress>> steps;

    bool operator==(const OccurrenceProgress &) const = default;
};

/// Row progress/<id>: what outlives the process that schedules the job. The row of a job that has
/// started stays until the job is finished and its retention is over.
struct JobProgress
{
    JobPhase phase = JobPhase::Queued;
    TimePoint changedAt; ///< of the phase, on the clock of the writer
    std::vector<unsigned> finishedOccurrences;
    std::vector<OccurrenceProgress> occurrences; ///< begun and not finished

    bool operator==(const JobProgress &) const = default;
};

/// Keys of the rows. A cancellation is a row of its own, so that it needs no change of the job.
std::string jobKey(std::string_view id);
std::string cancellationKey(std::string_view id);
std::string progressKey(std::string_view id);

constexpr std::string_view jobPrefix = "job/";
constexpr std::string_view progressPrefix = "progress/";
constexpr std::string_view cancellationSuffix = ".cancel";
/// Fencing epoch of the scheduler that may write progress rows.
constexpr std::string_view schedulerEpochKey = "scheduler/epoch";
/// Accepted jobs without a started task, by queue.
constexpr std::string_view pendingJobsKey = "scheduler/pending";

std::string encodeSubmittedJob(const SubmittedJob &job);
/// Errors: InvalidJson, ProtocolViolation with the member in the field.
Result<SubmittedJob> parseSubmittedJob(std::string_view text);

std::string encodeJobProgress(const JobProgress &progress);
/// Errors: InvalidJson, ProtocolViolation with the member in the field.
Result<JobProgress> parseJobProgress(std::string_view text);

} // namespace Peridot::Jobs
