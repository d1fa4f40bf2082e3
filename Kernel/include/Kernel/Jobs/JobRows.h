#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/Error.h>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot::Jobs {

/// Durable state of one task.
struct TaskProgress
{
    bool done = false;
    std::vector<std::uint64_t> failedRuns; ///< limited by QueueSettings::maximumAttempts
    std::string checkpoint; ///< latest checkpoint; empty: none
    std::uint64_t run = 0; ///< highest run number assigned so far
    std::string worker; ///< worker on which that run may be active; empty: not active

    bool operator==(const TaskProgress &) const = default;
};

/// Durable state of one occurrence: its tasks by step and index.
struct OccurrenceProgress
{
    unsigned occurrence = 0;
    std::vector<std::vector<TaskProgress>> steps;

    bool operator==(const OccurrenceProgress &) const = default;
};

/// Row progress/<id>: the state from which another process continues to schedule the job. The row
/// of a job that has started stays until the job is finished and its retention has expired.
struct JobProgress
{
    JobPhase phase = JobPhase::Queued;
    TimePoint changedAt; ///< when the row was written, by the writer's clock
    std::vector<OccurrenceProgress> occurrences; ///< started and not finished
    /// Highest number of a finished occurrence. Lower ones are finished unless they are listed.
    std::optional<unsigned> lastFinishedOccurrence;
    std::string organisation = {}; ///< that submitted the job; empty: none

    bool operator==(const JobProgress &) const = default;
};

/// Keys of the rows. A cancellation is a separate row, so that it does not change the job row.
std::string jobKey(std::string_view id);
std::string cancellationKey(std::string_view id);
std::string tombstoneKey(std::string_view id);
std::string progressKey(std::string_view id);
std::string finishedKey(std::string_view id);

/// Rows of jobs are divided into partitions by their ids, so that submissions do not wait for each
/// other, nor for the scheduler. One transaction on the rows job/<id>, job/<id>.cancel,
/// job/<id>.tombstone and finished/<id> concerns one partition.
constexpr unsigned jobPartitions = 16;
unsigned jobPartition(std::string_view id);

constexpr std::string_view jobPrefix = "job/";
constexpr std::string_view progressPrefix = "progress/";
constexpr std::string_view cancellationSuffix = ".cancel";
/// Suffix of the rows that stand for jobs which were cancelled before they were accepted. A
/// submission that the store applies later, or that arrives later, is refused. They have no
/// content.
constexpr std::string_view tombstoneSuffix = ".tombstone";
/// How long a tombstone is kept: longer than a write may be late, and than a process that holds the
/// submission may be suspended.
constexpr std::chrono::seconds tombstoneRetention{60};
/// Prefix of the rows that stand for finished jobs after their job rows are removed, so that a late
/// copy of the submission is recognised. They have no content.
constexpr std::string_view finishedPrefix = "finished/";
/// Rows with the fencing epoch of the only scheduler that may write progress rows, and rows of
/// hosts and waves. They have the same content, and each is in the partition of those rows.
constexpr std::string_view progressEpochKey = "epoch/progress";
constexpr std::string_view hostsEpochKey = "epoch/hosts";
/// Row with the number of accepted jobs without a started task, by queue.
constexpr std::string_view pendingJobsKey = "scheduler/pending";

/// Row scheduler/pending.
struct PendingCounts
{
    std::int64_t storeMilliseconds = 0; ///< when it was written, on the store's clock
    std::map<std::string, unsigned> byQueue;

    bool operator==(const PendingCounts &) const = default;
};

std::string encodePendingCounts(const PendingCounts &counts);
/// Errors: InvalidJson; ProtocolViolation when a member is missing or of another type.
Result<PendingCounts> parsePendingCounts(std::string_view text);

std::string encodeSubmittedJob(const SubmittedJob &job);
/// Errors: InvalidJson; ProtocolViolation with the name of the invalid member in the field.
Result<SubmittedJob> parseSubmittedJob(std::string_view text);

std::string encodeJobProgress(const JobProgress &progress);
/// Errors: InvalidJson; ProtocolViolation with the name of the invalid member in the field.
Result<JobProgress> parseJobProgress(std::string_view text);

} // namespace Peridot::Jobs
