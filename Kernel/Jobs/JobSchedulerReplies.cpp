// Replies of workers to orders and polls: ended runs, active runs, and runs that are missing.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

Worker *JobScheduler::answeringWorker(TimePoint now, const std::string &id,
                                      std::int64_t incarnation, const OrderReply &reply)
{
    if (reply.outcome == OrderOutcome::Fenced) {
        m_hooks.fenced();
        return nullptr;
    }
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return nullptr;
    Worker &worker = found->second;
    if (incarnation != worker.description.startedAt)
        return &worker;
    if (reply.outcome == OrderOutcome::OtherWorker) {
        removeWorker(now, worker);
        return nullptr;
    }
    if (reply.clock)
        worker.updateClock(*reply.clock, now - reply.waited);
    return &worker;
}

void JobScheduler::extensionEnded(TimePoint now, const std::string &id,
                                  const LeaseExtension &extension, const OrderReply &reply)
{
    const auto worker = m_workers.find(id);
    if (worker != m_workers.end())
        worker->second.extensionEnded(now, extension, reply, m_timing.maximumWorkerLease);
}

void JobScheduler::orderEnded(TimePoint now, Worker &worker, OrderOutcome outcome) const
{
    const bool isAnswered = outcome != OrderOutcome::Unknown && outcome != OrderOutcome::NotSent;
    if (isAnswered)
        return worker.orderArrived();
    const bool wasQuarantined = isQuarantined(worker);
    worker.orderUnanswered(now);
    if (!wasQuarantined && isQuarantined(worker))
        observe("worker-quarantined", {}, worker.description.id, "unanswered-orders");
}

WorkerRun *JobScheduler::answeredRun(Worker *worker, const RunName &name, std::int64_t incarnation)
{
    WorkerRun *run = worker == nullptr ? nullptr : worker->runs.find(name);
    if (run == nullptr)
        return nullptr;
    run->orderInFlight = false;
    return incarnation == worker->description.startedAt ? run : nullptr;
}

void JobScheduler::startFinished(TimePoint now, const StartOrder &order, const OrderReply &reply)
{
    observe("start-answered", order.run, order.worker,
            std::string(orderOutcomeNames.nameOf(reply.outcome)));
    extensionEnded(now, order.worker, {order.incarnation, order.leaseEnd}, reply);
    Worker *answering = answeringWorker(now, order.worker, order.incarnation, reply);
    WorkerRun *orderedRun = answeredRun(answering, order.run, order.incarnation);
    if (orderedRun == nullptr)
        return;
    Worker &worker = *answering;
    WorkerRun &run = *orderedRun;
    orderEnded(now, worker, reply.outcome);
    switch (reply.outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::Superseded: // the next poll shows the state of the run
        run.confirmedAt = now;
        run.progressChangedAt = now;
        if (run.phase == RunPhase::Starting)
            run.phase = RunPhase::Running;
        markStarted(order.run.task);
        return;
    case OrderOutcome::Unknown:
        run.earlierOrderUnanswered = true;
        run.nextOrderAt = now + orderRetryDelay;
        if (run.phase == RunPhase::Starting && run.ordersSent >= maximumStartOrders)
            stopRun(now, worker, order.run);
        return;
    case OrderOutcome::TicketRejected:
        m_advice.ticketRejected(order.run.task, order.worker);
        break;
    default:
        worker.avoidUntil = now + refusalBackoff;
        break;
    }
    // An earlier copy of the order, which was not answered, may still be carried out. A stop order
    // prevents that.
    if (run.earlierOrderUnanswered)
        return stopRun(now, worker, order.run);
    discardRun(now, worker, order.run);
}

void JobScheduler::stopFinished(TimePoint now, const StopOrder &order, const OrderReply &reply)
{
    observe("stop-answered", order.run, order.worker,
            std::string(orderOutcomeNames.nameOf(reply.outcome)));
    Worker *worker = answeringWorker(now, order.worker, order.incarnation, reply);
    WorkerRun *run = answeredRun(worker, order.run, order.incarnation);
    if (run == nullptr)
        return;
    orderEnded(now, *worker, reply.outcome);
    run->nextOrderAt = now + stopRetryDelay(run->ordersSent);
    if (reply.outcome != OrderOutcome::Accepted)
        return;
    run->stopAccepted = true;
    run->confirmedAt = now;
    if (run->isDecidedByNextPoll())
        worker->pollAgain(now);
}

void JobScheduler::pollFinished(TimePoint now, const PollOrder &order, const PollReply &reply)
{
    const auto found = m_workers.find(order.worker);
    if (found != m_workers.end() && order.sentAt >= found->second.lastPoll)
        found->second.pollInFlight = false;
    if (order.leaseEnd)
        extensionEnded(now, order.worker, {order.incarnation, *order.leaseEnd},
                       {reply.outcome, reply.clock, reply.waited, reply.connectionAge});
    if (reply.outcome != OrderOutcome::Accepted)
        return pollFailed(now, order, reply.outcome);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    worker.nextPoll = now;
    if (!checkIncarnation(now, worker, order, reply))
        return;
    worker.confirmIncarnation(order.sentAt);
    worker.failedPolls = 0;
    if (!worker.contacted)
        worker.contactedSince = now;
    worker.contacted = worker.announcedIncarnation == 0;
    worker.lastContact = now;
    if (order.incarnation == reply.startedAt)
        worker.acknowledgedEnds = std::max(worker.acknowledgedEnds, order.acknowledgedEnds);
    if (reply.clock)
        worker.updateClock(*reply.clock, now - reply.waited);
    processEnds(now, worker, reply);
    for (const ActiveRun &active : reply.active)
        processActive(now, worker, active);
    discardMissingRuns(now, worker, order, reply);
    throttleBestEffortRuns(now, worker);
}

void JobScheduler::pollFailed(TimePoint now, const PollOrder &order, OrderOutcome outcome)
{
    Worker *worker = answeringWorker(now, order.worker, order.incarnation, {outcome, std::nullopt});
    if (worker == nullptr || order.incarnation != worker->description.startedAt)
        return;
    ++worker->failedPolls;
    const auto doublings = std::min(worker->failedPolls, 4U);
    worker->nextPoll = now + std::min(initialPollBackoff * (1 << doublings), maximumPollBackoff);
    observe("look-failed", {}, order.worker, std::string(orderOutcomeNames.nameOf(outcome)));
}

void JobScheduler::processEnds(TimePoint now, Worker &worker, const PollReply &reply)
{
    // An end is acknowledged together with all before it, so that those after one that could not be
    // read wait for a reply in which it can.
    const std::size_t count = reply.endsBeforeUnreadable.value_or(reply.ended.size());
    for (std::size_t index = 0; index < count; ++index)
        processEnd(now, worker, reply.ended[index]);
    if (reply.unreadableEntries == 0)
        return;
    worker.nextPoll = now + unwrittenEndsPollInterval;
    observe("worker-reply-unreadable", {}, worker.description.id,
            std::to_string(reply.unreadableEntries));
}

void JobScheduler::processEnd(TimePoint now, Worker &worker, const EndedRun &end)
{
    if (end.number <= worker.processedEnds)
        return;
    worker.processedEnds = end.number;
    applyEnd(now, worker, end);
    const auto job = m_jobs.find(end.run.task.job);
    worker.unstoredEnds[end.number]
        = {end.run.task.job, job == m_jobs.end() ? 0 : job->second.changes};
}

void JobScheduler::applyEnd(TimePoint now, Worker &worker, const EndedRun &end)
{
    observe("run-ended", end.run, worker.description.id,
            std::string(runOutcomeNames.nameOf(end.outcome)));
    const auto endedRun = worker.runs.take(end.run);
    worker.orphanedRuns.erase(end.run);
    if (end.outcome == RunOutcome::Stopped)
        worker.orderArrived();
    if (end.outcome == RunOutcome::Done)
        clearFailures(worker);
    Job *job = jobOf(end.run.task);
    if (job != nullptr && end.outcome == RunOutcome::Done && endedRun)
        recordRuntime(now, *job, end.run, *endedRun);
    Job::Task *task = job == nullptr ? nullptr : job->task(end.run.task);
    if (task == nullptr || task->phase == TaskPhase::Done)
        return;
    job->started = true;
    if (!end.checkpoint.empty())
        task->checkpoint = end.checkpoint;
    markDirty(*job);
    if (end.outcome == RunOutcome::Done && !job->step(end.run.task.step).longRunning)
        return completeTask(now, *job, end.run.task);
    if (end.outcome == RunOutcome::Failed)
        return handleTaskFailure(now, *job, end.run, worker);
    requeueTask(now, end.run, end.outcome, worker.description.id);
}

void JobScheduler::recordRuntime(TimePoint now, const Job &job, const RunName &run,
                                 const WorkerRun &ended)
{
    const StepSpecification &step = job.step(run.task.step);
    if (step.longRunning || step.estimatedRuntime.count() == 0 || !ended.confirmedAt)
        return;
    m_runtimes[job.submitted().queue.name].addSample(step.estimatedRuntime,
                                                     now - *ended.confirmedAt);
}

void JobScheduler::completeTask(TimePoint now, Job &job, const TaskName &name)
{
    // Stops the runs of the other gang members, or a later run of the same task.
    const auto &tasks = job.occurrences().at(name.occurrence).steps[name.step].tasks;
    for (unsigned index = 0; index < tasks.size(); ++index) {
        const bool isCompleted = index == name.index || job.step(name.step).gang;
        if (!isCompleted || tasks[index].phase != TaskPhase::Active)
            continue;
        TaskName other = name;
        other.index = index;
        const auto worker = m_workers.find(tasks[index].worker);
        if (worker != m_workers.end())
            stopRun(now, worker->second, {other, tasks[index].run});
    }
    job.markSucceeded(name);
    job.complete(name);
    if (job.allDone())
        finishJob(now, job, JobPhase::Completed);
}

void JobScheduler::requeueTask(TimePoint now, const RunName &run, RunOutcome outcome,
                               const std::string &worker)
{
    if (!isCurrentRun(run, worker))
        return;
    Job &job = *jobOf(run.task);
    observe("run-over", run, worker, std::string(runOutcomeNames.nameOf(outcome)));
    job.makeReady(run.task);
    markDirty(job);
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

void JobScheduler::discardRun(TimePoint now, Worker &worker, const RunName &name)
{
    worker.runs.remove(name);
    requeueTask(now, name, RunOutcome::Stopped, worker.description.id);
}

void JobScheduler::processActive(TimePoint now, Worker &worker, const ActiveRun &active)
{
    WorkerRun *found = worker.runs.find(active.run);
    if (found == nullptr) {
        if (worker.orphanedRuns.emplace(active.run, TimePoint{}).second)
            observe("foreign-run", active.run, worker.description.id);
        return;
    }
    WorkerRun &run = *found;
    run.fromEarlierIncarnation = false;
    if (run.progressPercent != active.progressPercent) {
        run.progressChangedAt = now;
        run.progressPercent = active.progressPercent;
        if (active.progressPercent == 100)
            enteredService(worker, active.run.task);
    }
    if (active.latencyMilliseconds)
        run.latency = std::chrono::milliseconds(*active.latencyMilliseconds);
    if (!active.checkpoint.empty()) {
        Job *job = jobOf(active.run.task);
        if (Job::Task *task = job == nullptr ? nullptr : job->task(active.run.task))
            task->checkpoint = active.checkpoint;
    }
    if (run.phase == RunPhase::Starting && run.earlierOrderUnanswered) {
        worker.orderArrived();
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
        markStarted(active.run.task);
    }
}

void JobScheduler::discardMissingRuns(TimePoint now, Worker &worker, const PollOrder &order,
                                      const PollReply &reply)
{
    if (reply.unreadableEntries > 0)
        return;
    const auto listed = [&](const RunName &name) {
        return std::any_of(reply.active.begin(), reply.active.end(),
                           [&](const ActiveRun &active) { return active.run == name; });
    };
    std::erase_if(worker.orphanedRuns, [&](const auto &entry) { return !listed(entry.first); });
    if (reply.ended.size() >= maximumEndsPerPoll)
        return; // the reply is full: the end of a missing run may be in a later one
    std::vector<RunName> missing;
    for (const auto &[name, run] : worker.runs) {
        const bool wasConfirmed = run.confirmedAt && *run.confirmedAt <= order.sentAt;
        if (wasConfirmed && !listed(name))
            missing.push_back(name);
    }
    for (const RunName &name : missing) {
        const WorkerRun *run = worker.runs.find(name);
        if (run == nullptr)
            continue; // it has ended with another run of its gang
        if (!run->mayStillStart()) {
            observe("run-missing", name, worker.description.id);
            discardRun(now, worker, name);
        } else if (!run->orderInFlight) {
            stopRun(now, worker, name); // an accepted stop order prevents a later start
        }
    }
}

void JobScheduler::discardRunsOfExpiredLeases(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        const bool unreachable = worker.failedPolls > 0;
        const bool leasesExpired
            = now > worker.leasesEnd()
              || (m_hooks.defects.ignoreLeasesOfUnreachableWorkers && unreachable);
        if (worker.runs.empty() || !leasesExpired)
            continue;
        std::vector<RunName> expired;
        for (const auto &[name, run] : worker.runs) {
            if (run.phase != RunPhase::Recording)
                expired.push_back(name);
        }
        if (expired.empty())
            continue;
        observe("worker-leases-over", {}, id, std::to_string(expired.size()));
        worker.contacted = false;
        for (const RunName &name : expired)
            discardRun(now, worker, name);
    }
}

void JobScheduler::restartStalled(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        std::vector<RunName> stalled;
        for (const auto &[name, run] : std::as_const(worker.runs)) {
            // Only the time up to the latest report counts: a scheduler that was suspended has
            // not read the later ones yet.
            const Duration observedTime = worker.lastContact - run.progressChangedAt;
            if (observedTime <= stallLimit || run.phase != RunPhase::Running
                || run.throttlePercent < 100 || worker.failedPolls > 0 || !isCurrentRun(name, id))
                continue;
            const StepSpecification &step = jobOf(name.task)->step(name.task.step);
            const Duration limit
                = std::max<Duration>(stallLimit, step.estimatedRuntime * stallRuntimeFactor);
            const bool inService = step.longRunning && run.progressPercent == 100;
            if (!inService && !step.bestEffort && observedTime > limit)
                stalled.push_back(name);
        }
        for (const RunName &name : stalled) {
            observe("run-stalled", name, id);
            jobOf(name.task)->task(name.task)->avoidedWorker = id;
            worker.avoidUntil = now + stallBackoff;
            stopRun(now, worker, name);
        }
    }
}

} // namespace Peridot::Jobs
