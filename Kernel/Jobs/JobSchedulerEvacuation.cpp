// Evacuation of workers that are draining or unschedulable.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>

namespace Peridot::Jobs {

void JobScheduler::setUnschedulable(const std::string &worker, bool unschedulable)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.unschedulable = unschedulable;
}

void JobScheduler::setMustBeEmptied(const std::string &worker, bool mustBeEmptied)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.mustBeEmptied = mustBeEmptied;
}

bool JobScheduler::hasShortRuns(const Worker &worker) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(),
                       [this](const auto &entry) { return !isLongRunning(entry.first.task); });
}

bool JobScheduler::isDraining(const std::string &id) const
{
    const auto worker = m_workers.find(id);
    if (worker == m_workers.end())
        return false;
    const auto &runs = worker->second.runs;
    return hasShortRuns(worker->second)
           || std::any_of(runs.begin(), runs.end(), [](const auto &entry) {
                  return entry.second.phase == RunPhase::Stopping;
              });
}

void JobScheduler::stopShortRuns(TimePoint now, const std::string &id)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    std::vector<RunName> names;
    for (const auto &[name, run] : found->second.runs) {
        const Job *job = jobOf(name.task);
        if (run.phase == RunPhase::Running && job != nullptr
            && !job->step(name.task.step).longRunning)
            names.push_back(name);
    }
    for (const RunName &name : names)
        stopRun(now, found->second, name);
}

bool JobScheduler::isSettled(const Worker &worker) const
{
    return worker.contacted && worker.failedPolls == 0
           && worker.lastContact >= worker.contactedSince + m_timing.stopLimit;
}

unsigned JobScheduler::unavailableTasks(const Job &job, unsigned occurrence, unsigned step) const
{
    const auto &tasks = job.occurrences().at(occurrence).steps[step].tasks;
    unsigned unavailable = 0;
    for (unsigned index = 0; index < tasks.size(); ++index) {
        const Job::Task &task = tasks[index];
        const auto worker = m_workers.find(task.worker);
        const WorkerRun *run = nullptr;
        const bool known = worker != m_workers.end() && isSettled(worker->second);
        if (task.phase == TaskPhase::Active && known)
            run = worker->second.runs.find({{job.id(), occurrence, step, index}, task.run});
        if (run == nullptr || run->phase != RunPhase::Running || run->progressPercent != 100)
            ++unavailable;
    }
    return unavailable;
}

void JobScheduler::evacuate(TimePoint now)
{
    // A stopped run keeps its capacity until the worker reports its end, so that the candidates are
    // the same for all runs.
    const auto workersByPool = candidatesByPool(now);
    EvacuationReservations reservations;
    for (auto &[id, worker] : m_workers) {
        if (!worker.unschedulable && !worker.description.draining)
            continue;
        std::vector<RunName> names;
        for (const auto &[name, run] : worker.runs)
            names.push_back(name);
        for (const RunName &name : names) {
            const WorkerRun *run = worker.runs.find(name);
            if (run != nullptr && run->phase == RunPhase::Running && isCurrentRun(name, id))
                evacuateRun(now, worker, name, workersByPool, reservations);
        }
    }
}

bool JobScheduler::reserveForEvacuation(TimePoint now, const Job &job, const TaskName &name,
                                        const std::vector<Worker *> &workers,
                                        EvacuationReservations &reservations) const
{
    const TaskSize size = reservedSize(job.step(name.step));
    for (const PlacementCandidate &candidate : candidatesFor(now, job, name, workers)) {
        if (isQuarantined(*candidate.worker))
            continue; // the task runs well where it is
        TaskSize &taken = reservations[candidate.worker->description.id];
        if (!fitsInto(plus(taken, size), candidate.worker->freeCapacity()))
            continue;
        taken = plus(taken, size);
        return true;
    }
    return false;
}

void JobScheduler::evacuateRun(TimePoint now, Worker &worker, const RunName &name,
                               const WorkersByPool &workersByPool,
                               EvacuationReservations &reservations)
{
    const Job &job = *jobOf(name.task);
    const StepSpecification &step = job.step(name.task.step);
    if (!step.longRunning && !step.savesCheckpoints)
        return; // the task ends by itself, and a stop would lose its work
    if (step.longRunning) {
        const unsigned allowed = unavailableLimit(step);
        const unsigned unavailable = unavailableTasks(job, name.task.occurrence, name.task.step);
        const bool isUnavailable = worker.runs.find(name)->progressPercent != 100;
        if (unavailable - (isUnavailable ? 1 : 0) >= allowed)
            return;
    }
    const auto workers = workersByPool.find(queueOf(job).pool);
    const bool hasRoom
        = workers != workersByPool.end()
          && reserveForEvacuation(now, job, name.task, workers->second, reservations);
    // Without room elsewhere, the task waits until the worker is back. Its own time out of service
    // begins only when nothing else keeps the host from being maintained.
    const bool mustStop = step.longRunning && worker.mustBeEmptied && !hasShortRuns(worker);
    if (!hasRoom && !mustStop)
        return;
    observe("run-evacuated", name, worker.description.id);
    stopRun(now, worker, name);
}

} // namespace Peridot::Jobs
