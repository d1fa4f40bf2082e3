// Rows of jobs, their progress and cancellations, as the session passes them to the scheduler.

#include "SchedulerSession.h"

#include <LibBase/Log.h>
#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr std::size_t finishedJobsPerTick = 50;
// Events that must be in time are handled between two steps.
constexpr std::size_t rowsPerLoadingStep = 32;
// In an older list, a worker may have begun to drain since. The next one follows soon.
constexpr std::chrono::seconds latestWorkerList{1};

void logUnreadableRow(const std::string &key, const Error &error)
{
    logEvent(LogLevel::Error, "row-unreadable", {{"key", key}, {"error", describe(error)}});
}

} // namespace

void SchedulerSession::beginLoading()
{
    const TimePoint now = m_hooks.clock();
    m_scheduler = std::make_unique<JobScheduler>(m_epoch, m_progressEpochVersion, m_timing,
                                                 schedulerHooks(), now);
    if (m_configuration)
        m_scheduler->setConfiguration(m_configuration);
    m_loadedProgress = m_replica->takeProgress();
    m_loadedJobs = m_replica->takeJobs([this](const RowChange &change) {
        if (m_scheduling)
            return jobRowChanged(change);
        // A cancellation must not come before its job.
        m_changesWhileLoading.push_back(change);
    });
    loadNextJobs();
}

void SchedulerSession::loadNextJobs()
{
    if (m_fencedReported)
        return;
    for (std::size_t count = 0; count < rowsPerLoadingStep; ++count) {
        if (!m_loadedJobs.empty()) {
            jobRowChanged({m_loadedJobs.extract(m_loadedJobs.begin()).mapped(), false});
        } else if (!m_changesWhileLoading.empty()) {
            jobRowChanged(m_changesWhileLoading.front());
            m_changesWhileLoading.pop_front();
        } else {
            return loadingFinished();
        }
    }
    runInBackground([this] { loadNextJobs(); });
}

void SchedulerSession::loadingFinished()
{
    const TimePoint now = m_hooks.clock();
    logEvent(LogLevel::Info, "scheduling-began",
             {{"epoch", m_epoch},
              {"jobs", std::uint64_t{m_scheduler->jobs().size()}},
              {"progress_rows", std::uint64_t{m_loadedProgress.size()}},
              {"polled_workers", std::uint64_t{m_takeoverLeases->answered()}}});
    const TimePoint leasesEnd = m_takeoverLeases->leasesEnd();
    m_takeoverLeases.reset();
    m_scheduling = true;
    if (now < m_workersListedAt + latestWorkerList)
        m_scheduler->setWorkers(now, m_listedWorkers);
    m_scheduler->assumeLeasesUntil(leasesEnd);
    beginHostSession();
    tick();
    writePendingCounts();
}

void SchedulerSession::jobRowChanged(const RowChange &change)
{
    const std::string &key = change.row.key;
    if (change.removed)
        return;
    if (key.ends_with(cancellationSuffix)) {
        const auto length = key.size() - jobPrefix.size() - cancellationSuffix.size();
        m_scheduler->cancelJob(m_hooks.clock(), key.substr(jobPrefix.size(), length));
    } else {
        addJob(change.row);
    }
    schedulePlan();
}

void SchedulerSession::addJob(const Row &row)
{
    valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(job, parseSubmittedJob(row.value));
            const auto loaded = takeLoadedProgress(job.id);
            const auto progress = loaded ? std::optional(loaded->first) : std::nullopt;
            const Version version = loaded ? loaded->second : absentVersion;
            if (m_scheduling)
                m_scheduler->addJob(m_hooks.clock(), job, progress, version);
            else
                m_scheduler->addWaitingJob(m_hooks.clock(), job, progress, version);
            return true;
        },
        [&](const Error &error) {
            logUnreadableRow(row.key, error);
            return false;
        });
}

std::optional<std::pair<JobProgress, Version>>
SchedulerSession::takeLoadedProgress(const std::string &job)
{
    const auto node = m_loadedProgress.extract(progressKey(job));
    if (!node)
        return std::nullopt;
    const Row &row = node.mapped();
    return valueOrElse(
        [&]() -> Result<std::optional<std::pair<JobProgress, Version>>> {
            BOOST_LEAF_AUTO(progress, parseJobProgress(row.value));
            return std::make_optional(std::make_pair(std::move(progress), row.version));
        },
        [&](const Error &error) {
            logUnreadableRow(row.key, error);
            return std::optional<std::pair<JobProgress, Version>>();
        });
}

void SchedulerSession::addFinishedJobs()
{
    for (std::size_t count = 0; count < finishedJobsPerTick && !m_loadedProgress.empty(); ++count) {
        const std::string job = m_loadedProgress.begin()->first.substr(progressPrefix.size());
        const auto loaded = takeLoadedProgress(job);
        if (loaded && isFinished(loaded->first.phase))
            m_scheduler->addFinishedJob(job, loaded->first.changedAt);
    }
}

} // namespace Peridot::Jobs
