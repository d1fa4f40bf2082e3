// Takeover: polls that extend the leases of workers while the rows of the jobs are loaded, and the
// loading of the jobs.

#include "SchedulerSession.h"

#include <LibBase/Log.h>
#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr std::chrono::milliseconds pollTickInterval{50};
// Events that must be in time are handled between two steps.
constexpr std::size_t rowsPerLoadingStep = 32;
// In an older list, a worker may have begun to drain since. The next one follows soon.
constexpr std::chrono::seconds latestWorkerList{1};

} // namespace

void SchedulerSession::beginTakeoverPolls()
{
    TakeoverLeases::Hooks hooks;
    WorkerReplyHooks replies;
    replies.polled = [this, alive = std::weak_ptr(m_alive)](const auto &order, const auto &reply) {
        if (!alive.expired() && m_takeoverLeases)
            m_takeoverLeases->pollFinished(m_hooks.clock(), order, reply);
    };
    hooks.poll = m_ports.connectWorkers(replies).poll;
    hooks.fenced = [this] {
        reportFenced();
    };
    m_takeoverLeases = std::make_unique<TakeoverLeases>(
        m_epoch, m_timing.workerLease, m_timing.maximumWorkerLease, std::move(hooks));
    readWorkers({});
    takeoverTick();
}

void SchedulerSession::takeoverTick()
{
    if (m_fencedReported)
        return;
    m_takeoverLeases->sendDuePolls(m_hooks.clock());
    m_tickTimer.runAfter(pollTickInterval, [this] { takeoverTick(); });
}

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
    m_ports.tasks->post(TaskPriority::Normal, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            loadNextJobs();
    });
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
    m_scheduling = true;
    if (now < m_workersListedAt + latestWorkerList)
        m_scheduler->setWorkers(now, m_listedWorkers);
    m_takeoverLeases->forEachWorker(
        [this](const Worker &worker) { m_scheduler->takeClock(worker); });
    m_takeoverLeases.reset();
    m_scheduler->assumeLeasesUntil(leasesEnd);
    beginHostSession();
    tick();
    writePendingCounts();
}

} // namespace Peridot::Jobs
