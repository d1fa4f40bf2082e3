// Choice of a worker for each ready task, and the removal of tasks from workers that leave.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <tuple>

namespace Peridot::Jobs {

std::map<std::string, std::vector<JobScheduler::PoolQueueEntry>>
JobScheduler::queuesByPool(TimePoint now)
{
    std::map<std::string, std::vector<PoolQueueEntry>> queues;
    for (auto &[id, job] : m_jobs) {
        const bool ready = std::any_of(
            job.occurrences().begin(), job.occurrences().end(), [](const auto &occurrence) {
                return std::any_of(occurrence.second.steps.begin(), occurrence.second.steps.end(),
                                   [](const auto &step) { return step.ready > 0; });
            });
        if (!ready)
            continue;
        const QueueSettings &queue = queueOf(job);
        PoolQueueEntry entry;
        entry.job = &job;
        entry.priority = queue.priority;
        const Duration chain = job.chainEstimate();
        const auto stretched = std::chrono::duration_cast<Duration>(chain * queue.stretch);
        const TimePoint begin = job.occurrences().begin()->second.dueAt == TimePoint{}
                                    ? job.seenAt
                                    : job.occurrences().begin()->second.dueAt;
        entry.objective = begin + stretched + queue.latencyAllowance;
        entry.late = !job.longRunning() && now > entry.objective;
        queues[queue.pool].push_back(entry);
    }
    return queues;
}

void JobScheduler::placeTasks(TimePoint now)
{
    auto queues = queuesByPool(now);
    if (queues.empty())
        return;
    const auto workersByPool = candidatesByPool(now);
    for (auto &[pool, queue] : queues) {
        const auto found = workersByPool.find(pool);
        if (found == workersByPool.end())
            continue;
        const std::vector<Worker *> &workers = found->second;
        std::sort(queue.begin(), queue.end(), [](const auto &left, const auto &right) {
            return std::tie(left.priority, left.late, left.objective)
                   < std::tie(right.priority, right.late, right.objective);
        });
        for (const PoolQueueEntry &entry : queue) {
            for (auto &[number, occurrence] : entry.job->occurrences()) {
                for (unsigned step = 0; step < occurrence.steps.size(); ++step)
                    placeStep(now, *entry.job, number, step, workers);
            }
        }
    }
}

bool JobScheduler::acceptsRuns(TimePoint now, const Worker &worker)
{
    const bool probing
        = worker.failedRunsInSuccession >= failuresBeforeProbing && !worker.runs.empty();
    return worker.listed && worker.seen && worker.clockKnown() && worker.failedLooks == 0
           && !worker.reserved && !worker.description.draining && !worker.hasForeignRuns()
           && now >= worker.avoidUntil && !probing;
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

bool JobScheduler::canTake(const StepSpecification &step, const PlacementCandidate &place) const
{
    if (!fitsInto(reservedSize(step), place.worker->free()) && !m_hooks.defects.ignoreCapacity)
        return false;
    return step.maximumPerWorker == 0 || place.runsOfStep < step.maximumPerWorker;
}

std::vector<PlacementCandidate> JobScheduler::placesFor(const Job &job, const TaskName &name,
                                                        const std::vector<Worker *> &workers) const
{
    const StepSpecification &step = job.step(name.step);
    const auto active = job.activeByWorker(name.occurrence, name.step);
    std::vector<PlacementCandidate> places;
    for (Worker *worker : workers) {
        if (!step.requiredLabel.empty() && !worker->hasLabel(step.requiredLabel))
            continue;
        const auto runs = active.find(worker->description.id);
        const PlacementCandidate place{worker, runs == active.end() ? 0 : runs->second};
        if (canTake(step, place))
            places.push_back(place);
    }
    return places;
}

std::vector<Worker *> JobScheduler::advised(TimePoint now, const Job &job, const TaskName &step,
                                            const std::vector<Worker *> &workers)
{
    if (queueOf(job).adviceValidity.count() == 0 || !m_hooks.orders.advise)
        return workers;
    StepAdvice &advice = m_advice[step];
    std::vector<std::string> usable;
    std::vector<Worker *> allowed;
    for (Worker *worker : workers) {
        usable.push_back(worker->description.id);
        if (advice.ticket(worker->description.id, now))
            allowed.push_back(worker);
    }
    const std::vector<std::string> unknown = advice.toAsk(usable, now);
    if (!unknown.empty()) {
        advice.asked();
        m_hooks.orders.advise({step, unknown});
    }
    return allowed;
}

void JobScheduler::placeStep(TimePoint now, Job &job, unsigned occurrence, unsigned step,
                             const std::vector<Worker *> &usable)
{
    Job::Step &state = job.occurrences().at(occurrence).steps[step];
    if (state.ready == 0)
        return;
    const TaskName first{job.id(), occurrence, step, 0};
    const std::vector<Worker *> workers = advised(now, job, first, usable);
    if (job.step(step).gang)
        return placeGang(now, job, occurrence, step, workers);
    // All tasks of the step are of one size, so that a run changes the places of its worker only.
    auto places = placesFor(job, first, workers);
    for (unsigned index = 0; index < state.tasks.size() && !places.empty(); ++index) {
        const Job::Task &task = state.tasks[index];
        if (task.phase != TaskPhase::Ready)
            continue;
        const auto chosen = choosePlace(job.step(step), task, places);
        assign(now, job, {job.id(), occurrence, step, index}, task.run + 1, *chosen->worker);
        ++chosen->runsOfStep;
        if (!canTake(job.step(step), *chosen))
            places.erase(chosen);
    }
}

std::vector<PlacementCandidate>::iterator
JobScheduler::choosePlace(const StepSpecification &step, const Job::Task &task,
                          std::vector<PlacementCandidate> &places) const
{
    if (task.avoidedWorker.empty() || places.size() == 1)
        return places.begin() + static_cast<std::ptrdiff_t>(m_placement->choose(step, places));
    auto others = places;
    std::erase_if(others, [&](const PlacementCandidate &place) {
        return place.worker->description.id == task.avoidedWorker;
    });
    const Worker *worker = others[m_placement->choose(step, others)].worker;
    return std::find_if(places.begin(), places.end(),
                        [&](const PlacementCandidate &place) { return place.worker == worker; });
}

void JobScheduler::placeGang(TimePoint now, Job &job, unsigned occurrence, unsigned step,
                             const std::vector<Worker *> &workers)
{
    Job::Step &state = job.occurrences().at(occurrence).steps[step];
    if (state.ready != state.tasks.size())
        return; // members of the last run have not ended
    const std::uint64_t run = job.nextGangRun(occurrence, step);
    std::vector<TaskName> placed;
    const std::string rack = gangRack(job, step, workers);
    for (unsigned index = 0; index < state.tasks.size(); ++index) {
        const TaskName name{job.id(), occurrence, step, index};
        auto places = placesFor(job, name, workers);
        if (!rack.empty()) {
            std::erase_if(places, [&](const PlacementCandidate &place) {
                return !place.worker->hasLabel(rack);
            });
        }
        if (places.empty())
            break;
        const std::size_t chosen = m_placement->choose(job.step(step), places);
        assign(now, job, name, run, *places[chosen].worker);
        placed.push_back(name);
    }
    if (placed.size() == state.tasks.size())
        return;
    for (const TaskName &name : placed) {
        const std::string worker = job.task(name)->worker;
        m_workers.at(worker).runs.remove({name, run});
        job.makeReady(name);
    }
}

std::string JobScheduler::gangRack(const Job &job, unsigned step,
                                   const std::vector<Worker *> &workers) const
{
    const StepSpecification &specification = job.step(step);
    if (!specification.sameRack)
        return {};
    // Number of members that each label's workers can take; racks are labels of workers.
    std::map<std::string, std::int64_t> places;
    for (const Worker *worker : workers) {
        const TaskSize free = worker->free();
        const TaskSize size = reservedSize(specification);
        std::int64_t count = specification.count;
        if (size.milliProcessors > 0)
            count = std::min(count, free.milliProcessors / size.milliProcessors);
        if (size.megabytes > 0)
            count = std::min(count, free.megabytes / size.megabytes);
        if (size.accelerators > 0)
            count = std::min(count, free.accelerators / size.accelerators);
        if (specification.maximumPerWorker > 0)
            count = std::min<std::int64_t>(count, specification.maximumPerWorker);
        for (const auto &label : worker->description.labels)
            places[label] += std::max<std::int64_t>(count, 0);
    }
    // The smallest label group that holds the gang: kinds span racks, so racks come first.
    std::string best;
    for (const auto &[label, count] : places) {
        if (count >= specification.count && (best.empty() || count < places[best]))
            best = label;
    }
    return best;
}

void JobScheduler::assign(TimePoint now, Job &job, const TaskName &name, std::uint64_t run,
                          Worker &worker)
{
    job.activate(name, run, worker.description.id, now);
    const RunName runName{name, run};
    worker.runs.add(runName, newRun(job.step(name.step), now));
    m_recording.emplace_back(worker.description.id, runName);
    touch(job);
    observe("run-placed", runName, worker.description.id);
}

unsigned JobScheduler::unavailableTasks(const Job &job, unsigned occurrence, unsigned step) const
{
    const auto &tasks = job.occurrences().at(occurrence).steps[step].tasks;
    unsigned unavailable = 0;
    for (unsigned index = 0; index < tasks.size(); ++index) {
        const Job::Task &task = tasks[index];
        const auto worker = m_workers.find(task.worker);
        const WorkerRun *run = nullptr;
        const bool reachable = worker != m_workers.end() && worker->second.failedLooks == 0;
        if (task.phase == TaskPhase::Active && reachable)
            run = worker->second.runs.find({{job.id(), occurrence, step, index}, task.run});
        if (run == nullptr || run->phase != RunPhase::Running || run->percent != 100)
            ++unavailable;
    }
    return unavailable;
}

void JobScheduler::evacuate(TimePoint now)
{
    // Stops leave the room of the candidates as it is, so one look at them serves all runs.
    const auto workersByPool = candidatesByPool(now);
    for (auto &[id, worker] : m_workers) {
        if (!worker.reserved && !worker.description.draining)
            continue;
        std::vector<RunName> names;
        for (const auto &[name, run] : worker.runs)
            names.push_back(name);
        for (const RunName &name : names) {
            const WorkerRun *run = worker.runs.find(name);
            if (run != nullptr && run->phase == RunPhase::Running && isCurrent(name, id))
                evacuateRun(now, worker, name, workersByPool);
        }
    }
}

void JobScheduler::evacuateRun(TimePoint now, Worker &worker, const RunName &name,
                               const WorkersByPool &workersByPool)
{
    const Job &job = *jobOf(name.task);
    const StepSpecification &step = job.step(name.task.step);
    if (!step.longRunning && !step.savesProgress)
        return; // it ends by itself, and a stop would lose its work
    const auto workers = workersByPool.find(queueOf(job).pool);
    if (workers == workersByPool.end() || placesFor(job, name.task, workers->second).empty())
        return; // it would only wait
    if (!step.longRunning) {
        observe("run-evacuated", name, worker.description.id);
        return stopRun(now, worker, name);
    }
    const unsigned allowed = std::max(1U, step.maximumUnavailable.value_or(1));
    const unsigned away = unavailableTasks(job, name.task.occurrence, name.task.step);
    const bool ownIsAway = worker.runs.find(name)->percent != 100;
    if (away - (ownIsAway ? 1 : 0) >= allowed)
        return;
    observe("run-evacuated", name, worker.description.id);
    stopRun(now, worker, name);
}

} // namespace Peridot::Jobs
