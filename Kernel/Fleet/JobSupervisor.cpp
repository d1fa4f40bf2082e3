#include "JobSupervisor.h"

#include "ResourceMath.h"
#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/FleetTiming.h>
#include <algorithm>
#include <tuple>

namespace Peridot {

namespace {

// A job fails when one of its tasks has failed this many times on at least two hosts. Failures on
// one host alone may be caused by a broken worker that is the only one with free capacity.
constexpr unsigned failuresBeforeJobFails = 6;

// Maximum length of a task's list of hosts to avoid because it failed there. A full list is cleared
// before the next host is added.
constexpr std::size_t maximumFailedHosts = 8;

// When a task ran for this long before it failed, its earlier failures no longer count.
constexpr Duration failureResetTime = std::chrono::minutes(10);

constexpr Duration maximumTaskRetry = std::chrono::minutes(5);

// The first samples of the usage of a job are taken at this interval of a task's run. After
// initialSamples samples the record changes only when the usage grows by usageGrowthThreshold.
constexpr Duration sampleInterval = std::chrono::seconds(10);
constexpr unsigned initialSamples = 3;
constexpr double usageGrowthThreshold = 1.1;

// A reservation is changed when the estimated size differs from it by more than this factor.
constexpr double reservationChangeThreshold = 1.2;

// A renewed lease is sent to the worker repeatedly for this long, because reports do not contain
// the end of the lease that the worker knows.
constexpr Duration renewalResendTime = std::chrono::seconds(10);

Duration retryDelay(unsigned failures)
{
    const unsigned doublings = std::min(failures - 1, 10U);
    return std::min<Duration>(firstTaskRetry * (1U << doublings), maximumTaskRetry);
}

bool differsNoticeably(double left, double right)
{
    return left > right * reservationChangeThreshold || right > left * reservationChangeThreshold;
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
            applySpecification(name, *specification);
        return;
    }
    const auto &record = *job.record;
    for (unsigned index = 0; index < record.tasks.size(); ++index) {
        if (occupiesHost(record.tasks[index]))
            advanceTask(name, index, record);
    }
    if (!specification || specification->pool != record.pool)
        return cancel(name);
    // The specification is applied again only after the last excess task has stopped.
    const bool stoppingExcessTasks = record.specificationDigest.empty()
                                     && record.tasks.size() > specification->tasks
                                     && record.tasks.back().phase == TaskPhase::Stopping;
    const bool changed = specificationDigest(*specification) != record.specificationDigest;
    if (record.state == JobState::Cancelling || (changed && !stoppingExcessTasks))
        applySpecification(name, *specification);
}

void JobSupervisor::applySpecification(const std::string &name,
                                       const JobSpecification &specification)
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
        // Failed tasks are started again, because the change may repair them. Finished tasks stay
        // finished.
        if (task.phase == TaskPhase::Failed)
            task.phase = TaskPhase::Pending;
        task.failures = 0;
        task.failedHosts.clear();
        task.retryAt = {};
    }
    // The epoch of a task never exceeds the revision of the table at its placement. New tasks
    // start at the latest revision, so that their epochs are higher than those of a deleted job of
    // the same name.
    TaskRecord newTask;
    newTask.epoch = std::max(m_view.latestRevision(), m_scope.lease->rowVersion);
    while (record.tasks.size() < specification.tasks)
        record.tasks.push_back(newTask);
    for (std::size_t index = specification.tasks; index < record.tasks.size(); ++index) {
        if (occupiesHost(record.tasks[index]) && record.tasks[index].phase != TaskPhase::Stopping) {
            record.tasks[index].phase = TaskPhase::Stopping;
            record.tasks[index].since = m_now;
        }
    }
    while (record.tasks.size() > specification.tasks && !occupiesHost(record.tasks.back()))
        record.tasks.pop_back();
    // The digest stays empty until no excess task is left, so that this function is called
    // again.
    if (record.tasks.size() > specification.tasks)
        record.specificationDigest.clear();
    record.state = stateOfTasks(record);
}

void JobSupervisor::cancel(const std::string &name)
{
    const auto *record = m_step.job(name);
    const bool usesHosts = std::any_of(record->tasks.begin(), record->tasks.end(), occupiesHost);
    if (!usesHosts)
        return m_step.removeJob(name);
    const bool allStopping
        = record->state == JobState::Cancelling
          && std::all_of(record->tasks.begin(), record->tasks.end(), [](const TaskRecord &task) {
                 return !occupiesHost(task) || task.phase == TaskPhase::Stopping;
             });
    if (allStopping)
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
    Observation observation;
    observation.host = m_view.host(record.host);
    if (!observation.host || !observation.host->report)
        return observation;
    for (const auto &report : observation.host->report->tasks) {
        if (report.epoch == record.epoch && report.task == task)
            observation.report = &report;
    }
    return observation;
}

bool JobSupervisor::mustVacate(const FleetView::Host *host) const
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

void JobSupervisor::handleFailure(const std::string &name, unsigned index, const TaskRecord &task)
{
    const auto host = task.host;
    const bool ranLong = m_now - task.since >= failureResetTime;
    release(name, index, TaskPhase::Pending);
    auto &record = m_step.changeJob(name);
    auto &changed = record.tasks[index];
    changed.failures = ranLong ? 1 : changed.failures + 1;
    auto &failedHosts = changed.failedHosts;
    if (ranLong || failedHosts.size() >= maximumFailedHosts)
        failedHosts.clear();
    std::erase(failedHosts, host);
    failedHosts.push_back(host);
    changed.failedAt = m_now;
    changed.retryAt = m_now + retryDelay(changed.failures);
    if (changed.failures >= failuresBeforeJobFails && failedHosts.size() > 1) {
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
    const auto observation = observe(taskName(name, index), task);
    if (observation.report) {
        switch (observation.report->state) {
        case TaskState::Finished:
            return release(name, index, TaskPhase::Finished);
        case TaskState::Failed:
            return handleFailure(name, index, task);
        case TaskState::Checkpointed:
        case TaskState::Stopped:
            return release(name, index, TaskPhase::Pending);
        case TaskState::Running:
        case TaskState::Throttled:
            break;
        }
    }
    // When the worker has not confirmed that the task ended, only the end of the lease proves
    // it.
    if (m_now >= task.leaseEnd + clockMargin)
        return release(name, index, TaskPhase::Pending);
    if (mustVacate(observation.host) || task.phase == TaskPhase::Checkpointing
        || task.phase == TaskPhase::Stopping)
        return vacateHost(name, index, task, observation);
    keepRunning(name, index, task, observation);
}

void JobSupervisor::vacateHost(const std::string &name, unsigned index, const TaskRecord &task,
                               const Observation &observation)
{
    if (task.phase == TaskPhase::Stopping)
        return;
    if (task.phase != TaskPhase::Checkpointing) {
        auto &changed = m_step.changeJob(name).tasks[index];
        changed.phase = TaskPhase::Checkpointing;
        changed.since = m_now;
        return;
    }
    const bool draining = observation.host && observation.host->record
                          && observation.host->record->state == HostState::Draining;
    const auto limit = draining ? m_view.manifest()->maintenance.drainTimeout : checkpointTimeout;
    if (m_now - task.since >= limit) {
        auto &changed = m_step.changeJob(name).tasks[index];
        changed.phase = TaskPhase::Stopping;
        changed.since = m_now;
    }
}

void JobSupervisor::keepRunning(const std::string &name, unsigned index, const TaskRecord &task,
                                const Observation &observation)
{
    // A lost host may still be executing the task. Its lease is not renewed, so that the task can
    // be started elsewhere when the lease has ended.
    if (task.leaseEnd - m_now < taskLeaseRenewal && m_health.isLive(*observation.host))
        m_step.changeJob(name).tasks[index].leaseEnd = m_now + taskLease;
    if (observation.report)
        updateUsage(name, index, task, observation);
    if (!m_step.isFull() && tasksToEvict(*observation.host).contains({name, index})) {
        auto &changed = m_step.changeJob(name).tasks[index];
        changed.phase = TaskPhase::Checkpointing;
        changed.since = m_now;
    }
}

const std::set<JobSupervisor::TaskKey> &JobSupervisor::tasksToEvict(const FleetView::Host &host)
{
    const auto [entry, inserted] = m_evictedTasks.try_emplace(&host);
    auto &evicted = entry->second;
    if (!inserted || !host.specification)
        return evicted;
    // The sum is of observed usage, without the margin of reservations. Moving a task because of
    // the margin alone would cost more than the risk justifies.
    const double capacity = host.specification->capacity.memoryGigabytes;
    double excess = -capacity;
    std::vector<std::tuple<Urgency, double, TaskKey>> evictable;
    for (const auto &key : host.tasks) {
        const auto &record = *m_view.job(key.first)->record;
        const auto phase = record.tasks[key.second].phase;
        if (phase == TaskPhase::Checkpointing || phase == TaskPhase::Stopping)
            continue;
        const double memory = record.observedUsage.memoryGigabytes;
        excess += memory;
        if (memory <= capacity)
            evictable.emplace_back(record.urgency, memory, key);
    }
    if (excess <= 0)
        return evicted;
    // The least urgent tasks are evicted first, and among them the largest, so that few tasks
    // move. The order is total, so that the holders of the leases of different pools, which plan
    // for tasks on the same host independently, choose the same tasks.
    std::sort(evictable.rbegin(), evictable.rend());
    for (const auto &[urgency, memory, key] : evictable) {
        if (excess <= 0)
            break;
        evicted.insert(key);
        excess -= memory;
    }
    return evicted;
}

void JobSupervisor::updateUsage(const std::string &name, unsigned index, const TaskRecord &task,
                                const Observation &observation)
{
    const auto &usage = observation.report->usage;
    const auto *record = m_step.job(name);
    const auto &observedUsage = record->observedUsage;
    const bool due = observedUsage.samples < initialSamples
                     && observation.host->report->lastSeen - task.since
                            >= sampleInterval * (observedUsage.samples + 1);
    const bool grown
        = observedUsage.samples > 0
          && (usage.processors > observedUsage.processors * usageGrowthThreshold
              || usage.memoryGigabytes > observedUsage.memoryGigabytes * usageGrowthThreshold);
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
    if (differsNoticeably(size.processors, task.size.processors)
        || differsNoticeably(size.memoryGigabytes, task.size.memoryGigabytes))
        m_step.changeJob(name).tasks[index].size = size;
}

void JobSupervisor::collectCommands(const std::string &name,
                                    std::vector<WorkerCommand> &commands) const
{
    const auto &record = m_view.job(name)->record;
    if (!record)
        return;
    for (unsigned index = 0; index < record->tasks.size(); ++index) {
        const auto &task = record->tasks[index];
        if (!occupiesHost(task))
            continue;
        const auto observation = observe(taskName(name, index), task);
        const auto isReportedAs = [&](TaskState state) {
            return observation.report && observation.report->state == state;
        };
        const bool recentlyRenewed = m_now - (task.leaseEnd - taskLease) < renewalResendTime;
        WorkerCommand command{
            task.host,    WorkerCommandKind::Stop, taskName(name, index), task.epoch, task.size,
            task.leaseEnd};
        if (task.phase == TaskPhase::Placed) {
            if (mustVacate(observation.host)
                || (isReportedAs(TaskState::Running) && !recentlyRenewed))
                continue;
            command.kind = WorkerCommandKind::Start;
            if (observation.host->specification)
                command.limit = observation.host->specification->capacity;
        } else if (task.phase == TaskPhase::Throttled) {
            if (isReportedAs(TaskState::Throttled) && !recentlyRenewed)
                continue;
            command.kind = WorkerCommandKind::Throttle;
        } else if (task.phase == TaskPhase::Checkpointing) {
            command.kind = WorkerCommandKind::Checkpoint;
        }
        if (isReportedAs(TaskState::Checkpointed) || isReportedAs(TaskState::Stopped)
            || isReportedAs(TaskState::Finished) || isReportedAs(TaskState::Failed))
            continue;
        commands.push_back(std::move(command));
    }
}

} // namespace Peridot
