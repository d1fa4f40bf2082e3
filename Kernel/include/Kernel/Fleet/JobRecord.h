#pragma once

#include <Kernel/Fleet/Manifest.h>
#include <LibBase/EnumTable.h>
#include <vector>

namespace Peridot {

enum class JobState {
    Pending, ///< at least one task waits for a host
    Running, ///< every task has a host or has finished
    Finished,
    Failed, ///< its tasks failed repeatedly on different hosts
    Unrunnable, ///< can never run under the current configuration
    Cancelling, ///< removed from the manifest; the row is deleted when every task has ended
};

constexpr auto jobStateNames = makeEnumTable<JobState>({
    {JobState::Pending, "pending"},
    {JobState::Running, "running"},
    {JobState::Finished, "finished"},
    {JobState::Failed, "failed"},
    {JobState::Unrunnable, "unrunnable"},
    {JobState::Cancelling, "cancelling"},
});

enum class PendingReason {
    None,
    NotYetPlanned,
    NoCapacity, ///< no host has enough free capacity
    BufferReserved, ///< the free capacity is kept for the tasks of drained hosts or a failed rack
    QuotaExceeded, ///< other tasks of the team use its quota
    Preempting, ///< less urgent tasks are being throttled or checkpointed
    RetryBackoff, ///< the task failed and waits before its next start
    PreviousAttemptUnconfirmed, ///< the task may still run on a failed host until its lease ends
    TooLargeForAnyHost,
    TooLargeForQuota, ///< one task exceeds the quota of the team
    RepeatedFailures, ///< the task failed on different hosts
    NoHosts, ///< the pool has no hosts
};

constexpr auto pendingReasonNames = makeEnumTable<PendingReason>({
    {PendingReason::None, "none"},
    {PendingReason::NotYetPlanned, "not-yet-planned"},
    {PendingReason::NoCapacity, "no-capacity"},
    {PendingReason::BufferReserved, "buffer-reserved"},
    {PendingReason::QuotaExceeded, "quota-exceeded"},
    {PendingReason::Preempting, "making-room"},
    {PendingReason::RetryBackoff, "retry-backoff"},
    {PendingReason::PreviousAttemptUnconfirmed, "previous-attempt-unconfirmed"},
    {PendingReason::TooLargeForAnyHost, "too-large-for-any-host"},
    {PendingReason::TooLargeForQuota, "too-large-for-quota"},
    {PendingReason::RepeatedFailures, "repeated-failures"},
    {PendingReason::NoHosts, "no-hosts"},
});

enum class TaskPhase { Pending, Placed, Throttled, Checkpointing, Stopping, Finished, Failed };

constexpr auto taskPhaseNames = makeEnumTable<TaskPhase>({
    {TaskPhase::Pending, "pending"},
    {TaskPhase::Placed, "placed"},
    {TaskPhase::Throttled, "throttled"},
    {TaskPhase::Checkpointing, "checkpointing"},
    {TaskPhase::Stopping, "stopping"},
    {TaskPhase::Finished, "finished"},
    {TaskPhase::Failed, "failed"},
});

struct TaskRecord
{
    TaskPhase phase = TaskPhase::Pending;
    std::string host; ///< empty while pending
    std::uint64_t epoch = 0; ///< grows with every placement; never reused
    TimePoint since; ///< when \c phase was entered
    TimePoint leaseEnd; ///< the worker stops the task at this time unless the lease is renewed
    Resources size; ///< reserved on the host
    unsigned failures = 0; ///< failures since the last long run or change of the specification
    std::vector<std::string> failedHosts; ///< without duplicates, in order of the last failure
    TimePoint failedAt; ///< time of the last failure
    TimePoint retryAt; ///< the task is not placed before this time
};

/// Whether the task may be executing or holds capacity on a host.
inline bool occupiesHost(const TaskRecord &task)
{
    return task.phase == TaskPhase::Placed || task.phase == TaskPhase::Throttled
           || task.phase == TaskPhase::Checkpointing || task.phase == TaskPhase::Stopping;
}

/// Largest usage reported for a task of the job.
struct ObservedUsage
{
    double processors = 0;
    double memoryGigabytes = 0;
    unsigned samples = 0; ///< number of samples taken at the intervals of JobSupervisor
};

/// Row job/<name>.
struct JobRecord
{
    std::string name;
    std::string pool;
    std::string team;
    Urgency urgency = Urgency::Normal;
    std::string specificationDigest;
    JobState state = JobState::Pending;
    PendingReason reason = PendingReason::NotYetPlanned;
    std::string detail;
    std::uint64_t decidedAtVersion
        = 0; ///< configuration version for which the job became Unrunnable or Failed
    std::vector<TaskRecord> tasks;
    ObservedUsage observedUsage;
};

/// Errors: InvalidJson, MissingField, InvalidValue; the field is the path inside the row.
Result<JobRecord> parseJobRecord(std::string_view text);
std::string encodeJobRecord(const JobRecord &record);

/// Digest of the members of \a job that determine whether and how it can run.
std::string specificationDigest(const JobSpecification &job);

} // namespace Peridot
