#include "JobService.h"

#include <Kernel/Jobs/SizeShares.h>
#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <LibMembership/ProcessClock.h>
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr std::chrono::milliseconds electionTickInterval{50};
constexpr std::chrono::milliseconds leaseObservationInterval{500};
// Transfers are rare, so that a call of this feed usually ends without a change.
constexpr std::chrono::milliseconds transferFeedWait{10'000};
// Limits change only while a queue is overloaded.
constexpr std::chrono::milliseconds admissionFeedWait{10'000};
constexpr std::chrono::milliseconds candidateFeedWait{5'000};
constexpr std::chrono::milliseconds leaseFeedWait{1'000};
// A call of the change feed waits up to half a second for a change of the configuration. Three
// calls without an answer make the process unready, so that callers are routed to other processes.
constexpr std::chrono::milliseconds readinessTimeout{2500};
constexpr std::chrono::milliseconds configurationFeedWait{500};

} // namespace

JobService::JobService(asio::io_context &context, JobServiceSettings settings, PlatformPorts ports)
    : m_context(context), m_settings(std::move(settings)), m_ports(std::move(ports)),
      m_clock(processNow), m_admissionGate(std::hash<std::string>()(m_settings.instance)),
      m_offeredReporter(context, *m_ports.callerStore, m_settings.host, m_settings.instance,
                        reporterHooks()),
      m_frontend(context, *m_ports.callerStore, frontendHooks()),
      m_election({m_settings.host,
                  m_settings.instance,
                  m_settings.processors,
                  m_settings.relayAddress,
                  {}},
                 *m_ports.urgentStore, electionHooks()),
      m_electionTimer(context), m_observeTimer(context)
{
}

void JobService::start()
{
    followConfiguration();
    followTransfers();
    followAdmissionLimits();
    m_offeredReporter.start();
    runElection();
    observeLease();
}

void JobService::beginStop()
{
    m_stopping = true;
    endStandby();
    m_election.beginStop();
}

void JobService::recoverFrom(const std::exception &error)
{
    logEvent(LogLevel::Error, "unexpected-error", {{"error", error.what()}});
    endStandby();
    endSession("unexpected-error");
    m_election.resign();
}

void JobService::handle(JobCall call, JobFrontend::Callback callback)
{
    m_frontend.handle(std::move(call), std::move(callback));
}

std::shared_ptr<const JobConfiguration> JobService::configuration() const
{
    const TimePoint reached{Duration(m_storeReachedAt.load())};
    return m_clock() < reached + m_settings.maximumConfigurationAge ? m_configuration.load()
                                                                    : nullptr;
}

bool JobService::ready() const
{
    const TimePoint reached{Duration(m_storeReachedAt.load())};
    return !m_stopping && m_configuration.load() != nullptr
           && m_clock() < reached + readinessTimeout;
}

void JobService::followConfiguration()
{
    RowFollowerSettings settings;
    settings.prefix = m_ports.operatorPrefix;
    settings.wait = configurationFeedWait;
    RowFollower::Hooks hooks;
    hooks.onRows = [this](const std::vector<Row> &rows) {
        for (const Row &row : rows)
            applyOperatorRow(row);
    };
    hooks.onChange = [this](const RowChange &change) {
        if (!change.removed)
            applyOperatorRow(change.row);
    };
    hooks.onCurrent = [this](TimePoint requestedAt) {
        m_storeReachedAt = requestedAt.time_since_epoch().count();
    };
    m_operatorFollower = std::make_unique<RowFollower>(
        m_context, *m_ports.urgentStore, *m_ports.urgentFeed, settings, m_clock, std::move(hooks));
    m_operatorFollower->start();
}

void JobService::applyOperatorRow(const Row &row)
{
    const auto wave = m_ports.decodeWave(row);
    if (!wave)
        return applyConfigurationRow(row);
    MaintenanceWave &known = m_waves.try_emplace(wave->number, *wave).first->second;
    if (known.requestedAt == TimePoint{})
        known.requestedAt = m_clock();
}

void JobService::applyConfigurationRow(const Row &row)
{
    if (row.version <= m_configurationVersion)
        return;
    const auto configuration = m_ports.decodeConfiguration(row);
    if (!configuration)
        return;
    m_configuration = configuration;
    m_configurationVersion = row.version;
    m_metrics.setConfiguration(configuration->version, configuration->refusedEntries);
    logEvent(LogLevel::Info, "configuration-in-force",
             {{"version", configuration->version},
              {"queues", static_cast<std::uint64_t>(configuration->queues.size())}});
    if (m_session)
        m_session->setConfiguration(configuration);
}

std::unique_ptr<RowFollower> JobService::follow(std::string_view prefix,
                                                std::chrono::milliseconds wait,
                                                std::function<void(const RowChange &)> onChange)
{
    RowFollowerSettings settings;
    settings.prefix = std::string(prefix);
    settings.wait = wait;
    auto follower = std::make_unique<RowFollower>(m_context, *m_ports.urgentStore,
                                                  *m_ports.urgentFeed, settings, m_clock,
                                                  RowFollower::changeHooks(std::move(onChange)));
    follower->start();
    return follower;
}

void JobService::followTransfers()
{
    m_transferFollower = follow(transferPrefix, transferFeedWait, [this](const RowChange &change) {
        if (!change.removed)
            m_election.transferRowChanged(change.row);
    });
}

void JobService::followAdmissionLimits()
{
    m_admissionFollower
        = follow(admissionPrefix, admissionFeedWait, [this](const RowChange &change) {
              if (!change.removed)
                  m_admissionGate.limitsChanged(m_clock(), change.row);
          });
}

JobFrontend::Hooks JobService::frontendHooks()
{
    JobFrontend::Hooks hooks;
    hooks.clock = m_clock;
    hooks.configuration = [this] {
        return configuration();
    };
    hooks.refuse = [this](const JobCall &call, const std::string &organisation) {
        const auto retryAfter = m_admissionGate.refuse(m_clock(), call.queue, organisation,
                                                       estimatedWork(call.specification));
        if (!organisation.empty())
            m_metrics.countSubmission(call.queue, organisation, retryAfter.has_value());
        return retryAfter;
    };
    hooks.onAnswered = [this](const JobCall &call, CallOutcome outcome, Duration duration) {
        m_metrics.recordAnswer(call, outcome, duration);
    };
    return hooks;
}

OfferedReporter::Hooks JobService::reporterHooks()
{
    OfferedReporter::Hooks hooks;
    hooks.clock = m_clock;
    hooks.isNeeded = [this] {
        const auto known = m_configuration.load();
        return known && known->hasWeights() && m_admissionGate.isLimiting(m_clock());
    };
    hooks.counts = [this]() -> const OfferedCounts & {
        return m_admissionGate.counts();
    };
    return hooks;
}

SchedulerElection::Hooks JobService::electionHooks()
{
    SchedulerElection::Hooks hooks;
    hooks.clock = m_clock;
    hooks.prepare = [this] {
        beginStandby();
    };
    hooks.abandon = [this] {
        endStandby();
    };
    hooks.stepDown = [this] {
        endSession("lease-transferred");
    };
    hooks.leaseChanged = [this] {
        updateSession();
    };
    hooks.candidateChanged
        = [this](const std::string &host, const std::optional<SchedulerCandidate> &candidate) {
              if (m_ports.storeRoute == nullptr || host == m_settings.host)
                  return;
              const bool isUsable = candidate && !candidate->stopping;
              m_ports.storeRoute->setPeer(host, isUsable ? std::optional<StorePeer>(StorePeer{
                                                    candidate->relayAddress, candidate->processors})
                                                         : std::nullopt);
          };
    hooks.observe = [this](std::string_view kind, const std::string &detail) {
        m_metrics.countEvent(kind);
        logEvent(LogLevel::Info, kind, {{"detail", detail}});
    };
    return hooks;
}

void JobService::beginStandby()
{
    m_replica = std::make_unique<JobRowReplica>(m_context, m_ports, m_clock);
    m_replica->whenCurrentSince(m_clock(), [this] { m_election.prepared(); });
    m_replica->start();
    m_leaseFollower = follow(leasePrefix, leaseFeedWait, [this](const RowChange &change) {
        if (!change.removed)
            m_election.leaseRowChanged(change.row);
    });
}

void JobService::endStandby()
{
    m_replica.reset();
    m_leaseFollower.reset();
}

void JobService::runElection()
{
    m_election.tick();
    updateSession();
    m_electionTimer.runAfter(electionTickInterval, [this] { runElection(); });
}

void JobService::observeLease()
{
    m_election.observeLease();
    m_observeTimer.runAfter(leaseObservationInterval, [this] { observeLease(); });
}

void JobService::updateSession()
{
    const TimePoint now = m_clock();
    const auto held = m_election.held();
    if (held) {
        m_leaseHeldAt = now;
        // The next holder, which may be this process, can schedule under a higher epoch.
        if (held->fencingEpoch <= m_fencedEpoch)
            return m_election.resign();
        if (!m_session || m_sessionEpoch != held->fencingEpoch)
            beginSession(held->fencingEpoch);
        return;
    }
    if (!m_session)
        return;
    if (!m_election.observedHolder().empty() && m_election.observedHolder() != m_settings.instance)
        return endSession("lease-taken");
    // While the store is unreachable, the scheduler continues for a grace period. This is safe, as
    // workers reject its orders once a successor, which has a higher epoch, has contacted them.
    if (now > m_leaseHeldAt + m_settings.timing.expiredLeaseGrace)
        endSession("lease-expired");
}

void JobService::beginSession(std::uint64_t epoch)
{
    endSession("new-epoch");
    logEvent(LogLevel::Info, "scheduler-lease-acquired", {{"epoch", epoch}});
    m_sessionEpoch = epoch;
    SchedulerSession::Hooks hooks;
    hooks.clock = m_clock;
    hooks.leaseHeld = [this, epoch] {
        const auto held = m_election.held();
        return held && held->fencingEpoch == epoch;
    };
    hooks.waves = [this]() -> const MaintenanceWaves & {
        return m_waves;
    };
    hooks.admissionLimits = [this] {
        return m_admissionGate.limits(m_clock());
    };
    hooks.fenced = [this, epoch] {
        m_fencedEpoch = std::max(m_fencedEpoch, epoch);
        if (m_session && m_sessionEpoch == epoch)
            endSession("fenced");
    };
    if (!m_replica) {
        m_replica = std::make_unique<JobRowReplica>(m_context, m_ports, m_clock);
        m_replica->start();
    }
    m_session = std::make_unique<SchedulerSession>(m_context, m_ports, m_metrics, epoch,
                                                   m_settings.timing, m_settings.hostTiming,
                                                   std::move(m_replica), std::move(hooks));
    endStandby();
    m_candidateFollower
        = follow(candidatePrefix, candidateFeedWait,
                 [this](const RowChange &change) { m_election.candidateRowChanged(change); });
    m_session->setConfiguration(m_configuration.load());
    if (m_ports.storeRoute != nullptr)
        m_ports.storeRoute->setRelaysAllowed(true);
    m_session->start();
    m_metrics.setScheduling(true);
}

void JobService::endSession(const char *reason)
{
    if (!m_session)
        return;
    logEvent(LogLevel::Info, "scheduler-session-ended", {{"reason", reason}});
    m_session.reset();
    if (m_ports.storeRoute != nullptr)
        m_ports.storeRoute->setRelaysAllowed(false);
    m_candidateFollower.reset();
    m_metrics.setScheduling(false);
}

std::string JobService::state() const
{
    Json::Value state(Json::objectValue);
    state["host"] = m_settings.host;
    state["instance"] = m_settings.instance;
    state["ready"] = ready();
    if (const auto configuration = m_configuration.load())
        state["configuration_version"] = static_cast<Json::UInt64>(configuration->version);
    state["scheduler_lease_holder"] = m_election.observedHolder();
    const JobScheduler *scheduler = m_session ? m_session->scheduler() : nullptr;
    if (scheduler == nullptr)
        return writeIndentedJson(state);
    state["scheduler_epoch"] = static_cast<Json::UInt64>(m_sessionEpoch);
    for (const auto &[id, job] : scheduler->jobs()) {
        Json::Value entry(Json::objectValue);
        entry["queue"] = job.submitted().queue.name;
        entry["phase"] = std::string(jobPhaseNames.nameOf(job.phase()));
        if (!job.submitted().organisation.empty())
            entry["organisation"] = job.submitted().organisation;
        if (JobScheduler::waitsForQuota(job))
            entry["waits_for"] = "organisation-quota";
        else if (scheduler->waitsForAdvice(job))
            entry["waits_for"] = "placement-advice";
        state["jobs"][id] = std::move(entry);
    }
    for (const auto &[id, worker] : scheduler->workers()) {
        Json::Value entry(Json::objectValue);
        entry["pool"] = worker.description.pool;
        entry["listed"] = worker.listed;
        entry["failed_looks"] = worker.failedPolls;
        entry["reserved"] = worker.unschedulable;
        for (const auto &[name, run] : worker.runs)
            entry["runs"][name.task.text()] = std::string(runPhaseNames.nameOf(run.phase));
        state["workers"][id] = std::move(entry);
    }
    return writeIndentedJson(state);
}

} // namespace Peridot::Jobs
