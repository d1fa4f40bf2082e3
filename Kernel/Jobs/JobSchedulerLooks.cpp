// Events from workers: answers to orders, ends of runs, and runs that are missing.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

Worker *JobScheduler::answeringWorker(TimePoint now, const std::string &id, const OrderReply &reply)
{
    if (reply.outcome == OrderOutcome::Fenced) {
        m_hooks.deposed();
        return nullptr;
    }
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return nullptr;
    Worker &worker = found->second;
    if (reply.outcome == OrderOutcome::OtherWorker) {
        endLife(now, worker, worker.description.startedAt);
        return nullptr;
    }
    if (reply.clock)
        worker.noteClock(*reply.clock, now);
    return &worker;
}

void JobScheduler::startFinished(TimePoint now, const StartOrder &order, const OrderReply &reply)
{
    observe("start-answered", order.run, order.worker,
            std::string(orderOutcomeNames.nameOf(reply.outcome)));
    Worker *answering = answeringWorker(now, order.worker, reply);
    WorkerRun *ordered = answering == nullptr ? nullptr : answering->runs.find(order.run);
    if (ordered == nullptr)
        return;
    Worker &worker = *answering;
    WorkerRun &run = *ordered;
    run.orderInFlight = false;
    switch (reply.outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::Superseded: // the next look shows what became of it
        run.confirmedAt = now;
        run.changedAt = now;
        if (run.phase == RunPhase::Starting)
            run.phase = RunPhase::Running;
        noteBegun(order.run.task);
        return;
    case OrderOutcome::Unknown:
        run.orderedBefore = true;
        run.nextAttempt = now + orderRetryPause;
        if (run.phase == RunPhase::Starting && run.attempts >= startAttempts)
            stopRun(now, worker, order.run);
        return;
    case OrderOutcome::NoPermit:
        m_advice[{order.run.task.job, order.run.task.occurrence, order.run.task.step, 0}].rejected(
            order.worker);
        break;
    default:
        worker.avoidUntil = now + refusedPause;
        break;
    }
    // A copy of the order without an answer may yet be carried out; a stop prevents it.
    if (run.orderedBefore)
        return stopRun(now, worker, order.run);
    dropRun(now, worker, order.run);
}

void JobScheduler::noteBegun(const TaskName &name)
{
    if (Job *job = jobOf(name))
        job->begun = true;
}

void JobScheduler::adviceFinished(TimePoint now, const AdviceRequest &request,
                                  const AdviceReply &reply)
{
    const Job *job = jobOf(request.step);
    const auto advice = m_advice.find(request.step);
    if (job != nullptr && advice != m_advice.end())
        advice->second.finished(now, request, reply, queueOf(*job).adviceValidity);
}

void JobScheduler::stopFinished(TimePoint now, const StopOrder &order, const OrderReply &reply)
{
    observe("stop-answered", order.run, order.worker,
            std::string(orderOutcomeNames.nameOf(reply.outcome)));
    Worker *worker = answeringWorker(now, order.worker, reply);
    WorkerRun *run = worker == nullptr ? nullptr : worker->runs.find(order.run);
    if (run == nullptr)
        return;
    run->orderInFlight = false;
    run->nextAttempt = now + orderRetryPause;
    if (reply.outcome != OrderOutcome::Accepted)
        return;
    run->stopAccepted = true;
    run->confirmedAt = now;
}

void JobScheduler::lookFinished(TimePoint now, const LookOrder &order, const LookReply &reply)
{
    const auto found = m_workers.find(order.worker);
    if (found != m_workers.end())
        found->second.lookInFlight = false;
    // The clock is noted below, when the life that answers is known.
    Worker *answering = answeringWorker(now, order.worker, {reply.outcome, std::nullopt});
    if (answering == nullptr)
        return;
    Worker &worker = *answering;
    if (reply.outcome != OrderOutcome::Accepted) {
        ++worker.failedLooks;
        const auto doublings = std::min(worker.failedLooks, 4U);
        worker.nextLook = now + std::min(shortestLookPause * (1 << doublings), longestLookPause);
        observe("look-failed", {}, order.worker,
                std::string(orderOutcomeNames.nameOf(reply.outcome)));
        return;
    }
    if (reply.startedAt != worker.description.startedAt) {
        // Answers of a former life may arrive after those of a later one.
        if (reply.startedAt < worker.description.startedAt)
            return;
        endLife(now, worker, reply.startedAt);
    }
    worker.failedLooks = 0;
    worker.seen = true;
    worker.lastSeen = now;
    worker.nextLook = now;
    worker.acknowledgedEnds = std::max(worker.acknowledgedEnds, order.acknowledgedEnds);
    if (reply.clock)
        worker.noteClock(*reply.clock, now);
    for (const EndedRun &end : reply.ended)
        processEnd(now, worker, end);
    for (const ActiveRun &active : reply.active)
        processActive(now, worker, active);
    loseMissingRuns(now, worker, order, reply);
    paceFillers(now, worker);
}

void JobScheduler::endLife(TimePoint now, Worker &worker, std::int64_t nextLife)
{
    observe("worker-life-ended", {}, worker.description.id, std::to_string(nextLife));
    const auto runs = worker.runs.takeAll();
    const bool sameLife = nextLife == worker.description.startedAt;
    worker.beginLife(nextLife);
    if (sameLife) // another worker answers at the address
        worker.listed = false;
    for (const auto &[name, run] : runs)
        runOver(now, name, RunEnd::Lapsed, worker.description.id);
}

void JobScheduler::processEnd(TimePoint now, Worker &worker, const EndedRun &end)
{
    if (end.number <= worker.processedEnds)
        return;
    worker.processedEnds = end.number;
    observe("run-ended", end.run, worker.description.id, std::string(runEndNames.nameOf(end.how)));
    const auto ended = worker.runs.take(end.run);
    worker.foreignRuns.erase(end.run);
    if (end.how == RunEnd::Done)
        worker.failedRunsInSuccession = 0;
    Job *job = jobOf(end.run.task);
    if (job != nullptr && end.how == RunEnd::Done && ended)
        learnRuntime(now, *job, end.run, *ended);
    Job::Task *task = job == nullptr ? nullptr : job->task(end.run.task);
    if (task == nullptr || task->phase == TaskPhase::Done)
        return;
    job->begun = true;
    if (!end.saved.empty())
        task->saved = end.saved;
    touch(*job);
    if (end.how == RunEnd::Done && !job->step(end.run.task.step).longRunning)
        return completeTask(now, *job, end.run.task);
    if (end.how == RunEnd::Failed)
        return taskFailed(now, *job, end.run, worker);
    runOver(now, end.run, end.how, worker.description.id);
}

void JobScheduler::learnRuntime(TimePoint now, const Job &job, const RunName &run,
                                const WorkerRun &ended)
{
    const StepSpecification &step = job.step(run.task.step);
    if (step.longRunning || step.estimatedRuntime.count() == 0 || !ended.confirmedAt)
        return;
    m_runtimes[job.submitted().queue.name].learn(step.estimatedRuntime, now - *ended.confirmedAt);
}

void JobScheduler::completeTask(TimePoint now, Job &job, const TaskName &name)
{
    // Runs of other members of the gang, or a later run of the task, are stopped.
    const auto &tasks = job.occurrences().at(name.occurrence).steps[name.step].tasks;
    for (unsigned index = 0; index < tasks.size(); ++index) {
        const bool completed = index == name.index || job.step(name.step).gang;
        if (!completed || tasks[index].phase != TaskPhase::Active)
            continue;
        TaskName other = name;
        other.index = index;
        const auto worker = m_workers.find(tasks[index].worker);
        if (worker != m_workers.end())
            stopRun(now, worker->second, {other, tasks[index].run});
    }
    job.complete(name);
    if (job.allDone())
        finishJob(now, job, JobPhase::Completed);
}

void JobScheduler::taskFailed(TimePoint now, Job &job, const RunName &run, Worker &worker)
{
    ++worker.failedRunsInSuccession;
    if (worker.failedRunsInSuccession >= failuresBeforeProbing)
        worker.avoidUntil = now + probePause;
    job.task(run.task)->avoidedWorker = worker.description.id;
    const unsigned failures = job.countFailure(run.task, run.run);
    const bool limited = !job.step(run.task.step).longRunning;
    if (limited && failures >= queueOf(job).maximumAttempts)
        return finishJob(now, job, JobPhase::Failed);
    runOver(now, run, RunEnd::Failed, worker.description.id);
}

void JobScheduler::runOver(TimePoint now, const RunName &run, RunEnd how, const std::string &worker)
{
    if (!isCurrent(run, worker))
        return;
    Job &job = *jobOf(run.task);
    observe("run-over", run, worker, std::string(runEndNames.nameOf(how)));
    job.makeReady(run.task);
    touch(job);
    if (job.step(run.task.step).gang)
        stopGang(now, job, run);
}

void JobScheduler::stopGang(TimePoint now, Job &job, const RunName &run)
{
    const auto &tasks = job.occurrences().at(run.task.occurrence).steps[run.task.step].tasks;
    for (unsigned index = 0; index < tasks.size(); ++index) {
        if (tasks[index].phase != TaskPhase::Active || tasks[index].run != run.run)
            continue;
        TaskName member = run.task;
        member.index = index;
        const std::string workerId = tasks[index].worker;
        const auto worker = m_workers.find(workerId);
        if (worker == m_workers.end())
            continue;
        const WorkerRun *entry = worker->second.runs.find({member, run.run});
        const bool recording = entry != nullptr && entry->phase == RunPhase::Recording;
        stopRun(now, worker->second, {member, run.run});
        if (recording)
            job.makeReady(member);
    }
}

void JobScheduler::dropRun(TimePoint now, Worker &worker, const RunName &name)
{
    worker.runs.remove(name);
    runOver(now, name, RunEnd::Stopped, worker.description.id);
}

void JobScheduler::processActive(TimePoint now, Worker &worker, const ActiveRun &active)
{
    WorkerRun *found = worker.runs.find(active.run);
    if (found == nullptr) {
        if (worker.foreignRuns.emplace(active.run, TimePoint{}).second)
            observe("foreign-run", active.run, worker.description.id);
        return;
    }
    WorkerRun &run = *found;
    if (run.percent != active.percent)
        run.changedAt = now;
    run.percent = active.percent;
    if (active.usage)
        run.latency = std::chrono::milliseconds(*active.usage);
    if (!active.saved.empty()) {
        Job *job = jobOf(active.run.task);
        if (Job::Task *task = job == nullptr ? nullptr : job->task(active.run.task))
            task->saved = active.saved;
    }
    if (run.phase == RunPhase::Starting && run.orderedBefore) {
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
        noteBegun(active.run.task);
    }
}

void JobScheduler::loseMissingRuns(TimePoint now, Worker &worker, const LookOrder &order,
                                   const LookReply &reply)
{
    const auto listed = [&](const RunName &name) {
        return std::any_of(reply.active.begin(), reply.active.end(),
                           [&](const ActiveRun &active) { return active.run == name; });
    };
    std::erase_if(worker.foreignRuns, [&](const auto &entry) { return !listed(entry.first); });
    if (reply.ended.size() >= endsPerLook)
        return; // the end of a missing run may be in a later answer
    std::vector<RunName> missing;
    for (const auto &[name, run] : worker.runs) {
        const bool known = run.confirmedAt && *run.confirmedAt <= order.sentAt;
        // A copy of the start without an answer may come yet, unless a stop prevents it.
        const bool mayCome = run.orderInFlight && run.phase != RunPhase::Stopping;
        if (known && !mayCome && !listed(name))
            missing.push_back(name);
    }
    for (const RunName &name : missing) {
        observe("run-missing", name, worker.description.id);
        dropRun(now, worker, name);
    }
}

void JobScheduler::writeOffExpired(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        const bool unreachable = worker.failedLooks > 0;
        const bool ended = now > worker.leasesEnd()
                           || (m_hooks.defects.ignoreLeasesOfUnreachableWorkers && unreachable);
        if (worker.runs.empty() || !ended)
            continue;
        std::vector<RunName> over;
        for (const auto &[name, run] : worker.runs) {
            if (run.phase != RunPhase::Recording)
                over.push_back(name);
        }
        if (over.empty())
            continue;
        observe("worker-leases-over", {}, id, std::to_string(over.size()));
        worker.seen = false;
        for (const RunName &name : over)
            dropRun(now, worker, name);
    }
}

void JobScheduler::restartStalled(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        std::vector<RunName> stalled;
        for (const auto &[name, run] : worker.runs) {
            if (run.phase != RunPhase::Running || run.pace < 100 || worker.failedLooks > 0
                || !isCurrent(name, id))
                continue;
            const StepSpecification &step = jobOf(name.task)->step(name.task.step);
            const Duration limit
                = std::max<Duration>(stallLimit, step.estimatedRuntime * stallEstimates);
            const bool atWork = step.longRunning && run.percent == 100;
            if (!atWork && !step.fills && now - run.changedAt > limit)
                stalled.push_back(name);
        }
        for (const RunName &name : stalled) {
            observe("run-stalled", name, id);
            jobOf(name.task)->task(name.task)->avoidedWorker = id;
            worker.avoidUntil = now + probePause;
            stopRun(now, worker, name);
        }
    }
}

} // namespace Peridot::Jobs
