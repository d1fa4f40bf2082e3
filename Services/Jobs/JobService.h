#pragma once

#include "JobFrontend.h"
#include "JobMetrics.h"
#include "PlatformPorts.h"
#include "SchedulerSession.h"
#include "TakeOverOrder.h"
#include <Kernel/Membership/LeaseKeeper.h>
#include <LibStore/RowFollower.h>
#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace Peridot::Jobs {

struct JobServiceSettings
{
    std::string host;
    std::string instance; ///< unique for each start
    double processors = 1; ///< of the host, in cores of the platform
    SchedulerTiming timing;
    HostSessionTiming hostTiming;
};

/// The job service of one host: follows the configuration, answers callers, competes for the lease
/// of the scheduler and runs it while it holds the lease. Single-threaded on its context, but for
/// the functions that say otherwise.
class JobService
{
public:
    JobService(asio::io_context &context, JobServiceSettings settings, PlatformPorts ports);

    void start();
    /// Gives the lease up, so that another process goes on at once. Callers are answered still.
    void beginStop();

    void handle(JobCall call, JobFrontend::Callback callback);

    /// Metrics in the text exposition format. Any thread.
    std::string metrics() const { return m_metrics.serialize(); }
    /// What the process knows and does, as JSON.
    std::string state() const;

    /// Newest configuration, or null. Any thread.
    std::shared_ptr<const JobConfiguration> configuration() const;
    /// Whether callers should be sent here: the store was reached lately. Any thread.
    bool ready() const;

private:
    void followConfiguration();
    void operatorRow(const Row &row);
    void configurationRow(const Row &row);
    void driveLease();
    void request(StoreRequest request);
    void observeLease();
    void leaseRead(const ReadResult &result);
    void announceProcessors(const Row &row);
    void checkLease();
    void beginSession(std::uint64_t epoch);
    void endSession(const char *reason);

    asio::io_context &m_context;
    JobServiceSettings m_settings;
    PlatformPorts m_ports;
    std::function<TimePoint()> m_clock;
    JobMetrics m_metrics;
    JobFrontend m_frontend;
    ConfigurationState m_configuration;
    std::atomic<std::shared_ptr<const JobConfiguration>> m_published;
    std::atomic<std::int64_t> m_storeReachedAt{0}; ///< nanoseconds on the service's clock
    std::atomic<bool> m_stopping{false};
    std::unique_ptr<RowFollower> m_operatorFollower;
    MaintenanceWaves m_waves;
    LeaseKeeper m_lease;
    TakeOverOrder m_takeOver;
    asio::steady_timer m_leaseTimer;
    asio::steady_timer m_observeTimer;
    std::optional<TimePoint> m_storeFailedAt; ///< newest failed read of the lease row
    std::unique_ptr<SchedulerSession> m_session;
    std::uint64_t m_sessionEpoch = 0;
    std::uint64_t m_fencedEpoch = 0; ///< a higher epoch than this one acts already
    TimePoint m_leaseHeldAt; ///< newest time at which the lease was certainly held
};

} // namespace Peridot::Jobs
