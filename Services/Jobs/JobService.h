#pragma once

#include "AdmissionGate.h"
#include "JobFrontend.h"
#include "JobMetrics.h"
#include "OfferedReporter.h"
#include "PlatformPorts.h"
#include "SchedulerSession.h"
#include <Kernel/Jobs/SchedulerElection.h>
#include <LibBase/OneShotTimer.h>
#include <LibStore/RowFollower.h>
#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace Peridot::Jobs {

struct JobServiceSettings
{
    std::string host;
    std::string instance; ///< name of this process, unique for each start: the host and a suffix
    /// Processor capacity of this host: the share of a core that is available, times the relative
    /// speed of a core.
    double processors = 1;
    std::string relayAddress = {}; ///< see SchedulerCandidate
    SchedulerTiming timing;
    HostSessionTiming hostTiming;
    /// Calls are refused when changes of the configuration may have been missed for this long.
    Duration maximumConfigurationAge = std::chrono::milliseconds(1800);
};

/// Job service of one host: follows the configuration, answers callers, competes for the scheduler
/// lease, and runs the scheduler while it holds the lease. Single-threaded on its context, except
/// for the functions marked with "Any thread".
class JobService
{
public:
    JobService(asio::io_context &context, JobServiceSettings settings, PlatformPorts ports);

    void start();
    /// Transfers the scheduler lease to another process, if this one holds it, and acquires it no
    /// more. Calls are still answered.
    void beginStop();
    /// Whether this process neither schedules nor holds the scheduler lease.
    bool released() const { return !m_session && m_election.released(); }
    /// Ends the scheduler session, whose state may be inconsistent after \a error, and releases the
    /// lease to another process.
    void recoverFrom(const std::exception &error);

    /// Answers a call of a caller, see JobFrontend::handle().
    void handle(JobCall call, JobFrontend::Callback callback);

    /// Returns the metrics in the Prometheus text exposition format. Any thread.
    std::string metrics() const { return m_metrics.serialize(); }
    /// Counts a request that was refused before it became a call. May be called on any thread.
    void countRefusal(CallOutcome outcome) { m_metrics.countRefusal(outcome); }
    /// Returns the state of the service, the scheduler and the workers as JSON, for diagnosis.
    std::string state() const;

    /// Returns the configuration in force; null before the first one was read, and when it may be
    /// older than JobServiceSettings::maximumConfigurationAge. Any thread.
    std::shared_ptr<const JobConfiguration> configuration() const;
    /// Whether the load balancer should route callers here: the service is not stopping, has a
    /// configuration, and reached the store recently. Any thread.
    bool ready() const;

private:
    void followConfiguration();
    /// Takes a row that administrators write: a requested wave or the configuration.
    void applyOperatorRow(const Row &row);
    /// Puts the configuration of this row in force, unless it is older than the one in force.
    void applyConfigurationRow(const Row &row);
    void followTransfers();
    void followAdmissionLimits();
    JobFrontend::Hooks frontendHooks();
    OfferedReporter::Hooks reporterHooks();
    /// Advances the election, periodically.
    void runElection();
    void observeLease();
    SchedulerElection::Hooks electionHooks();
    /// Loads the rows of the jobs, as the scheduler asked, to take over its lease.
    void beginStandby();
    void endStandby();
    std::unique_ptr<RowFollower> follow(std::string_view prefix, std::chrono::milliseconds wait,
                                        std::function<void(const RowChange &)> onChange);
    /// Begins or ends the scheduler session as the state of the lease requires.
    void updateSession();
    void beginSession(std::uint64_t epoch);
    void endSession(const char *reason);

    asio::io_context &m_context;
    JobServiceSettings m_settings;
    PlatformPorts m_ports;
    std::function<TimePoint()> m_clock;
    JobMetrics m_metrics;
    AdmissionGate m_admissionGate;
    OfferedReporter m_offeredReporter;
    JobFrontend m_frontend;
    std::atomic<std::shared_ptr<const JobConfiguration>> m_configuration;
    Version m_configurationVersion = absentVersion; ///< of the row of m_configuration
    /// Time up to which the changes of the operator rows are known, in nanoseconds of m_clock.
    std::atomic<std::int64_t> m_storeReachedAt{0};
    std::atomic<bool> m_stopping{false};
    std::unique_ptr<RowFollower> m_operatorFollower;
    MaintenanceWaves m_waves; ///< requested by administrators
    SchedulerElection m_election;
    OneShotTimer m_electionTimer;
    OneShotTimer m_observeTimer;
    std::unique_ptr<RowFollower> m_transferFollower;
    std::unique_ptr<RowFollower> m_admissionFollower;
    std::unique_ptr<RowFollower> m_candidateFollower; ///< null: this process does not schedule
    std::unique_ptr<RowFollower> m_leaseFollower; ///< null: not on standby
    std::unique_ptr<JobRowReplica> m_replica; ///< null: not on standby
    std::unique_ptr<SchedulerSession> m_session; ///< null: this process does not schedule
    std::uint64_t m_sessionEpoch = 0; ///< fencing epoch of the latest session
    std::uint64_t m_fencedEpoch = 0; ///< highest epoch of this process that a higher one fenced
    TimePoint m_leaseHeldAt; ///< latest time at which this process certainly held the lease
};

} // namespace Peridot::Jobs
