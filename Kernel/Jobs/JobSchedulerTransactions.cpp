// Transactions that store the progress of jobs before orders are sent, and that remove old rows.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <Kernel/Jobs/TransactionBuilder.h>
#include <algorithm>
#include <iterator>
#include <utility>

namespace Peridot::Jobs {

std::optional<Transaction> JobScheduler::takeTransaction(TimePoint now)
{
    if (m_flush || now < m_nextFlush)
        return std::nullopt;
    TransactionBuilder builder("scheduler/" + std::to_string(m_epoch) + '/'
                               + std::to_string(now.time_since_epoch().count()));
    builder.add({{std::string(progressEpochKey), m_epochRowVersion}}, {});
    Flush flush;
    addChangedJobs(now, builder, flush);
    addStoredEnds(flush);
    if (now >= m_nextExpiry && !mayBeRefused(flush))
        removeExpiredJobs(now, builder, flush);
    if (flush.jobs.empty() && flush.expired.empty()) {
        applyDurableEnds(flush);
        return std::nullopt;
    }
    takeRecordedStarts(flush);
    m_flush = std::move(flush);
    m_flushSentAt = now;
    return builder.take();
}

bool JobScheduler::hasFullTransaction() const
{
    return m_dirty.size() >= maximumJobsPerTransaction;
}

void JobScheduler::addChangedJobs(TimePoint now, TransactionBuilder &builder, Flush &flush)
{
    for (const auto &id : jobsToStore(now)) {
        Job &job = m_jobs.at(id);
        const std::string key = progressKey(id);
        JobProgress progress = job.progress(now);
        // Whoever may call a public queue may see its jobs.
        if (queueOf(job).isPublic)
            progress.organisation.clear();
        if (!builder.add({{key, job.rowVersion}}, {{key, encodeJobProgress(progress)}}))
            break;
        flush.jobs.push_back(id);
        job.writtenChanges = job.changes;
        m_dirty.erase(id);
    }
}

std::vector<std::string> JobScheduler::jobsToStore(TimePoint now) const
{
    const auto oldest = std::min_element(
        m_refusedJobs.begin(), m_refusedJobs.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    if (oldest != m_refusedJobs.end() && now >= std::max(oldest->second, m_nextRefusedRetry))
        return {oldest->first};
    if (!m_suspects.empty()) {
        const auto half = static_cast<std::ptrdiff_t>((m_suspects.size() + 1) / 2);
        return {m_suspects.begin(), std::next(m_suspects.begin(), half)};
    }
    std::vector<std::string> jobs;
    for (const auto &[change, id] : m_dirty.inOrder()) {
        if (jobs.size() == maximumJobsPerTransaction)
            break;
        if (!m_refusedJobs.contains(id))
            jobs.push_back(id);
    }
    return jobs;
}

bool JobScheduler::mayBeRefused(const Flush &flush) const
{
    return !m_suspects.empty()
           || (!flush.jobs.empty() && m_refusedJobs.contains(flush.jobs.front()));
}

void JobScheduler::addStoredEnds(Flush &flush) const
{
    const auto unstored = [this](const UnstoredEnd &end) {
        return isUnstored(end);
    };
    for (const auto &[id, worker] : m_workers) {
        const std::uint64_t number = worker.endsStoredUpTo(unstored);
        if (number > worker.durableEnds)
            flush.ends.push_back({id, worker.description.startedAt, number});
    }
}

bool JobScheduler::isUnstored(const UnstoredEnd &end) const
{
    const auto job = m_jobs.find(end.job);
    return job != m_jobs.end() && job->second.writtenChanges < end.change;
}

void JobScheduler::removeExpiredJobs(TimePoint now, TransactionBuilder &builder, Flush &flush)
{
    m_nextExpiry = now + expiryPeriod;
    for (const auto &[id, until] : m_retained) {
        // Without its progress, a job whose row still exists would be new to a successor.
        if (now < until || m_jobRowsToRemove.contains(jobKey(id)))
            continue;
        if (!builder.add({}, {{progressKey(id), std::nullopt}})) {
            m_nextExpiry = now; // the others are removed with the next transaction
            return;
        }
        flush.expired.push_back(id);
    }
}

void JobScheduler::takeRecordedStarts(Flush &flush)
{
    const std::set<std::string_view> included(flush.jobs.begin(), flush.jobs.end());
    const auto firstIncluded
        = std::stable_partition(m_recording.begin(), m_recording.end(), [&](const auto &entry) {
              return !included.contains(entry.second.task.job);
          });
    flush.starts.assign(firstIncluded, m_recording.end());
    m_recording.erase(firstIncluded, m_recording.end());
}

void JobScheduler::transactionFinished(TimePoint now, const CommitResult &result)
{
    const Flush flush = *std::exchange(m_flush, std::nullopt);
    m_flushFailed
        = result.status == CommitStatus::Unavailable || result.status == CommitStatus::Unknown;
    if (result.status == CommitStatus::Committed)
        return handleCommit(now, flush, result.revision);
    for (const std::string &id : flush.jobs) {
        Job &job = m_jobs.at(id);
        job.writtenChanges = job.storedChanges;
        m_dirty.insert(id);
    }
    m_recording.insert(m_recording.end(), flush.starts.begin(), flush.starts.end());
    if (result.status == CommitStatus::Refused)
        return handleRefusal(now, flush);
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

void JobScheduler::handleRefusal(TimePoint now, const Flush &flush)
{
    m_nextFlush = now + transactionRetryDelay;
    const bool isSingleRow = flush.jobs.size() == 1 && flush.expired.empty();
    if (!isSingleRow) {
        m_suspects = {flush.jobs.begin(), flush.jobs.end()};
        m_nextExpiry = now + expiryPeriod;
        return;
    }
    const std::string &id = flush.jobs.front();
    m_suspects.clear();
    m_nextRefusedRetry = now + refusedRetryInterval;
    if (m_refusedJobs.insert_or_assign(id, now + refusedRowDelay).second)
        observe("row-refused", {{id, 0, 0, 0}, 0}, {});
    withdrawRecordedStarts(now, id);
}

void JobScheduler::withdrawRecordedStarts(TimePoint now, const std::string &job)
{
    const auto first
        = std::stable_partition(m_recording.begin(), m_recording.end(),
                                [&](const auto &entry) { return entry.second.task.job != job; });
    const std::vector<std::pair<std::string, RunName>> withdrawn(first, m_recording.end());
    m_recording.erase(first, m_recording.end());
    for (const auto &[workerId, name] : withdrawn) {
        const auto worker = m_workers.find(workerId);
        if (worker != m_workers.end())
            discardRun(now, worker->second, name);
    }
}

void JobScheduler::handleCommit(TimePoint now, const Flush &flush, Version revision)
{
    for (const auto &id : flush.jobs) {
        Job &job = m_jobs.at(id);
        job.rowVersion = revision;
        job.storedChanges = job.writtenChanges;
        m_suspects.erase(id);
        m_refusedJobs.erase(id);
        // A job that finished while this transaction was in flight is written once more.
        if (!isFinished(job.phase()) || m_dirty.contains(id))
            continue;
        retainJob(now, id, now);
        m_advice.removeJob(id);
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
        if (lacksTicket(now, name, workerId)) {
            observe("ticket-expired", name, workerId);
            discardRun(now, worker->second, name);
            continue;
        }
        run->phase = RunPhase::Starting;
        run->nextOrderAt = now;
        ++m_startedTasks[worker->second.description.pool];
    }
    sendDueOrders(now);
}

void JobScheduler::retainJob(TimePoint now, const std::string &id, TimePoint finishedAt)
{
    m_retained.emplace(id, finishedAt + m_timing.statusRetention);
    auto &writes = cleanupOf(now, id).writes;
    m_jobRowsToRemove.insert(jobKey(id));
    // The others may follow in a later transaction. Between them, a late copy of the submission
    // must find one of the rows.
    writes.push_back({finishedKey(id), "{}"});
    writes.push_back({jobKey(id), std::nullopt});
    writes.push_back({cancellationKey(id), std::nullopt});
}

JobScheduler::Cleanup &JobScheduler::cleanupOf(TimePoint now, const std::string &job)
{
    Cleanup &cleanup = m_cleanups[jobPartition(job)];
    if (cleanup.writes.empty())
        cleanup.since = now;
    return cleanup;
}

void JobScheduler::expireTombstones(TimePoint now)
{
    if (now < m_nextTombstoneExpiry)
        return;
    m_nextTombstoneExpiry = now + expiryPeriod;
    std::erase_if(m_tombstones, [&](const auto &tombstone) {
        const auto &[id, until] = tombstone;
        if (now < until)
            return false;
        cleanupOf(now, id).writes.push_back({tombstoneKey(id), std::nullopt});
        return true;
    });
}

std::optional<Transaction> JobScheduler::takeCleanup(TimePoint now)
{
    expireTombstones(now);
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
    TransactionBuilder builder("cleanup/" + std::to_string(m_epoch) + '/'
                               + std::to_string(now.time_since_epoch().count()));
    std::size_t count = 0;
    while (count < oldest->writes.size() && builder.add({}, {oldest->writes[count]}))
        ++count;
    const auto end = oldest->writes.begin() + static_cast<std::ptrdiff_t>(count);
    m_cleanupWrites.assign(std::make_move_iterator(oldest->writes.begin()),
                           std::make_move_iterator(end));
    oldest->writes.erase(oldest->writes.begin(), end);
    oldest->since = now - cleanupDelay; // what is left is due, after the other partitions
    return builder.take();
}

void JobScheduler::cleanupFinished(TimePoint now, const CommitResult &result)
{
    Cleanup &cleanup = m_cleanups[*std::exchange(m_cleanupInFlight, std::nullopt)];
    if (result.status == CommitStatus::Committed) {
        for (const RowWrite &write : m_cleanupWrites)
            m_jobRowsToRemove.erase(write.key);
        return;
    }
    // The writes may be repeated: they concern finished jobs, whose rows nobody else writes.
    cleanup.writes.insert(cleanup.writes.begin(), m_cleanupWrites.begin(), m_cleanupWrites.end());
    cleanup.since = now; // the other partitions come first
    m_nextCleanup = now + cleanupDelay;
}

void JobScheduler::applyDurableEnds(const Flush &flush)
{
    for (const auto &[id, incarnation, highestNumber] : flush.ends) {
        const auto worker = m_workers.find(id);
        // A new incarnation of the worker numbers its ended runs from 1 again.
        if (worker != m_workers.end() && worker->second.description.startedAt == incarnation)
            worker->second.markEndsStored(highestNumber);
    }
}

} // namespace Peridot::Jobs
