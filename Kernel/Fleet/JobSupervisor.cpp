#include "JobSupervisor.h"

#include "ResourceMath.h"
#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/FleetTiming.h>
#include <algorithm>
#include <tuple>

namespace Peridot {

namespace {

// Failures of one task, on different hosts, after which the job and not the workers is held
// responsible. Failures on one host alone may be the fault of a worker that fails everything and
// that is the only one with room.
constexpr unsigned failuresBeforeVerdict = 6;

// A task avoids this many hosts on which it failed, and then starts anew with the list.
constexpr std::size_t rememberedFailedHosts = 8;

// A task that ran for this long before it failed starts to count anew.
constexpr Duration failureMemory = std::chrono::minutes(10);

constexpr Duration longestTaskRetry = std::chrono::minutes(5);

// Usage is sampled at these intervals of a task's run until it is trusted; later only growth
// counts.
constexpr Duration sampleInterval = std::chrono::seconds(10);
constexpr unsigned samplesAtIntervals = 3;
constexpr double relevantGrowth = 1.1;

// A reservation is corrected when the estimate differs by more than this factor.
constexpr double relevantDifference = 1.2;

// A renewed lease is sent for this long, because reports do not show the end of a lease.
constexpr Duration renewalRepetition = std::chrono::seconds(10);

Duration retryDelay(unsigned failures)
{
    const unsigned doublings = std::min(failures - 1, 10U);
    return std::min<Duration>(firstTaskRetry * (1U << doublings), longestTaskRetry);
}

bool differs(double left, double right)
{
    return left > right * relevantDifference || right > left * relevantDifference;
}

} // namespace

JobState stateOfTasks(const JobRecord &record)
{
    const auto is = [](TaskPhase phase) {
        return [phase](const TaskRecord &task) {
            return task.phase == phase;
        };
    };
    const auto &tasks = record.tasks;
    if (std::any_of(tasks.begin(), tasks.end(), is(TaskPhase::Failed)))
        return JobState::Failed;
    if (std::any_of(tasks.begin(), tasks.end(), is(TaskPhase::Pending)))
        return JobState::Pending;
    if (std::all_of(tasks.begin(), tasks.end(), is(TaskPhase::Finished)))
        return JobState::Finished;
    return JobState::Running;
}

JobSupervisor::JobSupervisor(const FleetView &view, const PoolScope &scope, TimePoint now,
                             PlacementStep &step)
    : m_view(view), m_scope(scope), m_now(now), m_step(step), m_health(view, *scope.pool, now)
{
}

void JobSupervisor::advance(const std::string &name)
{
    const auto &job = *m_view.job(name);
    const auto *specification = job.specification;
    if (!job.record) {
        if (specification && specification->pool == m_scope.name)
            adopt(name, *specification);
        return;
    }
    const auto &record = *job.record;
    for (unsigned index = 0; index < record.tasks.size(); ++index) {
        if (occupiesHost(record.tasks[index]))
            advanceTask(name, index, record);
    }
    if (!specification || specification->pool != record.pool)
        return cancel(name);
    // While superfluous tasks are still stopping there is nothing new to adopt.
    const bool shrinking = record.specificationDigest.empty()
                           && record.tasks.size() > specification->tasks
                           && record.tasks.back().phase == TaskPhase::Stopping;
    const bool changed = specificationDigest(*specification) != record.specificationDigest;
    if (record.state == JobState::Cancelling || (changed && !shrinking))
        adopt(name, *specification);
}

void JobSupervisor::adopt(const std::string &name, const JobSpecification &specification)
{
    auto &record = m_step.changeJob(name);
    record.name = name;
    record.pool = m_scope.name;
    record.team = specification.team;
    record.urgency = specification.urgency;
    record.specificationDigest = specificationDigest(specification);
    record.reason = PendingReason::NotYetPlanned;
    record.detail.clear();
    for (auto &task : record.tasks) {
        // A changed specification gives failed tasks another chance; finished ones stay finished.
        if (task.phase == TaskPhase::Failed)
            task.phase = TaskPhase::Pending;
        task.failures = 0;
        task.failedHosts.clear();
        task.retryAt = {};
    }
    // An epoch never exceeds the revision of the table at its placement. Starting at the latest
    // revision keeps the epochs of a job above those of an earlier job of the same name.
    TaskRecord fresh;
    fresh.epoch = std::max(m_view.latestRevision(), m_scope.lease->rowVersion);
    while (record.tasks.size() < specification.tasks)
        record.tasks.push_back(fresh);
    for (std::size_t index = specification.tasks; index < record.tasks.size(); ++index) {
        if (occupiesHost(record.tasks[index]) && record.tasks[index].phase != TaskPhase::Stopping) {
            record.tasks[index].phase = TaskPhase::Stopping;
            record.tasks[index].since = m_now;
        }
    }
    while (record.tasks.size() > specification.tasks && !occupiesHost(record.tasks.back()))
        record.tasks.pop_back();
    // The digest is recorded only when no superfluous task is left, so that this runs again.
    if (record.tasks.size() > specification.tasks)
        record.specificationDigest.clear();
    record.state = stateOfTasks(record);
}

void JobSupervisor::cancel(const std::string &name)
{
    const auto *record = m_step.job(name);
    const bool holds = std::any_of(record->tasks.begin(), record->tasks.end(), occupiesHost);
    if (!holds)
        return m_step.removeJob(name);
    const bool marked
        = record->state == JobState::Cancelling
          && std::all_of(record->tasks.begin(), record->tasks.end(), [](const TaskRecord &task) {
                 return !occupiesHost(task) || task.phase == TaskPhase::Stopping;
             });
    if (marked)
        return;
    auto &changed = m_step.changeJob(name);
    changed.state = JobState::Cancelling;
    for (auto &task : changed.tasks) {
        if (occupiesHost(task) && task.phase != TaskPhase::Stopping) {
            task.phase = TaskPhase::Stopping;
            task.since = m_now;
        }
    }
}

JobSupervisor::Observation JobSupervisor::observe(const std::string &task,
                                                  const TaskRecord &record) const
{
    Observation seen;
    seen.host = m_view.host(record.host);
    if (!seen.host || !seen.host->report)
        return seen;
    for (const auto &report : seen.host->report->tasks) {
        if (report.epoch == record.epoch && report.task == task)
            seen.report = &report;
    }
    return seen;
}

bool JobSupervisor::mustLeave(const FleetView::Host *host) const
{
    return !host || !host->record
           || (host->record->state != HostState::Active
               && host->record->state != HostState::Returning);
}

void JobSupervisor::release(const std::string &name, unsigned index, TaskPhase phase)
{
    auto &record = m_step.changeJob(name);
    auto &task = record.tasks[index];
    task.phase = phase;
    task.since = m_now;
    task.host.clear();
    if (record.state != JobState::Cancelling)
        record.state = stateOfTasks(record);
}

void JobSupervisor::fail(const std::string &name, unsigned index, const TaskRecord &task)
{
    const auto host = task.host;
    const bool ranLong = m_now - task.since >= failureMemory;
    release(name, index, TaskPhase::Pending);
    auto &record = m_step.changeJob(name);
    auto &changed = record.tasks[index];
    changed.failures = ranLong ? 1 : changed.failures + 1;
    auto &failedHosts = changed.failedHosts;
    if (ranLong || failedHosts.size() >= rememberedFailedHosts)
        failedHosts.clear();
    std::erase(failedHosts, host);
    failedHosts.push_back(host);
    changed.failedAt = m_now;
    changed.retryAt = m_now + retryDelay(changed.failures);
    if (changed.failures >= failuresBeforeVerdict && failedHosts.size() > 1) {
        changed.phase = TaskPhase::Failed;
        record.reason = PendingReason::RepeatedFailures;
        record.detail = taskName(name, index) + " failed last on " + host;
        record.decidedAtVersion = m_view.manifestVersion();
        record.state = JobState::Failed;
    }
}

void JobSupervisor::advanceTask(const std::string &name, unsigned index, const JobRecord &record)
{
    const auto &task = record.tasks[index];
    const auto seen = observe(taskName(name, index), task);
    if (seen.report) {
        switch (seen.report->state) {
        case TaskState::Finished:
            return release(name, index, TaskPhase::Finished);
        case TaskState::Failed:
            return fail(name, index, task);
        case TaskState::Checkpointed:
        case TaskState::Stopped:
            return release(name, index, TaskPhase::Pending);
        case TaskState::Running:
        case TaskState::Throttled:
            break;
        }
    }
    // Without a confirmation, only the end of its lease proves that the task has ended.
    if (m_now >= task.leaseEnd + clockMargin)
        return release(name, index, TaskPhase::Pending);
    if (mustLeave(seen.host) || task.phase == TaskPhase::Checkpointing
        || task.phase == TaskPhase::Stopping)
        return leaveHost(name, index, task, seen);
    keepRunning(name, index, task, seen);
}

void JobSupervisor::leaveHost(const std::string &name, unsigned index, const TaskRecord &task,
                              const Observation &seen)
{
    if (task.phase == TaskPhase::Stopping)
        return;
    if (task.phase != TaskPhase::Checkpointing) {
        auto &changed = m_step.changeJob(name).tasks[index];
        changed.phase = TaskPhase::Checkpointing;
        changed.since = m_now;
        return;
    }
    const bool draining
        = seen.host && seen.host->record && seen.host->record->state == HostState::Draining;
    const auto limit = draining ? m_view.manifest()->maintenance.drainTimeout : checkpointTimeout;
    if (m_now - task.since >= limit) {
        auto &changed = m_step.changeJob(name).tasks[index];
        changed.phase = TaskPhase::Stopping;
        changed.since = m_now;
    }
}

void JobSupervisor::keepRunning(const std::string &name, unsigned index, const TaskRecord &task,
                                const Observation &seen)
{
    // A lost host may still be executing the task; its lease is left to end.
    if (task.leaseEnd - m_now < taskLeaseRenewal && m_health.isLive(*seen.host))
        m_step.changeJob(name).tasks[index].leaseEnd = m_now + taskLease;
    if (seen.report)
        learn(name, index, task, seen);
    if (!m_step.isFull() && displacedBy(*seen.host).contains({name, index})) {
        auto &changed = m_step.changeJob(name).tasks[index];
        changed.phase = TaskPhase::Checkpointing;
        changed.since = m_now;
    }
}

const std::set<JobSupervisor::TaskKey> &JobSupervisor::displacedBy(const FleetView::Host &host)
{
    const auto [entry, inserted] = m_displaced.try_emplace(&host);
    auto &leaving = entry->second;
    if (!inserted || !host.specification)
        return leaving;
    // Only what was seen counts, without the margin of reservations: a move for the margin alone
    // would cost more than it protects.
    const double capacity = host.specification->capacity.memoryGigabytes;
    double excess = -capacity;
    std::vector<std::tuple<Urgency, double, TaskKey>> staying;
    for (const auto &key : host.tasks) {
        const auto &record = *m_view.job(key.first)->record;
        const auto phase = record.tasks[key.second].phase;
        if (phase == TaskPhase::Checkpointing || phase == TaskPhase::Stopping)
            continue;
        const double seen = record.observedUsage.memoryGigabytes;
        excess += seen;
        if (seen <= capacity)
            staying.emplace_back(record.urgency, seen, key);
    }
    if (excess <= 0)
        return leaving;
    // The least urgent leave first, and the largest of these, so that few do. Holders of different
    // pools come to the same order.
    std::sort(staying.rbegin(), staying.rend());
    for (const auto &[urgency, seen, key] : staying) {
        if (excess <= 0)
            break;
        leaving.insert(key);
        excess -= seen;
    }
    return leaving;
}

void JobSupervisor::learn(const std::string &name, unsigned index, const TaskRecord &task,
                          const Observation &seen)
{
    const auto &usage = seen.report->usage;
    const auto *record = m_step.job(name);
    const auto &observedUsage = record->observedUsage;
    const bool due = observedUsage.samples < samplesAtIntervals
                     && seen.host->report->lastSeen - task.since
                            >= sampleInterval * (observedUsage.samples + 1);
    const bool grown
        = observedUsage.samples > 0
          && (usage.processors > observedUsage.processors * relevantGrowth
              || usage.memoryGigabytes > observedUsage.memoryGigabytes * relevantGrowth);
    if (due || grown) {
        auto &changed = m_step.changeJob(name).observedUsage;
        changed.processors = std::max(changed.processors, usage.processors);
        changed.memoryGigabytes = std::max(changed.memoryGigabytes, usage.memoryGigabytes);
        changed.samples += due ? 1 : 0;
    }
    const auto *specification = m_view.job(name)->specification;
    if (!specification || task.phase != TaskPhase::Placed || m_step.isFull())
        return;
    const auto size = estimatedSize(specification->taskSize, m_step.job(name)->observedUsage);
    if (differs(size.processors, task.size.processors)
        || differs(size.memoryGigabytes, task.size.memoryGigabytes))
        m_step.changeJob(name).tasks[index].size = size;
}

void JobSupervisor::command(const std::string &name, std::vector<WorkerCommand> &commands) const
{
    const auto &record = m_view.job(name)->record;
    if (!record)
        return;
    for (unsigned index = 0; index < record->tasks.size(); ++index) {
        const auto &task = record->tasks[index];
        if (!occupiesHost(task))
            continue;
        const auto seen = observe(taskName(name, index), task);
        const auto shown = [&](TaskState state) {
            return seen.report && seen.report->state == state;
        };
        const bool renewed = m_now - (task.leaseEnd - taskLease) < renewalRepetition;
        WorkerCommand command{
            task.host,    WorkerCommandKind::Stop, taskName(name, index), task.epoch, task.size,
            task.leaseEnd};
        if (task.phase == TaskPhase::Placed) {
            if (mustLeave(seen.host) || (shown(TaskState::Running) && !renewed))
                continue;
            command.kind = WorkerCommandKind::Start;
            if (seen.host->specification)
                command.limit = seen.host->specification->capacity;
        } else if (task.phase == TaskPhase::Throttled) {
            if (shown(TaskState::Throttled) && !renewed)
                continue;
            command.kind = WorkerCommandKind::Throttle;
        } else if (task.phase == TaskPhase::Checkpointing) {
            command.kind = WorkerCommandKind::Checkpoint;
        }
        if (shown(TaskState::Checkpointed) || shown(TaskState::Stopped)
            || shown(TaskState::Finished) || shown(TaskState::Failed))
            continue;
        commands.push_back(std::move(command));
    }
}

} // namespace Peridot
