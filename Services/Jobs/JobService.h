#pragma once

#include "JobFrontend.h"
#include "JobMetrics.h"
#include "LeaseTakeoverPolicy.h"
#include "PlatformPorts.h"
#include "SchedulerSession.h"
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
    std::string instance; ///< unique for each start of the process
    double processors = 1; ///< processor capacity of this host, in cores of the platform
    SchedulerTiming timing;
    HostSessionTiming hostTiming;
};

/// The job service of one host: follows the configuration, answers callers, competes for the
/// scheduler lease, and runs the scheduler while it holds the lease. Single-threaded on its
/// context, except for the functions that are marked otherwise.
class JobService
{
public:
    JobService(asio::io_context &context, JobServiceSettings settings, PlatformPorts ports);

    void start();
    /// Releases the scheduler lease, so that another process can take over without waiting for it
    /// to expire. Calls are still answered.
    void beginStop();

    void handle(JobCall call, JobFrontend::Callback callback);

    /// Metrics in the text exposition format. Any thread.
    std::string metrics() const { return m_metrics.serialize(); }
    /// State of the service, scheduler and workers as JSON, for diagnosis.
    std::string state() const;

    /// Latest configuration, or null. Any thread.
    std::shared_ptr<const JobConfiguration> configuration() const;
    /// Whether the load balancer should route callers here: there is a configuration, and the store
    /// was reached recently. Any thread.
    bool ready() const;

private:
    void followConfiguration();
    void operatorRow(const Row &row);
    void configurationRow(const Row &row);
    void driveLease();
    void request(StoreRequest request);
    void observeLease();
    void leaseRead(const ReadResult &result);
    void publishProcessors(const Row &row);
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
    LeaseTakeoverPolicy m_takeoverPolicy;
    asio::steady_timer m_leaseTimer;
    asio::steady_timer m_observeTimer;
    std::optional<TimePoint> m_storeFailedAt; ///< latest failed read of the lease row
    std::unique_ptr<SchedulerSession> m_session;
    std::uint64_t m_sessionEpoch = 0;
    std::uint64_t m_fencedEpoch = 0; ///< highest own epoch that was fenced by a higher one
    TimePoint m_leaseHeldAt; ///< latest time at which the lease was certainly held
};

} // namespace Peridot::Jobs
