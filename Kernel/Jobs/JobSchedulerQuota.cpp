// Quotas of organisations. The scheduling process is the only one that starts runs, so that it
// decides alone what an organisation may use on all workers together.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>

namespace Peridot::Jobs {

const OrganisationSettings *JobScheduler::quotaOf(const Job &job) const
{
    const std::string &name = job.submitted().organisation;
    if (name.empty() || m_hooks.defects.ignoreQuotas)
        return nullptr;
    const OrganisationSettings *organisation = m_configuration->organisation(name);
    return organisation != nullptr && hasQuota(*organisation) ? organisation : nullptr;
}

void JobScheduler::updateUsage(TimePoint now)
{
    m_usage = {};
    m_capacity = {};
    if (m_configuration->organisations.empty())
        return;
    for (const auto &[id, worker] : m_workers) {
        m_usage.add(worker.runs.usage());
        m_capacity = plus(m_capacity, worker.description.capacity);
    }
    addRunsOfEndedJobs(now);
}

void JobScheduler::noteEndedJob(const SubmittedJob &job, const JobProgress &progress)
{
    // A completed job has no runs.
    if (job.organisation.empty() || progress.phase == JobPhase::Completed)
        return;
    m_endedJobs[job.id] = {job.organisation, job.specification.steps};
}

void JobScheduler::addRunsOfEndedJobs(TimePoint now)
{
    if (m_endedJobs.empty())
        return;
    const bool leasesAreOver = now > m_startedAt + m_timing.expiredLeaseGrace
                                         + m_timing.workerLease * maximumLeasePercent / 100;
    bool allContacted = true;
    bool anyOrphaned = false;
    for (const auto &[id, worker] : m_workers) {
        allContacted &= worker.contacted;
        for (const auto &[run, nextStop] : worker.orphanedRuns) {
            const auto ended = m_endedJobs.find(run.task.job);
            if (ended == m_endedJobs.end() || run.task.step >= ended->second.steps.size())
                continue;
            anyOrphaned = true;
            m_usage.add(ended->second.organisation, ended->second.steps[run.task.step].size);
        }
    }
    if ((allContacted || leasesAreOver) && !anyOrphaned)
        return m_endedJobs.clear();
    if (allContacted || leasesAreOver)
        return;
    // Until all workers have listed their runs, each task of the job may run on one of them.
    for (const auto &[id, job] : m_endedJobs) {
        for (const StepSpecification &step : job.steps) {
            for (unsigned task = 0; task < step.count; ++task)
                m_usage.add(job.organisation, step.size);
        }
    }
}

std::int64_t JobScheduler::tasksWithinQuota(const Job &job, const StepSpecification &step,
                                            unsigned count)
{
    const OrganisationSettings *organisation = quotaOf(job);
    if (organisation == nullptr)
        return count;
    std::int64_t room = m_usage.room(*organisation, step.size, count);
    if (step.gang && room < count)
        room = 0;
    if (room < count) {
        m_quotaWaits[organisation->name] += static_cast<std::uint64_t>(count - room);
        m_jobsWaitingForQuota.insert(job.id());
    }
    return room;
}

void JobScheduler::reportQuotaWaits(const std::map<std::string, std::uint64_t> &before) const
{
    for (const auto &[organisation, tasks] : m_quotaWaits) {
        if (!before.contains(organisation))
            observe("quota-reached", {}, {}, organisation + ' ' + std::to_string(tasks));
    }
}

} // namespace Peridot::Jobs
