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
// Processors of the fastest host so far. In the table of the lease, so that one call reads both.
constexpr std::string_view fastestHostKey = "lease/fastest-host";
// A successor goes on at most this long after the holder vanished, plus one observation.
constexpr std::chrono::milliseconds leaseDuration{2000};
constexpr std::chrono::milliseconds leaseTick{50};
constexpr std::chrono::milliseconds observePeriod{500};
// Faster hosts see a free lease within one period, and need a call to take it.
constexpr std::chrono::milliseconds slowHostPause{900};
constexpr std::chrono::milliseconds storeRetry{200};
// After an outage of the store its former holder, which knows the jobs, is let go first.
constexpr std::chrono::milliseconds outageCourtesy{1000};
// One call of the configuration's feed lasts half a second; three without an answer make a process
// unready, so that callers are sent to others.
constexpr std::chrono::milliseconds readyLimit{2500};
constexpr std::chrono::milliseconds configurationWait{500};

MembershipTiming leaseTiming()
{
    MembershipTiming timing = membershipTimingFor(leaseDuration);
    timing.storeRetry = storeRetry;
    return timing;
}

LeaseKeeperSettings leaseSettings(const std::string &host, const std::string &instance)
{
    LeaseKeeperSettings settings;
    // A host runs one process of this service at a time.
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

std::optional<double> processorsOf(const Row &row)
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
                  [this](const Row &row) { configurationRow(row); },
                  [this](const JobCall &call, CallOutcome outcome, Duration duration) {
                      m_metrics.recordAnswer(call, outcome, duration);
                  }}),
      m_lease(leaseSettings(m_settings.host, m_settings.instance)),
      m_takeoverPolicy(m_settings.processors, slowHostPause), m_leaseTimer(context),
      m_observeTimer(context)
{
}

void JobService::start()
{
    followConfiguration();
    driveLease();
    observeLease();
}

void JobService::beginStop()
{
    m_stopping = true;
    endSession("stopping");
    m_lease.release();
}

void JobService::handle(JobCall call, JobFrontend::Callback callback)
{
    m_frontend.handle(std::move(call), std::move(callback));
}

std::shared_ptr<const JobConfiguration> JobService::configuration() const
{
    return m_published.load();
}

bool JobService::ready() const
{
    const TimePoint reached{Duration(m_storeReachedAt.load())};
    return !m_stopping && m_published.load() != nullptr && m_clock() < reached + readyLimit;
}

void JobService::followConfiguration()
{
    RowFollowerSettings settings;
    settings.prefix = m_ports.operatorPrefix;
    settings.wait = configurationWait;
    RowFollower::Hooks hooks;
    hooks.onRows = [this](const std::vector<Row> &rows) {
        for (const Row &row : rows)
            operatorRow(row);
    };
    hooks.onChange = [this](const RowChange &change) {
        if (!change.removed)
            operatorRow(change.row);
    };
    hooks.onCurrent = [this](TimePoint requestedAt) {
        m_storeReachedAt = requestedAt.time_since_epoch().count();
    };
    m_operatorFollower = std::make_unique<RowFollower>(m_context, *m_ports.store, *m_ports.feed,
                                                       settings, m_clock, std::move(hooks));
    m_operatorFollower->start();
}

void JobService::operatorRow(const Row &row)
{
    const auto wave = m_ports.decodeWave(row);
    if (!wave)
        return configurationRow(row);
    MaintenanceWave &known = m_waves.try_emplace(wave->number, *wave).first->second;
    if (known.requestedAt == TimePoint{})
        known.requestedAt = m_clock();
}

void JobService::configurationRow(const Row &row)
{
    // Rows arrive by the feed and by conflicts of transactions, in any order.
    if (row.version <= m_configuration.row.expected)
        return;
    const auto configuration = m_ports.decodeConfiguration(row);
    if (!configuration)
        return;
    m_configuration.configuration = configuration;
    m_configuration.row = {row.key, row.version};
    m_published = configuration;
    m_metrics.setConfigurationVersion(configuration->version);
    logEvent(LogLevel::Info, "configuration-in-force",
             {{"version", configuration->version},
              {"queues", static_cast<std::uint64_t>(configuration->queues.size())}});
    if (m_session)
        m_session->setConfiguration(configuration);
}

void JobService::driveLease()
{
    if (auto next = m_lease.takeRequest(m_clock()))
        request(std::move(*next));
    checkLease();
    runAfter(m_leaseTimer, leaseTick, [this] { driveLease(); });
}

void JobService::request(StoreRequest request)
{
    if (const auto *transaction = std::get_if<Transaction>(&request)) {
        m_ports.store->commit(*transaction, [this](const CommitResult &result) {
            m_lease.finish(m_clock(), result);
            checkLease();
        });
        return;
    }
    const auto &keys = std::get<ReadRows>(request).keys;
    m_ports.store->read(keys, [this](const ReadResult &result) {
        m_lease.finish(m_clock(), result);
        checkLease();
    });
}

void JobService::observeLease()
{
    // A holder learns of the row by its own renewals.
    if (!m_lease.held(m_clock())) {
        m_ports.store->read({std::string(fastestHostKey), leaseKey},
                            [this](const ReadResult &result) { leaseRead(result); });
    }
    runAfter(m_observeTimer, observePeriod, [this] { observeLease(); });
}

void JobService::leaseRead(const ReadResult &result)
{
    const TimePoint now = m_clock();
    if (m_lease.held(now))
        return;
    if (result.status == ReadStatus::Ok) {
        const Row &fastest = result.rows.front();
        m_lease.observe(now, result.rows.back());
        m_takeoverPolicy.observe(now, m_lease.isFree(now), processorsOf(fastest));
        if (m_takeoverPolicy.isFastest())
            publishProcessors(fastest);
    } else {
        m_storeFailedAt = now;
    }
    const bool courtesy = m_storeFailedAt && now < *m_storeFailedAt + outageCourtesy;
    m_lease.setWanted(!courtesy && !m_stopping && m_takeoverPolicy.mayAcquire(now));
}

void JobService::publishProcessors(const Row &row)
{
    Transaction transaction;
    transaction.operationId = m_settings.instance + "/processors";
    transaction.checks = {{row.key, row.version}};
    transaction.writes = {{row.key, std::to_string(m_settings.processors)}};
    // Without success the next observation sees the row as it is, and tries again.
    m_ports.store->commit(transaction, [](const CommitResult &) {});
}

void JobService::checkLease()
{
    const TimePoint now = m_clock();
    const auto held = m_lease.held(now);
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
    if (!m_lease.observedHolder().empty() && m_lease.observedHolder() != m_settings.instance)
        return endSession("lease-taken");
    // Without the store the scheduler goes on for a while: workers reject it once a successor,
    // which has a higher epoch, has spoken to them.
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
        const auto held = m_lease.held(m_clock());
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
    state["scheduler_lease_holder"] = m_lease.observedHolder();
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
