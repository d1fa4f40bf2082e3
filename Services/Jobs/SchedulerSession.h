#pragma once

#include "AdmissionPublisher.h"
#include "HostSession.h"
#include "JobMetrics.h"
#include "JobRowReplica.h"
#include "OfferedFollower.h"
#include "PlatformPorts.h"
#include "SchedulerLoadReport.h"
#include "StoreClock.h"
#include <Kernel/Fleet/Reconciler.h>
#include <Kernel/Jobs/JobScheduler.h>
#include <Kernel/Jobs/TakeoverLeases.h>
#include <LibBase/OneShotTimer.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace Peridot::Jobs {

/// One term of this process as the scheduler of all pools: writes the fencing epoch, completes the
/// replica of the job rows, and runs the scheduler until it is fenced or the session is destroyed.
/// Single-threaded on its context.
class SchedulerSession
{
public:
    struct Hooks
    {
        std::function<TimePoint()> clock;
        /// Whether this process certainly holds the scheduler lease now.
        std::function<bool()> leaseHeld;
        /// Limits of submissions that the scheduler before has set and that still hold.
        std::function<AdmissionLimits()> admissionLimits;
        /// Waves that administrators have requested.
        std::function<const MaintenanceWaves &()> waves;
        /// Called once, asynchronously, when a higher fencing epoch was seen: another process has
        /// taken over. The owner must then destroy this session.
        std::function<void()> fenced;
    };

    /// \a replica may be loaded already; it must have been started.
    SchedulerSession(asio::io_context &context, const PlatformPorts &ports, JobMetrics &metrics,
                     std::uint64_t epoch, SchedulerTiming timing, HostSessionTiming hostTiming,
                     std::unique_ptr<JobRowReplica> replica, Hooks hooks);
    ~SchedulerSession();
    SchedulerSession(const SchedulerSession &) = delete;
    SchedulerSession &operator=(const SchedulerSession &) = delete;

    void start();
    void setConfiguration(std::shared_ptr<const JobConfiguration> configuration);
    /// Returns the scheduler; null until the replica of the rows is complete, and not scheduling
    /// before its jobs are loaded.
    const JobScheduler *scheduler() const { return m_scheduler.get(); }

private:
    /// The epoch rows while they are claimed.
    struct EpochClaim
    {
        std::map<std::string, Version> versions; ///< by key
        std::size_t missing = 0; ///< number of unanswered writes
        bool failed = false;
    };

    /// Writes the fencing epoch of this session to the epoch rows, or reports that a row has a
    /// higher one.
    void claimEpoch();
    void epochsRead(const ReadResult &result);
    void writeEpoch(const Row &row, const std::shared_ptr<EpochClaim> &claim);
    void epochClaimed(const EpochClaim &claim);
    /// Extends the leases of workers until the rows of the jobs are loaded.
    void beginTakeoverPolls();
    void takeoverTick();
    /// Creates the scheduler, and passes the jobs of the replica to it in several steps.
    void beginLoading();
    SchedulerHooks schedulerHooks();
    void loadNextJobs();
    /// Begins to schedule when all jobs are loaded.
    void loadingFinished();
    /// Passes the next finished jobs of the replica to the scheduler. Only the removal of their
    /// rows depends on them, so they must not delay the start of waiting tasks.
    void addFinishedJobs();
    void jobRowChanged(const RowChange &change);
    void addJob(const Row &row);
    /// Progress row of this job that was loaded, decoded and with its version; nothing when there
    /// is none or it is malformed. Each row is returned once.
    std::optional<std::pair<JobProgress, Version>> takeLoadedProgress(const std::string &job);
    /// Reads the registrations of workers whose keys follow \a startAfter, page by page.
    void readWorkers(const std::string &startAfter);
    void beginHostSession();
    void workerRowsRead(const ReadResult &result);
    void workersListed();
    /// Schedules a planning pass, unless one is scheduled already.
    void schedulePlan();
    void postPlan();
    void plan();
    /// Runs \a step when nothing more urgent waits, unless this session has ended by then.
    void runInBackground(std::function<void()> step);
    /// Commits the scheduler's next transaction, if it has one.
    void commitTransaction();
    void commitCleanup();
    /// Writes the number of waiting jobs of each queue, periodically.
    void writePendingCounts();
    /// Sends polls that are due and plans, periodically, so that orders that are due at a certain
    /// time are sent.
    void tick();
    /// Limits the submissions to queues whose jobs would start too late.
    void updateAdmission();
    void reportLoad();
    /// Stops planning and calls the hook fenced().
    void reportFenced();
    WorkerReplyHooks replyHooks();

    asio::io_context &m_context;
    const PlatformPorts &m_ports;
    JobMetrics &m_metrics;
    std::uint64_t m_epoch;
    SchedulerTiming m_timing;
    HostSessionTiming m_hostTiming;
    Hooks m_hooks;
    std::shared_ptr<const JobConfiguration> m_configuration;
    std::unique_ptr<JobRowReplica> m_replica;
    /// Progress rows by key, each until its job is passed to the scheduler.
    JobRowReplica::Rows m_loadedProgress;
    /// Rows of jobs and cancellations that are not passed to the scheduler yet, by key.
    JobRowReplica::Rows m_loadedJobs;
    std::deque<RowChange> m_changesWhileLoading;
    std::unique_ptr<TakeoverLeases> m_takeoverLeases; ///< null: not taking over
    /// Versions of the epoch rows, as written by this session.
    Version m_progressEpochVersion = absentVersion;
    Version m_hostsEpochVersion = absentVersion;
    std::unique_ptr<JobScheduler> m_scheduler;
    std::unique_ptr<HostSession> m_hostSession;
    std::unique_ptr<AdmissionPublisher> m_admission;
    std::unique_ptr<OfferedFollower> m_offered; ///< null: no organisation has a rate
    std::vector<WorkerDescription> m_scannedWorkers; ///< of the current scan of registrations
    std::vector<WorkerDescription> m_listedWorkers; ///< of the last complete scan
    TimePoint m_workersListedAt;
    StoreClock m_storeClock;
    OneShotTimer m_startRetryTimer; ///< retries of store calls before the scheduling begins
    OneShotTimer m_tickTimer;
    OneShotTimer m_planTimer;
    OneShotTimer m_workerTimer;
    OneShotTimer m_countTimer;
    TimePoint m_behindUntil; ///< until then, this process counts as behind
    bool m_upkeepPosted = false; ///< the periodic work in the background waits
    SchedulerLoadReport m_loadReport;
    bool m_scheduling = false; ///< all jobs are loaded
    bool m_planScheduled = false;
    TimePoint m_nextPlanAt; ///< earliest time of the next planning pass that events cause
    bool m_readingWorkers = false; ///< a scan of registrations is in progress
    bool m_fencedReported = false;
    /// Callbacks that run after the destructor find it expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
