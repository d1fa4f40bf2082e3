// Orders to workers.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

void JobScheduler::sendDueOrders(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        if (worker.description.address.empty())
            continue; // known from a job row only, not from the list
        if (worker.runs.mayHaveChanged())
            sendDueOrdersOf(now, worker);
        for (auto &[name, nextStop] : worker.orphanedRuns) {
            if (now < nextStop)
                continue;
            nextStop = now + m_timing.stopLimit;
            m_hooks.orders.stop({id, worker.description.startedAt, name, m_epoch});
        }
        sendPollIfDue(now, worker);
    }
}

void JobScheduler::sendDueOrdersOf(TimePoint now, Worker &worker)
{
    bool anyDueLater = false;
    for (auto &[name, run] : worker.runs) {
        if (m_hooks.defects.startBeforeRecording && run.phase == RunPhase::Recording)
            run.phase = RunPhase::Starting;
        const bool isOrdered = run.phase == RunPhase::Starting
                               || (run.phase == RunPhase::Stopping && !run.stopAccepted);
        if (!isOrdered)
            continue;
        if (!run.orderInFlight && now >= run.nextOrderAt) {
            if (run.phase == RunPhase::Starting)
                sendStart(now, worker, name, run);
            else
                sendStop(now, worker, name, run);
        }
        // The answer to an order in flight changes the run.
        anyDueLater |= !run.orderInFlight;
    }
    if (!anyDueLater)
        worker.runs.settle();
}

void JobScheduler::sendDuePolls(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        if (!worker.description.address.empty())
            sendPollIfDue(now, worker);
    }
}

void JobScheduler::sendPollIfDue(TimePoint now, Worker &worker)
{
    const bool mayPoll = !worker.pollInFlight || answerIsLate(now, worker);
    if (!mayPoll || now < worker.nextPoll || !needsPoll(worker))
        return;
    const bool mayPause
        = worker.contacted && worker.failedPolls == 0 && now < worker.lastPoll + m_pollPause;
    if (!mayPause || worker.nextPollDecidesRuns())
        sendPoll(now, worker);
}

bool JobScheduler::answerIsLate(TimePoint now, const Worker &worker)
{
    return worker.contacted && worker.failedPolls == 0 && !worker.runs.empty()
           && now >= worker.lastPoll + lateAnswerAge;
}

void JobScheduler::sendStart(TimePoint now, Worker &worker, const RunName &name, WorkerRun &run)
{
    Job *job = jobOf(name.task);
    if (job == nullptr || !isCurrentRun(name, worker.description.id))
        return;
    StartOrder order;
    order.worker = worker.description.id;
    order.incarnation = worker.description.startedAt;
    order.run = name;
    order.payload = job->submitted().specification.payload;
    order.checkpoint = checkpointOf(*job, name.task);
    order.leaseEnd = worker.extendLease(now, m_timing.workerLease);
    order.fencingEpoch = m_epoch;
    order.ticket = m_advice.ticket(name.task, order.worker, now).value_or(std::string());
    run.orderInFlight = true;
    ++run.ordersSent;
    m_hooks.orders.start(order);
}

std::string JobScheduler::checkpointOf(Job &job, const TaskName &name)
{
    if (!job.step(name.step).gang)
        return job.task(name)->checkpoint;
    // A checkpoint of any member is valid for the gang, and all members must resume from the
    // same one.
    TaskName gangMember = name;
    for (gangMember.index = 0; gangMember.index < job.step(name.step).count; ++gangMember.index) {
        if (!job.task(gangMember)->checkpoint.empty())
            return job.task(gangMember)->checkpoint;
    }
    return {};
}

void JobScheduler::sendStop(TimePoint now, Worker &worker, const RunName &name, WorkerRun &run)
{
    run.orderInFlight = true;
    run.nextOrderAt = now + orderRetryDelay;
    ++run.ordersSent;
    m_hooks.orders.stop({worker.description.id, worker.description.startedAt, name, m_epoch});
}

bool JobScheduler::needsPoll(const Worker &worker)
{
    const bool known = worker.listed || !worker.runs.empty();
    return known
           && (!worker.contacted || !worker.runs.empty() || !worker.orphanedRuns.empty()
               || worker.durableEnds > worker.acknowledgedEnds);
}

void JobScheduler::sendPoll(TimePoint now, Worker &worker)
{
    PollOrder order;
    order.worker = worker.description.id;
    order.incarnation = worker.description.startedAt;
    order.fencingEpoch = m_epoch;
    // The numbers of ended runs belong to one incarnation, so that none is sent when a later one
    // may get it.
    const std::uint64_t storedEnds
        = m_hooks.defects.acknowledgeEndsBeforeWriting ? worker.processedEnds : worker.durableEnds;
    const bool isKnownIncarnation = worker.contacted && worker.failedPolls == 0;
    if (isKnownIncarnation && storedEnds > worker.acknowledgedEnds)
        order.acknowledgedEnds = storedEnds;
    order.sentAt = now;
    const bool hasUnwrittenEnds = worker.processedEnds > worker.durableEnds;
    if (hasUnwrittenEnds && now < worker.lastPoll + unwrittenEndsPollInterval)
        return;
    // A poll after a failed one does not extend the lease, so that the next one must follow soon.
    const bool mayWait = worker.contacted && worker.failedPolls == 0 && !hasUnwrittenEnds
                         && !worker.nextPollDecidesRuns();
    if (mayWait && !worker.runs.empty())
        order.wait = worker.hasBestEffortBesideServing() ? latencyPollWait : pollWait;
    // After a failed poll, and when no order arrives, the lease is not extended: its end is the
    // time from which the tasks can be placed on other workers.
    if (worker.clockKnown() && worker.failedPolls == 0 && !worker.receivesNoOrders(now))
        order.leaseEnd = worker.extendLease(now, m_timing.workerLease);
    worker.pollInFlight = true;
    worker.lastPoll = now;
    m_hooks.orders.poll(order);
}

void JobScheduler::throttleBestEffortRuns(TimePoint now, Worker &worker)
{
    if (!worker.hasBestEffortBesideServing())
        return;
    const bool overTarget
        = std::any_of(worker.runs.begin(), worker.runs.end(),
                      [](const auto &entry) { return entry.second.isOverTarget(); });
    const bool nearTarget
        = std::any_of(worker.runs.begin(), worker.runs.end(),
                      [](const auto &entry) { return entry.second.isNearTarget(); });
    for (auto &[name, run] : worker.runs) {
        if (!run.bestEffort || run.phase != RunPhase::Running || now < run.nextThrottle)
            continue;
        unsigned percent = run.throttlePercent;
        if (overTarget)
            percent
                = run.throttlePercent / 2 < minimumThrottlePercent ? 0 : run.throttlePercent / 2;
        else if (!nearTarget)
            percent = std::min(100U, run.throttlePercent + throttleStep);
        if (percent != run.throttlePercent || !run.throttleConfirmed)
            sendThrottle(now, worker, name, run, percent);
    }
}

void JobScheduler::sendThrottle(TimePoint now, Worker &worker, const RunName &name, WorkerRun &run,
                                unsigned percent)
{
    observe("run-paced", name, worker.description.id, std::to_string(percent));
    run.throttlePercent = percent;
    run.throttleConfirmed = false;
    run.nextThrottle = now + throttleInterval;
    m_hooks.orders.throttle(
        {worker.description.id, worker.description.startedAt, name, percent, m_epoch});
}

void JobScheduler::throttleFinished(TimePoint now, const ThrottleOrder &order,
                                    const OrderReply &reply)
{
    Worker *worker = answeringWorker(now, order.worker, order.incarnation, reply);
    if (worker == nullptr || order.incarnation != worker->description.startedAt)
        return;
    WorkerRun *run = worker->runs.find(order.run);
    if (run == nullptr || run->throttlePercent != order.percent)
        return;
    // A failed order may have taken effect. Until one is accepted, each poll sends another.
    run->throttleConfirmed = reply.outcome == OrderOutcome::Accepted;
    if (!run->throttleConfirmed)
        run->nextThrottle = now;
}

} // namespace Peridot::Jobs
