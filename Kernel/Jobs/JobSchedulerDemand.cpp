// What waits in the scheduler, for reports and for the admission of further jobs.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>

namespace Peridot::Jobs {

namespace {

// A result is late after this multiple of the latency objective, and of no use.
constexpr int latestObjectives = 3;

/// Number of tasks of the job that have no run and are not done.
std::uint64_t waitingTasks(const Job &job, const TaskSize &largestCapacity)
{
    std::uint64_t waiting = 0;
    for (const auto &[number, occurrence] : job.occurrences()) {
        for (unsigned index = 0; index < occurrence.steps.size(); ++index) {
            const Job::Step &step = occurrence.steps[index];
            if (fitsInto(reservedSize(job.step(index)), largestCapacity))
                waiting += step.tasks.size() - step.active - step.done;
        }
    }
    return waiting;
}

Duration tolerableWait(const Job &job, const QueueSettings &queue)
{
    const Duration runtime = job.criticalPathEstimate();
    const auto objective
        = std::chrono::duration_cast<Duration>(runtime * queue.stretch) + queue.latencyAllowance;
    return objective * latestObjectives - runtime;
}

} // namespace

std::map<std::string, TaskSize> JobScheduler::largestCapacities() const
{
    std::map<std::string, TaskSize> largest;
    for (const auto &[id, worker] : m_workers) {
        const TaskSize &capacity = worker.description.capacity;
        TaskSize &size = largest[worker.description.pool];
        size.milliProcessors = std::max(size.milliProcessors, capacity.milliProcessors);
        size.megabytes = std::max(size.megabytes, capacity.megabytes);
        size.accelerators = std::max(size.accelerators, capacity.accelerators);
    }
    return largest;
}

SchedulerDemand JobScheduler::demand() const
{
    SchedulerDemand demand;
    demand.startedTasks = m_startedTasks;
    const auto largest = largestCapacities();
    std::map<std::string, unsigned> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (isFinished(job.phase()) || job.longRunning()
            || job.submitted().specification.occurrences != 0)
            continue;
        const QueueSettings &settings = queueOf(job);
        QueueBacklog &queue = demand.queues[settings.name];
        queue.pool = settings.pool;
        queue.priority = settings.priority;
        demand.startedTasks.try_emplace(settings.pool);
        const auto capacity = largest.find(settings.pool);
        if (capacity != largest.end())
            queue.waitingTasks += waitingTasks(job, capacity->second);
        // The mean of the jobs so far.
        const auto count = static_cast<Duration::rep>(++jobs[settings.name]);
        queue.tolerableWait += (tolerableWait(job, settings) - queue.tolerableWait) / count;
    }
    return demand;
}

} // namespace Peridot::Jobs
