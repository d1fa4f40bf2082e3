// What waits in the scheduler, for reports and for the admission of further jobs.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <set>

namespace Peridot::Jobs {

namespace {

/// What any worker of a pool offers.
struct PoolCapacity
{
    TaskSize largest; ///< the most of each resource
    std::set<std::string> labels;
};

// A transaction takes some tenths of a second while the process is behind.
constexpr std::chrono::milliseconds lateTransaction{900};

std::uint64_t tasksWithin(const OrganisationSettings *quota, OrganisationUsage &usage,
                          const TaskSize &size, std::uint64_t tasks)
{
    if (quota == nullptr)
        return tasks;
    return static_cast<std::uint64_t>(usage.take(*quota, size, static_cast<std::int64_t>(tasks)));
}

/// Number of tasks of the job that have no run and are not done. Tasks that wait for \a quota
/// (null: none) don't delay others, so that they don't count; the others are added to \a usage.
std::uint64_t waitingTasks(const Job &job, const PoolCapacity &pool,
                           const OrganisationSettings *quota, OrganisationUsage &usage)
{
    std::uint64_t waiting = 0;
    for (const auto &[number, occurrence] : job.occurrences()) {
        for (unsigned index = 0; index < occurrence.steps.size(); ++index) {
            const Job::Step &step = occurrence.steps[index];
            const StepSpecification &specification = job.step(index);
            const bool hasLabel = specification.requiredLabel.empty()
                                  || pool.labels.contains(specification.requiredLabel);
            if (hasLabel && fitsInto(reservedSize(specification), pool.largest))
                waiting += tasksWithin(quota, usage, specification.size,
                                       step.tasks.size() - step.active - step.done);
        }
    }
    return waiting;
}

std::map<std::string, PoolCapacity> poolCapacities(const std::map<std::string, Worker> &workers)
{
    std::map<std::string, PoolCapacity> pools;
    for (const auto &[id, worker] : workers) {
        PoolCapacity &pool = pools[worker.description.pool];
        const TaskSize &capacity = worker.description.capacity;
        pool.largest.milliProcessors
            = std::max(pool.largest.milliProcessors, capacity.milliProcessors);
        pool.largest.megabytes = std::max(pool.largest.megabytes, capacity.megabytes);
        pool.largest.accelerators = std::max(pool.largest.accelerators, capacity.accelerators);
        pool.labels.insert(worker.description.labels.begin(), worker.description.labels.end());
    }
    return pools;
}

/// Time for which the job can wait until its result is of no use.
Duration tolerableWait(const Job &job, const QueueSettings &queue)
{
    const Duration path = job.criticalPathEstimate();
    return queue.objective(path) * latestObjectives - path;
}

std::map<std::string, double> weightsOf(const JobConfiguration &configuration)
{
    std::map<std::string, double> weights;
    for (const OrganisationSettings &organisation : configuration.organisations) {
        if (organisation.weight > 0)
            weights[organisation.name] = organisation.weight;
    }
    return weights;
}

void addWaitingTasks(QueueBacklog &queue, std::uint64_t tasks, bool overdue, bool inProfile)
{
    queue.waitingTasks += tasks;
    queue.outOfProfileTasks += inProfile ? 0 : tasks;
    queue.overdueTasks += overdue ? tasks : 0;
}

} // namespace

SchedulerDemand JobScheduler::demand(TimePoint now) const
{
    SchedulerDemand demand;
    demand.startedTasks = m_startedTasks;
    demand.weights = weightsOf(*m_configuration);
    demand.startsAreBlocked = m_flushFailed || (m_flush && now > m_flushSentAt + lateTransaction);
    const auto pools = poolCapacities(m_workers);
    OrganisationUsage usage = m_usage;
    std::map<std::string, unsigned> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (isFinished(job.phase()) || job.longRunning()
            || job.submitted().specification.occurrences != 0)
            continue;
        const QueueSettings &settings = queueOf(job);
        QueueBacklog &queue = demand.queues[settings.name];
        queue.pool = settings.pool;
        queue.priority = settings.priority;
        const auto accepted = m_acceptedTasks.find(settings.name);
        queue.acceptedTasks = accepted == m_acceptedTasks.end() ? 0 : accepted->second;
        demand.startedTasks.try_emplace(settings.pool);
        const auto pool = pools.find(settings.pool);
        if (pool != pools.end())
            addWaitingTasks(queue, waitingTasks(job, pool->second, quotaOf(job), usage),
                            now > job.receivedAt + settings.objective(job.criticalPathEstimate()),
                            job.isInProfile.value_or(true));
        // The mean of the jobs so far.
        const auto count = static_cast<Duration::rep>(++jobs[settings.name]);
        queue.tolerableWait += (tolerableWait(job, settings) - queue.tolerableWait) / count;
    }
    addAcceptedJobs(demand);
    return demand;
}

void JobScheduler::addAcceptedJobs(SchedulerDemand &demand) const
{
    if (demand.weights.empty())
        return;
    for (auto &[name, queue] : demand.queues) {
        const auto jobs = m_acceptedJobs.find(name);
        if (jobs == m_acceptedJobs.end())
            continue;
        for (const auto &[organisation, count] : jobs->second)
            queue.organisations[organisation].acceptedJobs = count;
    }
}

} // namespace Peridot::Jobs
