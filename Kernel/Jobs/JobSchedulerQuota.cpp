// Quotas of organisations. The scheduling process is the only one that starts runs, so that it
// decides alone what an organisation may use on all workers together.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

// An organisation at its quota alternates between waiting and not, with each end of a task. Within
// this time, its waits are one.
constexpr std::chrono::seconds quotaReportPause{5};

} // namespace

void JobScheduler::updateOrganisations()
{
    std::map<std::string, TimePoint> waits;
    for (const Organisation &organisation : m_organisations)
        waits[organisation.name] = organisation.waitedAt;
    m_organisations.clear();
    for (const OrganisationSettings &settings : m_configuration->organisations)
        m_organisations.push_back({settings.name, &settings, 0, waits[settings.name]});
}

const OrganisationSettings *JobScheduler::quotaOf(const Job &job) const
{
    const auto index = settingsOf(job).organisation;
    if (!index || m_hooks.defects.ignoreQuotas)
        return nullptr;
    const OrganisationSettings *settings = m_organisations[*index].settings;
    return hasQuota(*settings) ? settings : nullptr;
}

void JobScheduler::noteEndedJob(const SubmittedJob &job, const JobProgress &progress)
{
    // A completed job has no runs.
    if (job.organisation.empty() || progress.phase == JobPhase::Completed)
        return;
    m_endedJobs[job.id] = {job.organisation, job.specification.steps};
}

void JobScheduler::updateForeignUsage(TimePoint now)
{
    m_usage.remove(std::exchange(m_foreignUsage, {}));
    if (m_organisations.empty())
        return;
    const bool leasesAreOver = now > m_startedAt + m_timing.expiredLeaseGrace + longestLease();
    bool anyListed = false;
    bool allContacted = true;
    for (const auto &[id, worker] : m_workers) {
        anyListed |= worker.listed;
        allContacted &= worker.contacted;
        for (const auto &[run, nextStop] : worker.orphanedRuns)
            addForeignRun(run);
    }
    const bool runsAreKnown = leasesAreOver || (anyListed && allContacted);
    if (runsAreKnown && m_foreignUsage.empty())
        m_endedJobs.clear();
    if (!runsAreKnown)
        addTasksOfEndedJobs();
    m_usage.add(m_foreignUsage);
}

void JobScheduler::addForeignRun(const RunName &run)
{
    const auto ended = m_endedJobs.find(run.task.job);
    const auto job = m_jobs.find(run.task.job);
    if (ended != m_endedJobs.end() && run.task.step < ended->second.steps.size())
        m_foreignUsage.add(ended->second.organisation, ended->second.steps[run.task.step].size);
    else if (job != m_jobs.end()
             && run.task.step < job->second.submitted().specification.steps.size())
        m_foreignUsage.add(job->second.submitted().organisation,
                           job->second.step(run.task.step).size);
}

void JobScheduler::addTasksOfEndedJobs()
{
    // Until all workers have listed their runs, each task of the job may run on one of them.
    for (const auto &[id, job] : m_endedJobs) {
        for (const StepSpecification &step : job.steps)
            m_foreignUsage.add(job.organisation, multiplied(step.size, step.count));
    }
}

std::int64_t JobScheduler::tasksWithinQuota(TimePoint now, const Job &job,
                                            const StepSpecification &step, Job::Step &state)
{
    state.waitingForQuota = 0;
    const OrganisationSettings *settings = quotaOf(job);
    if (settings == nullptr)
        return state.ready;
    std::int64_t room = m_usage.room(*settings, step.size, state.ready);
    if (step.gang && room < state.ready)
        room = 0;
    state.waitingForQuota = state.ready - static_cast<unsigned>(room);
    if (state.waitingForQuota > 0)
        noteQuotaWait(now, m_organisations[*settingsOf(job).organisation], state.waitingForQuota);
    return room;
}

void JobScheduler::noteQuotaWait(TimePoint now, Organisation &organisation, unsigned tasks)
{
    const bool isNew
        = organisation.waitedAt == TimePoint{} || now >= organisation.waitedAt + quotaReportPause;
    organisation.waitedAt = now;
    if (isNew)
        observe("quota-reached", {}, {}, organisation.name + ' ' + std::to_string(tasks));
}

bool JobScheduler::waitsForQuota(const Job &job)
{
    for (const auto &[number, occurrence] : job.occurrences()) {
        for (const Job::Step &step : occurrence.steps) {
            if (step.ready > 0 && step.waitingForQuota > 0)
                return true;
        }
    }
    return false;
}

std::map<std::string, std::uint64_t> JobScheduler::tasksWaitingForQuota() const
{
    std::map<std::string, std::uint64_t> tasks;
    if (m_organisations.empty())
        return tasks;
    for (const auto &[id, job] : m_jobs) {
        if (!job.hasReadyTasks() || !waitsForQuota(job))
            continue;
        for (const auto &[number, occurrence] : job.occurrences()) {
            for (const Job::Step &step : occurrence.steps)
                tasks[job.submitted().organisation] += std::min(step.ready, step.waitingForQuota);
        }
    }
    return tasks;
}

} // namespace Peridot::Jobs
