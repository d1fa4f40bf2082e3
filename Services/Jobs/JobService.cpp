#include "JobService.h"

#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <LibBase/RunAfter.h>
#include <LibMembership/ProcessClock.h>
#include <algorithm>
#include <charconv>
#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr const char *leaseKey = "lease/scheduler";
// Row with the processor capacity of the fastest host so far. It is in the same table as the lease
// row, so that one store call reads both.
constexpr std::string_view fastestHostKey = "lease/fastest-host";
// A successor can take over at most this long, plus one observation interval, after the holder
// failed.
constexpr std::chrono::milliseconds leaseDuration{2000};
constexpr std::chrono::milliseconds leaseKeeperInterval{50};
constexpr std::chrono::milliseconds leaseObservationInterval{500};
// A faster host observes the free lease within one observation interval, and then needs a store
// call to acquire it.
constexpr std::chrono::milliseconds slowHostDelay{900};
constexpr std::chrono::milliseconds storeRetryDelay{200};
// After an outage of the store, other processes wait this long before they acquire the lease, so
// that the former holder, which has the jobs loaded, can acquire it first.
constexpr std::chrono::milliseconds outageTakeoverDelay{1000};
// A call of the change feed waits up to half a second for a change of the configuration. Three
// calls without an answer make the process unready, so that callers are routed to other processes.
constexpr std::chrono::milliseconds readinessTimeout{2500};
constexpr std::chrono::milliseconds configurationFeedWait{500};

MembershipTiming leaseTiming()
{
    MembershipTiming timing = membershipTimingFor(leaseDuration);
    timing.storeRetry = storeRetryDelay;
    return timing;
}

LeaseKeeperSettings leaseSettings(const std::string &host, const std::string &instance)
{
    LeaseKeeperSettings settings;
    // A host runs one process of this service at a time, so an earlier process of this host has
    // ended. The number of dashes is compared because the name of another host may start with the
    // name of this host and a dash.
    settings.hasEnded = [host, instance](const std::string &holder) {
        return holder != instance && holder.starts_with(host + '-')
               && std::count(holder.begin(), holder.end(), '-')
                      == std::count(instance.begin(), instance.end(), '-');
    };
    settings.key = leaseKey;
    settings.name = "scheduler";
    settings.holder = instance;
    settings.timing = leaseTiming();
    return settings;
}

/// Value of the row of the fastest host; nothing when it is absent or malformed.
std::optional<double> parseProcessors(const Row &row)
{
    double processors = 0;
    const char *end = row.value.data() + row.value.size();
    const auto parsed = std::from_chars(row.value.data(), end, processors);
    if (row.version == absentVersion || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return processors;
}

} // namespace

JobService::JobService(asio::io_context &context, JobServiceSettings settings, PlatformPorts ports)
    : m_context(context), m_settings(std::move(settings)), m_ports(std::move(ports)),
      m_clock(processNow),
      m_frontend(context, *m_ports.store,
                 {m_clock, [this] { return m_configuration; },
                  [this](const Row &row) { applyConfigurationRow(row); },
                  [this](const JobCall &call, CallOutcome outcome, Duration duration) {
                      m_metrics.recordAnswer(call, outcome, duration);
                  }}),
      m_leaseKeeper(leaseSettings(m_settings.host, m_settings.instance)),
      m_takeoverPolicy(m_settings.processors, slowHostDelay), m_leaseTimer(context),
      m_observeTimer(context)
{
}

void JobService::start()
{
    followConfiguration();
    runLeaseKeeper();
    observeLease();
}

void JobService::beginStop()
{
    m_stopping = true;
    endSession("stopping");
    m_leaseKeeper.release();
}

void JobService::handle(JobCall call, JobFrontend::Callback callback)
{
    m_frontend.handle(std::move(call), std::move(callback));
}

std::shared_ptr<const JobConfiguration> JobService::configuration() const
{
    return m_publishedConfiguration.load();
}

bool JobService::ready() const
{
    const TimePoint reached{Duration(m_storeReachedAt.load())};
    return !m_stopping && m_publishedConfiguration.load() != nullptr
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
    m_operatorFollower = std::make_unique<RowFollower>(m_context, *m_ports.store, *m_ports.feed,
                                                       settings, m_clock, std::move(hooks));
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
    // Rows arrive from the change feed and from conflicts of transactions, in any order.
    if (row.version <= m_configuration.rowCheck.expected)
        return;
    const auto configuration = m_ports.decodeConfiguration(row);
    if (!configuration)
        return;
    m_configuration.configuration = configuration;
    m_configuration.rowCheck = {row.key, row.version};
    m_publishedConfiguration = configuration;
    m_metrics.setConfigurationVersion(configuration->version);
    logEvent(LogLevel::Info, "configuration-in-force",
             {{"version", configuration->version},
              {"queues", static_cast<std::uint64_t>(configuration->queues.size())}});
    if (m_session)
        m_session->setConfiguration(configuration);
}

void JobService::runLeaseKeeper()
{
    if (auto request = m_leaseKeeper.takeRequest(m_clock()))
        sendLeaseRequest(std::move(*request));
    updateSession();
    runAfter(m_leaseTimer, leaseKeeperInterval, [this] { runLeaseKeeper(); });
}

void JobService::sendLeaseRequest(StoreRequest request)
{
    if (const auto *transaction = std::get_if<Transaction>(&request)) {
        m_ports.store->commit(*transaction, [this](const CommitResult &result) {
            m_leaseKeeper.finish(m_clock(), result);
            updateSession();
        });
        return;
    }
    const auto &keys = std::get<ReadRows>(request).keys;
    m_ports.store->read(keys, [this](const ReadResult &result) {
        m_leaseKeeper.finish(m_clock(), result);
        updateSession();
    });
}

void JobService::observeLease()
{
    // The holder knows the row from its own renewals.
    if (!m_leaseKeeper.held(m_clock())) {
        m_ports.store->read({std::string(fastestHostKey), leaseKey},
                            [this](const ReadResult &result) { leaseRowsRead(result); });
    }
    runAfter(m_observeTimer, leaseObservationInterval, [this] { observeLease(); });
}

void JobService::leaseRowsRead(const ReadResult &result)
{
    const TimePoint now = m_clock();
    if (m_leaseKeeper.held(now))
        return;
    if (result.status == ReadStatus::Ok) {
        const Row &fastest = result.rows.front();
        m_leaseKeeper.observe(now, result.rows.back());
        m_takeoverPolicy.observe(now, m_leaseKeeper.isFree(now), parseProcessors(fastest));
        if (m_takeoverPolicy.isFastest())
            publishProcessors(fastest);
    } else {
        m_storeFailedAt = now;
    }
    const bool waitForFormerHolder
        = m_storeFailedAt && now < *m_storeFailedAt + outageTakeoverDelay;
    m_leaseKeeper.setWanted(!waitForFormerHolder && !m_stopping
                            && m_takeoverPolicy.mayAcquire(now));
}

void JobService::publishProcessors(const Row &row)
{
    Transaction transaction;
    transaction.operationId = m_settings.instance + "/processors";
    transaction.checks = {{row.key, row.version}};
    transaction.writes = {{row.key, std::to_string(m_settings.processors)}};
    // When the write fails, the next observation reads the current row and tries again.
    m_ports.store->commit(transaction, [](const CommitResult &) {});
}

void JobService::updateSession()
{
    const TimePoint now = m_clock();
    const auto held = m_leaseKeeper.held(now);
    if (held) {
        m_leaseHeldAt = now;
        if (held->fencingEpoch <= m_fencedEpoch)
            return;
        if (!m_session || m_sessionEpoch != held->fencingEpoch)
            beginSession(held->fencingEpoch);
        return;
    }
    if (!m_session)
        return;
    if (!m_leaseKeeper.observedHolder().empty()
        && m_leaseKeeper.observedHolder() != m_settings.instance)
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
        const auto held = m_leaseKeeper.held(m_clock());
        return held && held->fencingEpoch == epoch;
    };
    hooks.waves = [this]() -> const MaintenanceWaves & {
        return m_waves;
    };
    hooks.fenced = [this, epoch] {
        m_fencedEpoch = std::max(m_fencedEpoch, epoch);
        if (m_session && m_sessionEpoch == epoch)
            endSession("fenced");
    };
    m_session = std::make_unique<SchedulerSession>(m_context, m_ports, m_metrics, epoch,
                                                   m_settings.timing, m_settings.hostTiming,
                                                   std::move(hooks));
    m_session->setConfiguration(m_configuration.configuration);
    m_session->start();
    m_metrics.setScheduling(true);
}

void JobService::endSession(const char *reason)
{
    if (!m_session)
        return;
    logEvent(LogLevel::Info, "scheduler-session-ended", {{"reason", reason}});
    m_session.reset();
    m_metrics.setScheduling(false);
}

std::string JobService::state() const
{
    Json::Value state(Json::objectValue);
    state["host"] = m_settings.host;
    state["instance"] = m_settings.instance;
    state["ready"] = ready();
    if (m_configuration.configuration)
        state["configuration_version"]
            = static_cast<Json::UInt64>(m_configuration.configuration->version);
    state["scheduler_lease_holder"] = m_leaseKeeper.observedHolder();
    const JobScheduler *scheduler = m_session ? m_session->scheduler() : nullptr;
    if (scheduler == nullptr)
        return writeIndentedJson(state);
    state["scheduler_epoch"] = static_cast<Json::UInt64>(m_sessionEpoch);
    for (const auto &[id, job] : scheduler->jobs()) {
        Json::Value entry(Json::objectValue);
        entry["queue"] = job.submitted().queue.name;
        entry["phase"] = std::string(jobPhaseNames.nameOf(job.phase()));
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
