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

/// One term of this process as the scheduler of all pools: claims the epoch row, loads the jobs,
/// and drives the scheduler until it is deposed. Single-threaded on its context.
class SchedulerSession
{
public:
    struct Hooks
    {
        std::function<TimePoint()> clock;
        /// Whether the lease is certainly held now.
        std::function<bool()> leaseHeld;
        /// The waves that administrators asked for.
        std::function<const MaintenanceWaves &()> waves;
        /// Called once, later, when another process has taken over.
        std::function<void()> deposed;
    };

    SchedulerSession(asio::io_context &context, const PlatformPorts &ports, JobMetrics &metrics,
                     std::uint64_t epoch, SchedulerTiming timing, HostSessionTiming hostTiming,
                     Hooks hooks);
    ~SchedulerSession();
    SchedulerSession(const SchedulerSession &) = delete;
    SchedulerSession &operator=(const SchedulerSession &) = delete;

    void start();
    void setConfiguration(std::shared_ptr<const JobConfiguration> configuration);
    /// Null until the jobs are loaded.
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
    void planSoon();
    void plan();
    void writeRows();
    void writePendingCounts();
    void noteStoreTime(std::int64_t milliseconds);
    std::int64_t storeTime() const;
    void tick();
    void reportDeposed();
    WorkerReplyHooks replyHooks();

    asio::io_context &m_context;
    const PlatformPorts &m_ports;
    JobMetrics &m_metrics;
    std::uint64_t m_epoch;
    SchedulerTiming m_timing;
    HostSessionTiming m_hostTiming;
    Hooks m_hooks;
    std::shared_ptr<const JobConfiguration> m_configuration;
    std::map<std::string, std::pair<JobProgress, Version>> m_loaded; ///< by job, until scheduling
    Version m_epochVersion = absentVersion;
    std::unique_ptr<JobScheduler> m_scheduler;
    std::unique_ptr<HostSession> m_hostSession;
    std::unique_ptr<RowFollower> m_jobFollower;
    std::vector<WorkerDescription> m_workersRead;
    std::int64_t m_storeTime = 0; ///< milliseconds on the store's clock; 0: not known
    TimePoint m_storeTimeNotedAt;
    asio::steady_timer m_claimTimer;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_planTimer;
    asio::steady_timer m_workerTimer;
    asio::steady_timer m_countTimer;
    bool m_planPosted = false;
    TimePoint m_nextPlan; ///< events before it share the pass at that time
    bool m_readingWorkers = false;
    bool m_deposedReported = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
