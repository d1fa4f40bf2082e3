#pragma once

#include "HostSession.h"
#include "JobMetrics.h"
#include "PlatformPorts.h"
#include <Kernel/Fleet/Reconciler.h>
#include <Kernel/Jobs/JobScheduler.h>
#include <LibStore/RowFollower.h>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Peridot::Jobs {

/// One term of this process as the scheduler of all pools: writes the fencing epoch, loads the
/// jobs, and runs the scheduler until it is fenced. Single-threaded on its context.
class SchedulerSession
{
public:
    struct Hooks
    {
        std::function<TimePoint()> clock;
        /// Whether this process certainly holds the scheduler lease now.
        std::function<bool()> leaseHeld;
        /// The waves that administrators have requested.
        std::function<const MaintenanceWaves &()> waves;
        /// Called once, asynchronously, after another process has taken over.
        std::function<void()> fenced;
    };

    SchedulerSession(asio::io_context &context, const PlatformPorts &ports, JobMetrics &metrics,
                     std::uint64_t epoch, SchedulerTiming timing, HostSessionTiming hostTiming,
                     Hooks hooks);
    ~SchedulerSession();
    SchedulerSession(const SchedulerSession &) = delete;
    SchedulerSession &operator=(const SchedulerSession &) = delete;

    void start();
    void setConfiguration(std::shared_ptr<const JobConfiguration> configuration);
    /// Null until the progress rows and the first list of jobs are loaded.
    const JobScheduler *scheduler() const { return m_scheduler.get(); }

private:
    void claimEpoch();
    void writeEpoch(Version current);
    void epochClaimed(Version version);
    void loadProgress(const std::string &startAfter);
    void progressLoaded();
    void jobRows(const std::vector<Row> &rows);
    void jobChanged(const RowChange &change);
    void addJob(const Row &row);
    void beginScheduling();
    void readWorkers(const std::string &startAfter);
    void beginHostSession();
    void workersRead(const ReadResult &result);
    void schedulePlan();
    void plan();
    void writeRows();
    void writePendingCounts();
    void updateStoreTime(std::int64_t milliseconds);
    std::int64_t storeTime() const;
    void tick();
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
    /// Progress rows by job id, until the job is passed to the scheduler.
    std::map<std::string, std::pair<JobProgress, Version>> m_loadedProgress;
    Version m_epochVersion = absentVersion;
    std::unique_ptr<JobScheduler> m_scheduler;
    std::unique_ptr<HostSession> m_hostSession;
    std::unique_ptr<RowFollower> m_jobFollower;
    std::vector<WorkerDescription> m_workersRead;
    std::int64_t m_storeTime = 0; ///< milliseconds on the store's clock; 0: not known
    TimePoint m_storeTimeUpdatedAt;
    asio::steady_timer m_claimTimer;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_planTimer;
    asio::steady_timer m_workerTimer;
    asio::steady_timer m_countTimer;
    bool m_planPosted = false;
    TimePoint m_nextPlan; ///< events until then are handled by one planning pass at this time
    bool m_readingWorkers = false;
    bool m_fencedReported = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
