#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Time.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot::Jobs {

/// What a task reserves on a worker, and what a worker offers.
struct TaskSize
{
    std::int64_t milliProcessors = 0; ///< thousandths of a core
    std::int64_t megabytes = 0;
    std::int64_t accelerators = 0;

    bool operator==(const TaskSize &) const = default;
};

TaskSize plus(const TaskSize &left, const TaskSize &right);
TaskSize minus(const TaskSize &left, const TaskSize &right);
bool fitsInto(const TaskSize &size, const TaskSize &room);

/// Tasks of the same kind in a job. Tasks start when all tasks of the steps in \c after are done.
struct StepSpecification
{
    unsigned count = 1;
    TaskSize size;
    Duration estimatedRuntime{0}; ///< of one task; rough
    std::vector<unsigned> after; ///< indices of earlier steps
    bool savesProgress = false;
    bool gang = false; ///< the tasks work only while all of one run are present
    bool sameRack = false;
    bool speculative = false; ///< copies may run in parallel
    bool longRunning = false; ///< runs until the job is cancelled
    bool fills = false; ///< uses processor time that other tasks leave; reserves memory only
    std::string requiredLabel; ///< label that the worker must have; empty: none
    std::string affinityRack; ///< rack with the data; empty: none
    unsigned maximumPerWorker = 0; ///< 0: no limit
    std::string image;
    Duration latencyTarget{0}; ///< of a serving task's own users; 0: none
    std::optional<unsigned> maximumUnavailable; ///< tasks that may be stopped at the same time

    bool operator==(const StepSpecification &) const = default;
};

struct JobSpecification
{
    std::string payload; ///< passed to the worker unchanged
    std::vector<StepSpecification> steps;
    unsigned occurrences = 0; ///< 0: once, at once
    TimePoint firstDue;
    Duration interval{0};

    bool operator==(const JobSpecification &) const = default;
};

enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };

constexpr auto jobPhaseNames = makeEnumTable<JobPhase>({
    {JobPhase::Queued, "queued"},
    {JobPhase::Running, "running"},
    {JobPhase::Completed, "completed"},
    {JobPhase::Failed, "failed"},
    {JobPhase::Cancelled, "cancelled"},
});

/// Whether the phase is final.
constexpr bool isFinished(JobPhase phase)
{
    return phase != JobPhase::Queued && phase != JobPhase::Running;
}

enum class TaskPhase {
    Blocked, ///< waits for earlier steps
    Ready,
    Active, ///< has a run on a worker
    Done,
};

constexpr auto taskPhaseNames = makeEnumTable<TaskPhase>({
    {TaskPhase::Blocked, "blocked"},
    {TaskPhase::Ready, "ready"},
    {TaskPhase::Active, "active"},
    {TaskPhase::Done, "done"},
});

/// How a run of a task ended on its worker.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    Lapsed, ///< the lease of the worker expired
    Broken, ///< another member of the gang ended
    Alone, ///< the other members of the gang did not arrive
};

constexpr auto runEndNames = makeEnumTable<RunEnd>({
    {RunEnd::Done, "done"},
    {RunEnd::Failed, "failed"},
    {RunEnd::Stopped, "stopped"},
    {RunEnd::Lapsed, "lapsed"},
    {RunEnd::Broken, "broken"},
    {RunEnd::Alone, "alone"},
});

/// Name of one task of one occurrence of a job.
struct TaskName
{
    std::string job;
    unsigned occurrence = 0;
    unsigned step = 0;
    unsigned index = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false report for a defaulted comparison
    auto operator<=>(const TaskName &) const = default;

    /// JOB.OCCURRENCE.STEP.INDEX
    std::string text() const;
    static std::optional<TaskName> parse(std::string_view text);
};

/// What an administrator declares for one queue.
struct QueueSettings
{
    std::string name;
    std::string hostName; ///< Host header of its callers
    std::string pathPrefix; ///< begins and ends with a slash
    std::string pool; ///< whose workers run its tasks
    unsigned priority = 0; ///< 0 goes first
    unsigned maximumAttempts = 1;
    double stretch = 1; ///< of the longest chain of work, in the latency objective
    Duration latencyAllowance{0}; ///< added to the stretched chain
    /// How long a permission of the placement advice lasts; 0: the queue needs none.
    Duration adviceValidity{0};

    bool operator==(const QueueSettings &) const = default;
};

/// Row job/<id>: a job as it was accepted.
struct SubmittedJob
{
    std::string id;
    TimePoint acceptedAt; ///< clock of the accepting process
    JobSpecification specification;
    /// Settings of its queue at that time, which hold on when the queue is removed. The host name
    /// and the path are not kept.
    QueueSettings queue;

    bool operator==(const SubmittedJob &) const = default;
};

struct PoolSettings
{
    std::string name;
    bool spare = false; ///< its hosts are off until they are moved to another pool

    bool operator==(const PoolSettings &) const = default;
};

struct JobConfiguration
{
    std::uint64_t version = 0;
    std::vector<QueueSettings> queues;
    std::vector<PoolSettings> pools;

    /// Queue with the longest prefix of \a path for \a hostName, or a null pointer.
    const QueueSettings *route(std::string_view hostName, std::string_view path) const;
    const QueueSettings *queue(std::string_view name) const;
    const PoolSettings *pool(std::string_view name) const;
};

/// What a worker, or the platform's list for it, says of itself.
struct WorkerDescription
{
    std::string id;
    std::string address;
    std::uint16_t port = 0;
    std::string pool;
    std::string dataCentre;
    bool draining = false;
    Duration remaining{0}; ///< while draining: least time until it leaves
    TaskSize capacity;
    std::vector<std::string> labels;
    std::int64_t startedAt = 0; ///< Unix milliseconds; identifies one life of the worker
};

} // namespace Peridot::Jobs
