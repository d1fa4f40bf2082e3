// Failed runs: whether the worker or the job is the cause, and which workers are quarantined.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>

namespace Peridot::Jobs {

void JobScheduler::handleTaskFailure(TimePoint now, Job &job, const RunName &run, Worker &worker)
{
    recordFailure(now, job, run.task, worker);
    job.task(run.task)->avoidedWorker = worker.description.id;
    const unsigned failures = job.countFailure(run.task, run.run);
    const bool hasAttemptLimit = !job.step(run.task.step).longRunning;
    if (hasAttemptLimit && failures >= queueOf(job).maximumAttempts)
        return finishJob(now, job, JobPhase::Failed);
    requeueTask(now, run, RunOutcome::Failed, worker.description.id);
}

void JobScheduler::recordFailure(TimePoint now, Job &job, const TaskName &name, Worker &worker)
{
    const bool wasQuarantined = isQuarantined(worker);
    job.addFailingWorker(name, worker.description.id);
    worker.failures.add({name.job, name.occurrence, name.step, 0});
    if (!isQuarantined(worker))
        return;
    worker.nextProbe = now + probeInterval;
    if (!wasQuarantined)
        observe("worker-quarantined", {name, 0}, worker.description.id);
}

void JobScheduler::attributeFailures(const Job &job)
{
    for (const auto &[number, occurrence] : job.occurrences()) {
        for (unsigned step = 0; step < occurrence.steps.size(); ++step) {
            const TaskName first{job.id(), number, step, 0};
            if (!isAtFault(first))
                continue;
            for (const std::string &id : occurrence.steps[step].failingWorkers) {
                const auto worker = m_workers.find(id);
                if (worker != m_workers.end())
                    worker->second.failures.attributeToJob(first);
            }
        }
    }
}

bool JobScheduler::isAtFault(const TaskName &step) const
{
    const auto job = m_jobs.find(step.job);
    return job != m_jobs.end() && job->second.failingWorkers(step) >= workersBeforeJobIsAtFault;
}

bool JobScheduler::isQuarantined(const Worker &worker) const
{
    return worker.leavesOrdersUnanswered()
           || worker.failures.indicateWorker(
               [this](const TaskName &step) { return isAtFault(step); });
}

void JobScheduler::clearFailures(Worker &worker)
{
    if (isQuarantined(worker))
        observe("worker-released", {}, worker.description.id);
    worker.failures.clear();
}

void JobScheduler::enteredService(Worker &worker, const TaskName &name)
{
    Job *job = jobOf(name);
    if (job == nullptr || !job->step(name.step).longRunning || job->task(name) == nullptr)
        return;
    job->markSucceeded(name);
    clearFailures(worker);
}

bool JobScheduler::waitsForProbe(TimePoint now, const Worker &worker) const
{
    if (worker.receivesNoOrders(now) && !worker.runs.empty())
        return true;
    return now < worker.nextProbe && isQuarantined(worker);
}

void JobScheduler::probePlaced(TimePoint now, Worker &worker) const
{
    if (now < worker.nextProbe || !isQuarantined(worker))
        return;
    worker.nextProbe = now + probeInterval;
    observe("worker-probed", {}, worker.description.id);
}

} // namespace Peridot::Jobs
