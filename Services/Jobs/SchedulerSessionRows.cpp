// Rows of jobs, their progress and cancellations, as the session passes them to the scheduler.

#include "SchedulerSession.h"

#include <LibBase/Log.h>
#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr std::size_t finishedJobsPerTick = 50;

void logUnreadableRow(const std::string &key, const Error &error)
{
    logEvent(LogLevel::Error, "row-unreadable", {{"key", key}, {"error", describe(error)}});
}

std::string jobIdOf(const std::string &key, std::string_view suffix)
{
    return key.substr(jobPrefix.size(), key.size() - jobPrefix.size() - suffix.size());
}

} // namespace

void SchedulerSession::jobRowChanged(const RowChange &change)
{
    const std::string &key = change.row.key;
    if (change.removed)
        return;
    if (key.ends_with(cancellationSuffix)) {
        m_scheduler->cancelJob(m_hooks.clock(), jobIdOf(key, cancellationSuffix));
    } else if (key.ends_with(tombstoneSuffix)) {
        m_scheduler->addTombstone(m_hooks.clock(), jobIdOf(key, tombstoneSuffix));
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
            if (loaded)
                m_scheduler->addJob(m_hooks.clock(), job, loaded->first, loaded->second);
            else
                m_scheduler->addJob(m_hooks.clock(), job, std::nullopt, absentVersion);
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
