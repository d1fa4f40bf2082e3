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

/// Resources that a task reserves on a worker, or that a worker provides.
struct TaskSize
{
    std::int64_t milliProcessors = 0; ///< thousandths of a core
    std::int64_t megabytes = 0;
    std::int64_t accelerators = 0;

    bool operator==(const TaskSize &) const = default;
};

TaskSize plus(const TaskSize &left, const TaskSize &right);
TaskSize minus(const TaskSize &left, const TaskSize &right);
TaskSize multiplied(const TaskSize &size, std::int64_t count);
bool fitsInto(const TaskSize &size, const TaskSize &capacity);

/// A group of identical tasks in a job. They start when all tasks of the steps in \c after are
/// done.
struct StepSpecification
{
    unsigned count = 1;
    TaskSize size;
    Duration estimatedRuntime{0}; ///< rough estimate for one task
    std::vector<unsigned> after; ///< indices of the steps that it depends on
    bool savesCheckpoints = false;
    bool gang = false; ///< all tasks must run at the same time to make progress
    bool sameRack = false; ///< a gang is placed on workers of one rack
    bool speculative = false; ///< copies of a task may run in parallel
    bool longRunning = false; ///< runs until the job is cancelled
    bool bestEffort = false; ///< uses spare processor time; reserves memory only
    std::string requiredLabel; ///< label that the worker must have; empty: none
    std::string affinityRack; ///< preferred rack, which holds the data; empty: none
    unsigned maximumPerWorker = 0; ///< 0: no limit
    std::string image;
    Duration latencyTarget{0}; ///< for requests to a serving task; 0: not a serving task
    std::optional<unsigned> maximumUnavailable; ///< tasks that may be stopped at the same time

    bool operator==(const StepSpecification &) const = default;
};

struct JobSpecification
{
    std::string payload; ///< passed to the worker unchanged
    std::vector<StepSpecification> steps;
    unsigned occurrences = 0; ///< number of periodic runs of the job; 0: one run, immediately
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
    Blocked, ///< waits for other steps
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
enum class RunOutcome {
    Done,
    Failed,
    Stopped,
    LeaseExpired, ///< the lease of the worker expired
    GangMemberEnded, ///< another member of the gang ended
    GangIncomplete, ///< the other members of the gang did not start in time
};

constexpr auto runOutcomeNames = makeEnumTable<RunOutcome>({
    {RunOutcome::Done, "done"},
    {RunOutcome::Failed, "failed"},
    {RunOutcome::Stopped, "stopped"},
    {RunOutcome::LeaseExpired, "lapsed"},
    {RunOutcome::GangMemberEnded, "broken"},
    {RunOutcome::GangIncomplete, "alone"},
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

/// Configuration of one queue. The latency objective of a job is the estimated runtime of its
/// critical path times \c stretch, plus \c latencyAllowance.
struct QueueSettings
{
    std::string name;
    std::string hostName; ///< Host header of requests to the queue
    std::string pathPrefix; ///< begins and ends with a slash
    std::string pool; ///< pool whose workers run the tasks
    unsigned priority = 0; ///< 0 is the highest
    unsigned maximumAttempts = 1; ///< failed runs of a task after which its job fails
    double stretch = 1;
    Duration latencyAllowance{0};
    /// How long a ticket of the placement advice is valid; 0: starts need no ticket.
    Duration adviceValidity{0};
    bool isPublic = false; ///< calls need no key, also where organisations are configured
    /// Time that the placement advice takes to decide, and in addition for each worker.
    Duration adviceDelay{0};
    Duration adviceDelayPerWorker{0};

    /// Latency objective of a job with this critical path.
    Duration objective(Duration criticalPath) const;

    bool operator==(const QueueSettings &) const = default;
};

/// An organisation whose callers share the fleet with those of others.
struct OrganisationSettings
{
    std::string name;
    std::vector<std::string> keys = {}; ///< of its callers; never logged
    unsigned priority = 0; ///< 0 is the highest
    /// Its share of a full pool, and the submissions per second that are in profile; 0: not given.
    double weight = 0;
    TaskSize quota = {}; ///< of all its runs together; 0 in a member: no limit

    bool operator==(const OrganisationSettings &) const = default;
};

/// Row job/<id>: a job as it was accepted.
struct SubmittedJob
{
    std::string id;
    TimePoint acceptedAt; ///< by the clock of the accepting process
    JobSpecification specification;
    /// Settings of the queue when the job was accepted, without host name and path. They apply when
    /// the queue no longer exists.
    QueueSettings queue;
    std::string organisation; ///< that submitted the job; empty: none

    bool operator==(const SubmittedJob &) const = default;
};

struct PoolSettings
{
    std::string name;
    bool spare = false; ///< hosts are powered off until they are moved to another pool

    bool operator==(const PoolSettings &) const = default;
};

struct JobConfiguration
{
    std::uint64_t version = 0;
    std::vector<QueueSettings> queues;
    std::vector<PoolSettings> pools;
    std::vector<OrganisationSettings> organisations;
    /// Calls need the key of an organisation, except those to public queues.
    bool requiresKeys = false;
    unsigned refusedEntries = 0; ///< invalid entries and keys, which were left out

    /// Queue with the longest prefix of \a path for \a hostName, or a null pointer.
    const QueueSettings *route(std::string_view hostName, std::string_view path) const;
    const QueueSettings *queue(std::string_view name) const;
    const PoolSettings *pool(std::string_view name) const;
    const OrganisationSettings *organisation(std::string_view name) const;
    /// Whether an organisation has a rate.
    bool hasWeights() const;
    /// Organisation that holds \a key, or a null pointer.
    const OrganisationSettings *organisationOfKey(std::string_view key) const;
};

/// A worker as registered in the platform's list.
struct WorkerDescription
{
    std::string id;
    std::string address;
    std::uint16_t port = 0;
    std::string pool;
    std::string dataCentre;
    bool draining = false;
    Duration remaining{0}; ///< while draining: minimum time until it shuts down
    TaskSize capacity;
    std::vector<std::string> labels;
    std::int64_t startedAt = 0; ///< Unix milliseconds; identifies the incarnation of the worker
};

} // namespace Peridot::Jobs
