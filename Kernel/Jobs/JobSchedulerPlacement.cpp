// Placement of ready tasks on workers.

#include "SchedulerLimits.h"
#include "UnplaceableSizes.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

bool JobScheduler::placeTasks(TimePoint now)
{
    m_placements = 0;
    assignProfiles();
    if (!hasWaitingJobs())
        return true;
    updateForeignUsage(now);
    const auto workers = candidatesByPool(now);
    auto queues = queuesByPool(now, workers);
    const bool complete = queues.empty() || placePools(now, queues, workers);
    m_advice.sendRequests(now);
    return complete;
}

bool JobScheduler::placePools(TimePoint now, std::map<std::string, PoolQueue> &queues,
                              const WorkersByPool &workersByPool)
{
    // After a pass that was ended by its limit, the next one begins with the next pool, so that
    // none is left out.
    auto next = queues.upper_bound(m_lastPool);
    m_lastPool.clear();
    for (std::size_t count = 0; count < queues.size(); ++count, ++next) {
        if (next == queues.end())
            next = queues.begin();
        auto &[pool, queue] = *next;
        const auto workers = workersByPool.find(pool);
        if (workers == workersByPool.end() || placePool(now, queue, workers->second))
            continue;
        m_lastPool = pool;
        return false;
    }
    return true;
}

bool JobScheduler::placePool(TimePoint now, PoolQueue &queue, const std::vector<Worker *> &workers)
{
    m_advice.beginPool();
    std::map<std::string, UnplaceableSizes> unplaceable;
    const UnplaceableSizes &ofAnyWorker = unplaceable[{}];
    sortForStart(now, queue.busyTime, queue.jobs);
    const auto isFull = [&] {
        return std::none_of(workers.begin(), workers.end(), [&](const Worker *worker) {
            return fitsInto(*queue.smallest, worker->freeCapacity());
        });
    };
    const bool canBecomeFull = !queue.needsAdvice && !m_hooks.defects.ignoreCapacity;
    bool maySearch = canBecomeFull;
    for (const WaitingJob &entry : queue.jobs) {
        // With thousands of waiting jobs, most of them are too large for what is left. They are
        // passed over without a look at their steps.
        if (entry.smallestTask && ofAnyWorker.contain(*entry.smallestTask)
            && !m_hooks.defects.ignoreCapacity)
            continue;
        const std::size_t placements = m_placements;
        for (auto &[number, occurrence] : entry.job->occurrences()) {
            for (unsigned step = 0; step < occurrence.steps.size(); ++step) {
                if (occurrence.steps[step].ready > 0)
                    placeStep(now, *entry.job, number, step, workers, unplaceable);
            }
        }
        if (m_placements >= maximumPlacementsPerPass)
            return false;
        // Once a job finds no room, there may be none for the others either, which are many.
        if (m_placements != placements)
            maySearch = canBecomeFull;
        else if (std::exchange(maySearch, false) && isFull())
            return true;
    }
    return true;
}

bool JobScheduler::acceptsRuns(TimePoint now, const Worker &worker) const
{
    return worker.listed && worker.contacted && worker.isDescribed() && worker.clockKnown()
           && worker.failedPolls == 0 && !worker.unschedulable && !worker.description.draining
           && !worker.hasOrphanedRuns() && now >= worker.avoidUntil && !waitsForProbe(now, worker);
}

JobScheduler::WorkersByPool JobScheduler::candidatesByPool(TimePoint now)
{
    WorkersByPool result;
    for (auto &[id, worker] : m_workers) {
        if (acceptsRuns(now, worker))
            result[worker.description.pool].push_back(&worker);
    }
    return result;
}

bool JobScheduler::hasRoom(TimePoint now, const std::vector<Worker *> &workers,
                           const StepSpecification &step) const
{
    const TaskSize size = reservedSize(step);
    return std::any_of(workers.begin(), workers.end(), [&](const Worker *worker) {
        const bool hasLabel = step.requiredLabel.empty() || worker->hasLabel(step.requiredLabel);
        return hasLabel && fitsInto(size, worker->freeCapacity()) && !waitsForProbe(now, *worker);
    });
}

bool JobScheduler::canRunAnother(TimePoint now, const StepSpecification &step,
                                 const PlacementCandidate &candidate) const
{
    if (!fitsInto(reservedSize(step), candidate.worker->freeCapacity())
        && !m_hooks.defects.ignoreCapacity)
        return false;
    if (waitsForProbe(now, *candidate.worker))
        return false;
    return step.maximumPerWorker == 0 || candidate.runsOfStep < step.maximumPerWorker;
}

std::vector<PlacementCandidate>
JobScheduler::candidatesFor(TimePoint now, const Job &job, const TaskName &name,
                            const std::vector<Worker *> &workers) const
{
    const StepSpecification &step = job.step(name.step);
    const auto active = job.activeByWorker(name.occurrence, name.step);
    std::vector<PlacementCandidate> candidates;
    for (Worker *worker : workers) {
        if (!step.requiredLabel.empty() && !worker->hasLabel(step.requiredLabel))
            continue;
        const auto runs = active.find(worker->description.id);
        const PlacementCandidate candidate{worker, runs == active.end() ? 0 : runs->second};
        if (canRunAnother(now, step, candidate))
            candidates.push_back(candidate);
    }
    return candidates;
}

void JobScheduler::placeStep(TimePoint now, Job &job, unsigned occurrence, unsigned step,
                             const std::vector<Worker *> &usable,
                             std::map<std::string, UnplaceableSizes> &unplaceable)
{
    Job::Step &state = job.occurrences().at(occurrence).steps[step];
    const StepSpecification &specification = job.step(step);
    UnplaceableSizes &sizes = unplaceable[specification.requiredLabel];
    const TaskSize size = reservedSize(specification);
    if (sizes.contain(size) && !m_hooks.defects.ignoreCapacity)
        return;
    const std::int64_t allowed = tasksWithinQuota(now, job, specification, state);
    if (allowed == 0)
        return;
    const TaskName first{job.id(), occurrence, step, 0};
    const QueueSettings &queue = queueOf(job);
    const bool needsAdvice = m_advice.isNeededFor(queue);
    const std::vector<Worker *> workers
        = needsAdvice ? m_advice.allowedWorkers(now, first, usable) : usable;
    const std::int64_t placed = specification.gang
                                    ? placeGang(now, job, occurrence, step, workers)
                                    : placeReadyTasks(now, job, first, workers, allowed);
    if (needsAdvice && placed < allowed)
        m_advice.add(now, {first, &specification, &queue, &usable});
    if (placed == 0 && !hasRoom(now, usable, specification))
        sizes.add(size);
}

std::int64_t JobScheduler::placeReadyTasks(TimePoint now, Job &job, const TaskName &firstTask,
                                           const std::vector<Worker *> &workers, std::int64_t limit)
{
    const StepSpecification &specification = job.step(firstTask.step);
    const Job::Step &state = job.occurrences().at(firstTask.occurrence).steps[firstTask.step];
    // All tasks of a step have the same size, so placing one affects only whether its own worker
    // remains a candidate.
    auto candidates = candidatesFor(now, job, firstTask, workers);
    std::int64_t placed = 0;
    TaskName name = firstTask;
    for (; name.index < state.tasks.size() && !candidates.empty() && placed < limit; ++name.index) {
        const Job::Task &task = state.tasks[name.index];
        if (task.phase != TaskPhase::Ready)
            continue;
        ++placed;
        const auto chosen = chooseCandidate(specification, task, candidates);
        assign(now, job, name, task.run + 1, *chosen->worker);
        probePlaced(now, *chosen->worker);
        ++chosen->runsOfStep;
        if (!canRunAnother(now, specification, *chosen))
            candidates.erase(chosen);
    }
    return placed;
}

std::vector<PlacementCandidate>::iterator
JobScheduler::chooseCandidate(const StepSpecification &step, const Job::Task &task,
                              std::vector<PlacementCandidate> &candidates) const
{
    if (task.avoidedWorker.empty() || candidates.size() == 1)
        return candidates.begin()
               + static_cast<std::ptrdiff_t>(m_placement->choose(step, candidates));
    const auto others = candidatesForRetry(task, candidates);
    const Worker *worker = others[m_placement->choose(step, others)].worker;
    return std::find_if(
        candidates.begin(), candidates.end(),
        [&](const PlacementCandidate &candidate) { return candidate.worker == worker; });
}

std::vector<PlacementCandidate>
JobScheduler::candidatesForRetry(const Job::Task &task,
                                 const std::vector<PlacementCandidate> &candidates) const
{
    auto others = candidates;
    std::erase_if(others, [&](const PlacementCandidate &candidate) {
        return candidate.worker->description.id == task.avoidedWorker;
    });
    // The number of runs of a task may be limited, so that a retry is rather no probe.
    auto trusted = others;
    std::erase_if(trusted, [&](const PlacementCandidate &candidate) {
        return isQuarantined(*candidate.worker);
    });
    return trusted.empty() ? others : trusted;
}

std::int64_t JobScheduler::placeGang(TimePoint now, Job &job, unsigned occurrence, unsigned step,
                                     const std::vector<Worker *> &workers)
{
    const Job::Step &state = job.occurrences().at(occurrence).steps[step];
    if (state.ready != state.tasks.size())
        return 0; // some members of the previous run have not ended
    const auto members = static_cast<std::int64_t>(state.tasks.size());
    // A worker that fails all runs fails the gang, so that the others are tried first.
    std::vector<Worker *> trusted = workers;
    std::erase_if(trusted, [&](const Worker *worker) { return isQuarantined(*worker); });
    if (placeGangOn(trusted, now, job, occurrence, step))
        return members;
    if (trusted.size() == workers.size())
        return 0;
    return placeGangOn(workers, now, job, occurrence, step) ? members : 0;
}

bool JobScheduler::placeGangOn(const std::vector<Worker *> &workers, TimePoint now, Job &job,
                               unsigned occurrence, unsigned step)
{
    const Job::Step &state = job.occurrences().at(occurrence).steps[step];
    const std::string rack = gangRack(now, job, step, workers);
    if (!gangFits(now, job.step(step), rack, workers))
        return false;
    const std::uint64_t run = job.nextGangRun(occurrence, step);
    std::vector<TaskName> placed;
    for (unsigned index = 0; index < state.tasks.size(); ++index) {
        const TaskName name{job.id(), occurrence, step, index};
        auto candidates = candidatesFor(now, job, name, workers);
        if (!rack.empty()) {
            std::erase_if(candidates, [&](const PlacementCandidate &candidate) {
                return !candidate.worker->hasLabel(rack);
            });
        }
        if (candidates.empty())
            break;
        const std::size_t chosen = m_placement->choose(job.step(step), candidates);
        assign(now, job, name, run, *candidates[chosen].worker);
        placed.push_back(name);
    }
    const bool isComplete = placed.size() == state.tasks.size();
    for (const TaskName &name : placed) {
        Worker &worker = m_workers.at(job.task(name)->worker);
        if (isComplete) {
            probePlaced(now, worker); // all members on a worker are one probe
            continue;
        }
        worker.runs.remove({name, run});
        job.makeReady(name);
    }
    return isComplete;
}

std::int64_t JobScheduler::slotsOn(TimePoint now, const Worker &worker,
                                   const StepSpecification &step) const
{
    const bool hasLabel = step.requiredLabel.empty() || worker.hasLabel(step.requiredLabel);
    if (!hasLabel || waitsForProbe(now, worker))
        return 0;
    const TaskSize free = worker.freeCapacity();
    const TaskSize size = reservedSize(step);
    std::int64_t count = step.count;
    if (size.milliProcessors > 0)
        count = std::min(count, free.milliProcessors / size.milliProcessors);
    if (size.megabytes > 0)
        count = std::min(count, free.megabytes / size.megabytes);
    if (size.accelerators > 0)
        count = std::min(count, free.accelerators / size.accelerators);
    if (step.maximumPerWorker > 0)
        count = std::min<std::int64_t>(count, step.maximumPerWorker);
    return std::max<std::int64_t>(count, 0);
}

bool JobScheduler::gangFits(TimePoint now, const StepSpecification &step, const std::string &rack,
                            const std::vector<Worker *> &workers) const
{
    std::int64_t slots = 0;
    for (const Worker *worker : workers) {
        if (rack.empty() || worker->hasLabel(rack))
            slots += slotsOn(now, *worker, step);
    }
    return slots >= step.count || m_hooks.defects.ignoreCapacity;
}

std::string JobScheduler::gangRack(TimePoint now, const Job &job, unsigned step,
                                   const std::vector<Worker *> &workers) const
{
    const StepSpecification &specification = job.step(step);
    if (!specification.sameRack)
        return {};
    // Number of gang members that fit on the workers with each label. Racks are such labels, too.
    std::map<std::string, std::int64_t> slotsByLabel;
    for (const Worker *worker : workers) {
        const std::int64_t count = slotsOn(now, *worker, specification);
        for (const auto &label : worker->description.labels)
            slotsByLabel[label] += count;
    }
    // Chooses the label with the fewest slots that suffice for the gang. Other labels, such as
    // kinds of workers, span several racks, so the label of a rack is preferred.
    std::string best;
    for (const auto &[label, count] : slotsByLabel) {
        if (count >= specification.count && (best.empty() || count < slotsByLabel[best]))
            best = label;
    }
    return best;
}

void JobScheduler::assign(TimePoint now, Job &job, const TaskName &name, std::uint64_t run,
                          Worker &worker)
{
    job.activate(name, run, worker.description.id, now);
    const RunName runName{name, run};
    worker.runs.add(runName, newRun(job, job.step(name.step), now));
    m_recording.emplace_back(worker.description.id, runName);
    markDirty(job);
    ++m_placements;
    observe("run-placed", runName, worker.description.id);
}

} // namespace Peridot::Jobs
