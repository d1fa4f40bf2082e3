// Orders to workers, and the transactions that store job progress before orders are sent.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <iterator>
#include <utility>

namespace Peridot::Jobs {

std::optional<Transaction> JobScheduler::takeTransaction(TimePoint now)
{
    if (m_flush || now < m_nextFlush)
        return std::nullopt;
    Flush flush;
    std::size_t bytes = 0;
    for (const auto &id : m_dirty) {
        if (flush.jobs.size() >= maximumJobsPerTransaction || bytes >= transactionBytes)
            break;
        flush.jobs.push_back(id);
        flush.rows.push_back(encodeJobProgress(m_jobs.at(id).progress(now)));
        bytes += flush.rows.back().size();
    }
    for (const auto &id : flush.jobs)
        m_dirty.erase(id);
    // Ended runs count as stored only with a transaction that writes all changed jobs.
    if (m_dirty.empty()) {
        for (const auto &[id, worker] : m_workers) {
            if (worker.processedEnds > worker.durableEnds)
                flush.ends.push_back({id, worker.description.startedAt, worker.processedEnds});
        }
    }
    if (now >= m_nextExpiry)
        flush.expired = expiredJobs(now);
    if (flush.jobs.empty() && flush.expired.empty()) {
        applyDurableEnds(flush);
        return std::nullopt;
    }
    const auto firstIncluded
        = std::stable_partition(m_recording.begin(), m_recording.end(), [&](const auto &entry) {
              return std::find(flush.jobs.begin(), flush.jobs.end(), entry.second.task.job)
                     == flush.jobs.end();
          });
    flush.starts.assign(firstIncluded, m_recording.end());
    m_recording.erase(firstIncluded, m_recording.end());
    Transaction transaction = makeTransaction(flush, now);
    m_flush = std::move(flush);
    return transaction;
}

std::vector<std::string> JobScheduler::expiredJobs(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto &[id, until] : m_retained) {
        if (now >= until && expired.size() < maximumJobsPerTransaction)
            expired.push_back(id);
    }
    // Further expired rows are removed with the next transaction.
    m_nextExpiry = expired.size() < maximumJobsPerTransaction ? now + expiryPeriod : now;
    return expired;
}

Transaction JobScheduler::makeTransaction(const Flush &flush, TimePoint now) const
{
    Transaction transaction;
    transaction.operationId = "scheduler/" + std::to_string(m_epoch) + '/'
                              + std::to_string(now.time_since_epoch().count());
    transaction.checks.push_back({std::string(progressEpochKey), m_epochRowVersion});
    for (std::size_t index = 0; index < flush.jobs.size(); ++index) {
        const std::string key = progressKey(flush.jobs[index]);
        transaction.checks.push_back({key, m_jobs.at(flush.jobs[index]).rowVersion});
        transaction.writes.push_back({key, flush.rows[index]});
    }
    for (const auto &id : flush.expired)
        transaction.writes.push_back({progressKey(id), std::nullopt});
    return transaction;
}

void JobScheduler::transactionFinished(TimePoint now, const CommitResult &result)
{
    const Flush flush = *std::exchange(m_flush, std::nullopt);
    if (result.status == CommitStatus::Committed)
        return handleCommit(now, flush, result.revision);
    m_dirty.insert(flush.jobs.begin(), flush.jobs.end());
    m_recording.insert(m_recording.end(), flush.starts.begin(), flush.starts.end());
    if (result.status != CommitStatus::Conflict) {
        m_nextFlush = now + transactionRetryDelay;
        return;
    }
    const auto &conflicts = result.conflicts;
    if (std::find(conflicts.begin(), conflicts.end(), progressEpochKey) != conflicts.end())
        return m_hooks.fenced();
    // Otherwise, an earlier transaction of this scheduler took effect, but its answer was lost.
    // Only the versions of its rows are new.
    for (const Row &row : result.currentRows) {
        if (!row.key.starts_with(progressPrefix))
            continue;
        const auto job = m_jobs.find(row.key.substr(progressPrefix.size()));
        if (job != m_jobs.end())
            job->second.rowVersion = row.version;
    }
}

void JobScheduler::handleCommit(TimePoint now, const Flush &flush, Version revision)
{
    for (const auto &id : flush.jobs) {
        Job &job = m_jobs.at(id);
        job.rowVersion = revision;
        // A job that finished while this transaction was in flight is written once more.
        if (!isFinished(job.phase()) || m_dirty.contains(id))
            continue;
        retainJob(now, id, now);
        std::erase_if(m_advice, [&](const auto &entry) { return entry.first.job == id; });
        m_jobs.erase(id);
    }
    for (const auto &id : flush.expired) {
        m_retained.erase(id);
        cleanupOf(now, id).writes.push_back({finishedKey(id), std::nullopt});
    }
    applyDurableEnds(flush);
    for (const auto &[workerId, name] : flush.starts) {
        const auto worker = m_workers.find(workerId);
        if (worker == m_workers.end())
            continue;
        WorkerRun *run = worker->second.runs.find(name);
        if (run == nullptr || run->phase != RunPhase::Recording)
            continue;
        run->phase = RunPhase::Starting;
        run->nextOrderAt = now;
    }
    sendDueOrders(now);
}

void JobScheduler::retainJob(TimePoint now, const std::string &id, TimePoint finishedAt)
{
    m_retained.emplace(id, finishedAt + m_timing.statusRetention);
    auto &writes = cleanupOf(now, id).writes;
    writes.push_back({jobKey(id), std::nullopt});
    writes.push_back({cancellationKey(id), std::nullopt});
    writes.push_back({finishedKey(id), "{}"});
}

JobScheduler::Cleanup &JobScheduler::cleanupOf(TimePoint now, const std::string &job)
{
    Cleanup &cleanup = m_cleanups[jobPartition(job)];
    if (cleanup.writes.empty())
        cleanup.since = now;
    return cleanup;
}

std::optional<Transaction> JobScheduler::takeCleanup(TimePoint now)
{
    if (m_cleanupInFlight || now < m_nextCleanup)
        return std::nullopt;
    const auto oldest = std::min_element(
        m_cleanups.begin(), m_cleanups.end(), [](const Cleanup &left, const Cleanup &right) {
            return std::make_pair(left.writes.empty(), left.since)
                   < std::make_pair(right.writes.empty(), right.since);
        });
    if (oldest->writes.empty() || now < oldest->since + cleanupDelay)
        return std::nullopt;
    m_cleanupInFlight = static_cast<unsigned>(oldest - m_cleanups.begin());
    const std::size_t count = std::min(oldest->writes.size(), writesPerCleanup);
    const auto end = oldest->writes.begin() + static_cast<std::ptrdiff_t>(count);
    m_cleanupWrites.assign(std::make_move_iterator(oldest->writes.begin()),
                           std::make_move_iterator(end));
    oldest->writes.erase(oldest->writes.begin(), end);
    Transaction transaction;
    transaction.operationId = "cleanup/" + std::to_string(m_epoch) + '/'
                              + std::to_string(now.time_since_epoch().count());
    transaction.writes = m_cleanupWrites;
    return transaction;
}

void JobScheduler::cleanupFinished(TimePoint now, const CommitResult &result)
{
    Cleanup &cleanup = m_cleanups[*std::exchange(m_cleanupInFlight, std::nullopt)];
    if (result.status == CommitStatus::Committed)
        return;
    // The writes may be repeated: they concern finished jobs, whose rows nobody else writes.
    cleanup.writes.insert(cleanup.writes.begin(), m_cleanupWrites.begin(), m_cleanupWrites.end());
    m_nextCleanup = now + cleanupDelay;
}

void JobScheduler::applyDurableEnds(const Flush &flush)
{
    for (const auto &[id, incarnation, highestNumber] : flush.ends) {
        const auto worker = m_workers.find(id);
        // A new incarnation of the worker numbers its ended runs from 1 again.
        if (worker != m_workers.end() && worker->second.description.startedAt == incarnation)
            worker->second.durableEnds = std::max(worker->second.durableEnds, highestNumber);
    }
}

void JobScheduler::sendDueOrders(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        if (worker.description.address.empty())
            continue; // known from a job row only, not from the list
        for (auto &[name, run] : worker.runs) {
            if (run.orderInFlight || now < run.nextOrderAt)
                continue;
            if (m_hooks.defects.startBeforeRecording && run.phase == RunPhase::Recording)
                run.phase = RunPhase::Starting;
            if (run.phase == RunPhase::Starting)
                sendStart(now, worker, name, run);
            else if (run.phase == RunPhase::Stopping && !run.stopAccepted)
                sendStop(now, worker, name, run);
        }
        for (auto &[name, nextStop] : worker.orphanedRuns) {
            if (now < nextStop)
                continue;
            nextStop = now + m_timing.stopLimit;
            m_hooks.orders.stop({id, worker.description.startedAt, name, m_epoch});
        }
        if (needsPoll(worker) && !worker.pollInFlight && now >= worker.nextPoll)
            sendPoll(now, worker);
    }
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
    const auto advice = m_advice.find({name.task.job, name.task.occurrence, name.task.step, 0});
    if (advice != m_advice.end())
        order.ticket = advice->second.ticket(order.worker, now).value_or(std::string());
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
    const bool mayWait = worker.contacted && !hasUnwrittenEnds && !worker.nextPollDecidesRuns();
    if (mayWait && !worker.runs.empty())
        order.wait = worker.hasBestEffortBesideServing() ? latencyPollWait : pollWait;
    // After a failed poll, the lease is not extended: its end is the time from which the tasks can
    // be placed on other workers.
    if (worker.clockKnown() && worker.failedPolls == 0)
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
