// Restarts of workers under their ids: which runs a new incarnation has, and which have ended.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

bool JobScheduler::checkIncarnation(TimePoint now, Worker &worker, const PollOrder &order,
                                    const PollReply &reply)
{
    if (reply.startedAt < worker.description.startedAt) {
        // Replies of an earlier incarnation may arrive after those of a later one. When only the
        // list has shown the later one, a poll that was sent after it proves the list wrong.
        if (worker.incarnationReported || order.sentAt < worker.incarnationListedAt)
            return false;
        observe("worker-entry-refuted", {}, worker.description.id,
                std::to_string(worker.description.startedAt));
        worker.refutedIncarnation = worker.description.startedAt;
        worker.description.startedAt = reply.startedAt;
    }
    if (reply.startedAt > worker.description.startedAt)
        beginIncarnation(now, worker, reply.startedAt);
    worker.incarnationReported = true;
    if (worker.announcedIncarnation != 0 && order.sentAt >= worker.announcedAt) {
        observe("worker-entry-refuted", {}, worker.description.id,
                std::to_string(worker.announcedIncarnation));
        worker.refutedIncarnation = std::exchange(worker.announcedIncarnation, 0);
    }
    return true;
}

void JobScheduler::beginIncarnation(TimePoint now, Worker &worker, std::int64_t startedAt)
{
    observe("worker-life-ended", {}, worker.description.id, std::to_string(startedAt));
    worker.beginIncarnation(startedAt, now + longestLease());
    worker.pollAgain(now); // the poll in flight may wait for the end of a run
    std::vector<RunName> notOrdered;
    for (auto &[name, run] : worker.runs) {
        if (run.wasOrdered())
            carryOver(now, worker, name, run);
        else
            notOrdered.push_back(name);
    }
    for (const RunName &name : notOrdered)
        discardRun(now, worker, name);
}

void JobScheduler::carryOver(TimePoint now, Worker &worker, const RunName &name, WorkerRun &run)
{
    observe("run-in-doubt", name, worker.description.id,
            std::string(runPhaseNames.nameOf(run.phase)));
    run.fromEarlierIncarnation = true;
    run.earlierOrderUnanswered |= run.orderInFlight;
    run.orderInFlight = false;
    run.stopAccepted = false;
    run.nextOrderAt = now;
    run.throttlePercent = 100;
    run.throttleConfirmed = true;
    // The new incarnation may differ in kind, so that it is not sent the start order once more.
    if (run.phase == RunPhase::Starting)
        stopRun(now, worker, name);
}

void JobScheduler::removeWorker(TimePoint now, Worker &worker)
{
    observe("worker-life-ended", {}, worker.description.id,
            std::to_string(worker.description.startedAt));
    const auto runs = worker.runs.takeAll();
    worker.beginIncarnation(worker.description.startedAt, {});
    worker.listed = false;
    for (const auto &[name, run] : runs)
        requeueTask(now, name, RunOutcome::LeaseExpired, worker.description.id);
}

} // namespace Peridot::Jobs
