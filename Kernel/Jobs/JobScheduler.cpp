#include <Kernel/Jobs/JobScheduler.h>

#include "SchedulerLimits.h"
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

JobScheduler::JobScheduler(std::uint64_t epoch, Version epochRowVersion, SchedulerTiming timing,
                           SchedulerHooks hooks, TimePoint now)
    : m_epoch(epoch), m_epochRowVersion(epochRowVersion), m_timing(timing),
      m_hooks(std::move(hooks)), m_startedAt(now),
      m_configuration(std::make_shared<JobConfiguration>()),
      m_placement(PlacementPolicyRegistry::create("pack-and-spread").value()),
      m_advice({m_hooks.orders.advise,
                [this](std::string_view kind, const TaskName &step, std::string detail) {
                    observe(kind, {step, 0}, {}, std::move(detail));
                }})
{
}

void JobScheduler::setConfiguration(std::shared_ptr<const JobConfiguration> configuration)
{
    m_configuration = std::move(configuration);
    ++m_configurationNumber;
    updateOrganisations();
}

Duration JobScheduler::longestLease() const
{
    return m_timing.maximumWorkerLease * maximumLeasePercent / 100;
}

Worker &JobScheduler::findOrAddWorker(const WorkerDescription &description)
{
    const auto [entry, isNew] = m_workers.try_emplace(description.id, description);
    if (isNew) {
        entry->second.runs.countIn(m_usage);
        // A previous scheduler that has not learned of its successor may still extend leases.
        entry->second.assumeLeasesUntil(m_startedAt + m_timing.expiredLeaseGrace + longestLease());
    }
    return entry->second;
}

void JobScheduler::setWorkers(TimePoint now, const std::vector<WorkerDescription> &workers)
{
    for (auto &[id, worker] : m_workers)
        worker.listed = false;
    for (const auto &description : workers)
        updateDescription(now, findOrAddWorker(description), description);
    std::erase_if(m_workers, [](const auto &entry) {
        return !entry.second.listed && entry.second.runs.empty();
    });
}

void JobScheduler::updateDescription(TimePoint now, Worker &worker,
                                     const WorkerDescription &description)
{
    const std::int64_t known = worker.description.startedAt;
    const bool isRefuted
        = worker.refutedIncarnation != 0 && description.startedAt == worker.refutedIncarnation;
    // The list lags behind the worker's own replies, which may have shown a later incarnation.
    if (description.startedAt < known && !isRefuted)
        return;
    worker.listed = true;
    worker.description = description;
    worker.describedIncarnation = description.startedAt;
    if (isRefuted) {
        worker.description.startedAt = known;
        worker.describedIncarnation = known;
    } else if (description.startedAt > known && worker.incarnationReported) {
        // Others may write entries, too. Only the worker itself can tell that its runs have ended.
        worker.description.startedAt = known;
        worker.announceIncarnation(now, description.startedAt);
    } else if (description.startedAt > known || worker.incarnationListedAt == TimePoint{}) {
        worker.incarnationListedAt = now;
    }
}

void JobScheduler::setExistingWorkers(TimePoint now, TimePoint requestedAt,
                                      const std::set<std::string> &workers)
{
    for (auto &[id, worker] : m_workers) {
        if (worker.runs.empty() || workers.contains(id) || worker.lastContact > requestedAt)
            continue;
        const bool newRun
            = std::any_of(worker.runs.begin(), worker.runs.end(),
                          [&](const auto &entry) { return entry.second.createdAt > requestedAt; });
        if (!newRun)
            removeWorker(now, worker);
    }
}

void JobScheduler::addJob(TimePoint now, const SubmittedJob &submitted,
                          const std::optional<JobProgress> &progress, Version progressVersion)
{
    const std::string id = submitted.id;
    if (m_jobs.contains(id) || m_retained.contains(id))
        return;
    if (progress && isFinished(progress->phase)) {
        noteEndedJob(submitted, *progress);
        return retainJob(now, id, progress->changedAt);
    }
    Job &job = m_jobs.try_emplace(id, submitted, progress, now).first->second;
    job.rowVersion = progressVersion;
    if (!submitted.organisation.empty())
        m_unprofiledJobs.push_back(id);
    job.startDueOccurrences(now);
    for (const auto &[number, occurrence] : job.occurrences()) {
        for (unsigned step = 0; step < occurrence.steps.size(); ++step)
            restoreRuns(now, job, number, step);
    }
    for (const StepSpecification &step : submitted.specification.steps)
        m_acceptedTasks[submitted.queue.name] += step.count;
    ++m_acceptedJobs[submitted.queue.name][submitted.organisation];
    observe("job-added", {{id, 0, 0, 0}, 0}, {}, job.submitted().queue.name);
}

void JobScheduler::restoreRuns(TimePoint now, Job &job, unsigned occurrence, unsigned step)
{
    const auto &tasks = job.occurrences().at(occurrence).steps[step].tasks;
    for (unsigned index = 0; index < tasks.size(); ++index) {
        const Job::Task &task = tasks[index];
        if (task.phase != TaskPhase::Active)
            continue;
        job.started = true;
        // The worker may be missing from the list: its registration can expire while it still runs
        // tasks.
        WorkerDescription placeholder;
        placeholder.id = task.worker;
        Worker &worker = findOrAddWorker(placeholder);
        WorkerRun run = newRun(job, job.step(step), now);
        run.phase = RunPhase::Running;
        run.confirmedAt = m_startedAt;
        worker.runs.add({{job.id(), occurrence, step, index}, task.run}, run);
    }
}

void JobScheduler::takeClock(const Worker &answered)
{
    const auto found = m_workers.find(answered.description.id);
    if (found != m_workers.end())
        found->second.takeClock(answered);
}

void JobScheduler::assumeLeasesUntil(TimePoint end)
{
    for (auto &[id, worker] : m_workers)
        worker.assumeLeasesUntil(end);
}

void JobScheduler::addFinishedJob(const std::string &id, TimePoint finishedAt)
{
    m_retained.emplace(id, finishedAt + m_timing.statusRetention);
}

void JobScheduler::addTombstone(TimePoint now, const std::string &id)
{
    m_tombstones.try_emplace(id, now + tombstoneRetention);
}

void JobScheduler::cancelJob(TimePoint now, const std::string &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || isFinished(found->second.phase()))
        return;
    finishJob(now, found->second, JobPhase::Cancelled);
}

void JobScheduler::markDirty(Job &job)
{
    ++job.changes;
    m_dirty.insert(job.id());
}

void JobScheduler::finishJob(TimePoint now, Job &job, JobPhase phase)
{
    observe("job-finished", {{job.id(), 0, 0, 0}, 0}, {}, std::string(jobPhaseNames.nameOf(phase)));
    attributeFailures(job);
    job.finish(phase);
    markDirty(job);
    stopRunsOf(now, job.id());
}

void JobScheduler::stopRunsOf(TimePoint now, const std::string &job)
{
    const RunName first{{job, 0, 0, 0}, 0};
    for (auto &[id, worker] : m_workers) {
        // The names are copied, because stopRun() removes runs that have not been started.
        std::vector<RunName> names;
        const auto end = std::as_const(worker.runs).end();
        for (auto run = worker.runs.firstFrom(first); run != end && run->first.task.job == job;
             ++run)
            names.push_back(run->first);
        for (const RunName &name : names)
            stopRun(now, worker, name);
    }
}

void JobScheduler::stopRun(TimePoint now, Worker &worker, const RunName &name)
{
    WorkerRun *run = worker.runs.find(name);
    if (run == nullptr || run->phase == RunPhase::Stopping)
        return;
    if (run->phase == RunPhase::Recording)
        return worker.runs.remove(name);
    run->phase = RunPhase::Stopping;
    run->ordersSent = 0;
    run->nextOrderAt = now;
}

Job *JobScheduler::jobOf(const TaskName &name)
{
    const auto found = m_jobs.find(name.job);
    if (found == m_jobs.end() || isFinished(found->second.phase()))
        return nullptr;
    return &found->second;
}

void JobScheduler::markStarted(const TaskName &name)
{
    if (Job *job = jobOf(name))
        job->started = true;
}

bool JobScheduler::isCurrentRun(const RunName &run, const std::string &worker)
{
    Job *job = jobOf(run.task);
    const Job::Task *task = job == nullptr ? nullptr : job->task(run.task);
    return task != nullptr && task->phase == TaskPhase::Active && task->run == run.run
           && task->worker == worker;
}

Duration JobScheduler::expectedRuntime(const Job &job, const StepSpecification &step) const
{
    const auto found = m_runtimes.find(job.submitted().queue.name);
    return found == m_runtimes.end() ? step.estimatedRuntime
                                     : found->second.predict(step.estimatedRuntime);
}

const Job::CurrentSettings &JobScheduler::settingsOf(const Job &job) const
{
    Job::CurrentSettings &settings = job.currentSettings;
    if (settings.configuration == m_configurationNumber)
        return settings;
    settings.configuration = m_configurationNumber;
    settings.queue = m_configuration->queue(job.submitted().queue.name);
    settings.organisation.reset();
    const auto *organisation = m_configuration->organisation(job.submitted().organisation);
    if (organisation != nullptr)
        settings.organisation
            = static_cast<std::size_t>(organisation - m_configuration->organisations.data());
    return settings;
}

const QueueSettings &JobScheduler::queueOf(const Job &job) const
{
    const QueueSettings *current = settingsOf(job).queue;
    return current == nullptr ? job.submitted().queue : *current;
}

WorkerRun JobScheduler::newRun(const Job &job, const StepSpecification &step, TimePoint now)
{
    WorkerRun run;
    run.reserved = reservedSize(step);
    run.organisation = job.submitted().organisation;
    run.charged = step.size;
    run.longRunning = step.longRunning;
    run.bestEffort = step.bestEffort;
    run.latencyTarget = step.latencyTarget;
    run.progressChangedAt = now;
    run.createdAt = now;
    return run;
}

void JobScheduler::observe(std::string_view kind, const RunName &run, const std::string &worker,
                           std::string detail) const
{
    if (m_hooks.observe)
        m_hooks.observe({kind, run, worker, std::move(detail)});
}

bool JobScheduler::plan(TimePoint now)
{
    if (now >= m_nextCheck) {
        m_nextCheck = now + checkPeriod;
        for (auto &[id, job] : m_jobs)
            job.startDueOccurrences(now);
        discardRunsOfExpiredLeases(now);
        restartStalled(now);
        evacuate(now);
    }
    const bool complete = placeTasks(now);
    sendDueOrders(now);
    return complete;
}

std::map<std::string, unsigned> JobScheduler::pendingJobs() const
{
    std::map<std::string, unsigned> pending;
    for (const auto &queue : m_configuration->queues)
        pending[queue.name] = 0;
    for (const auto &[id, job] : m_jobs) {
        if (!isFinished(job.phase()) && !job.started
            && job.submitted().specification.occurrences == 0)
            ++pending[job.submitted().queue.name];
    }
    return pending;
}

SchedulerBacklog JobScheduler::backlog(TimePoint now) const
{
    SchedulerBacklog backlog;
    backlog.jobs = m_jobs.size();
    backlog.changedJobs = m_dirty.size();
    backlog.stepsWithoutAdvice = m_advice.waitingSteps();
    backlog.adviceCalls = m_advice.calls().inFlight();
    backlog.adviceCallLimit = m_advice.calls().limit();
    for (const auto &[id, worker] : m_workers) {
        backlog.unacknowledgedEnds += worker.processedEnds - worker.acknowledgedEnds;
        if (worker.runs.empty())
            continue;
        if (worker.failedPolls > 0)
            ++backlog.unreachableWorkers;
        const TimePoint contact = std::max(worker.lastContact, m_startedAt);
        backlog.oldestContact = std::max(backlog.oldestContact, now - contact);
    }
    return backlog;
}

bool JobScheduler::isLongRunning(const TaskName &name) const
{
    const auto found = m_jobs.find(name.job);
    return found != m_jobs.end() && found->second.step(name.step).longRunning;
}

} // namespace Peridot::Jobs
