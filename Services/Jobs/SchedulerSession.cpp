#include "SchedulerSession.h"

#include "PlanPause.h"
#include <LibBase/Log.h>
#include <asio/post.hpp>
#include <utility>

namespace Peridot::Jobs {

namespace {

// Orders that become due at a certain time are sent at most this much late.
constexpr std::chrono::milliseconds tickInterval{50};
// A worker that leaves must get no new runs after two seconds, so registrations are read more
// often.
constexpr std::chrono::milliseconds workerReadInterval{500};
// The counts that callers get may be up to two seconds old.
constexpr std::chrono::milliseconds countWriteInterval{1000};
// The pause between polls of a worker is this multiple of the delay of background work.
constexpr int pollPauseFactor = 4;
// A scheduler whose background work has been late by this much counts as behind for a while.
constexpr std::chrono::milliseconds notableDelay{100};
constexpr std::chrono::seconds behindPeriod{10};
// Polls extend leases of six seconds.
constexpr std::chrono::milliseconds maximumPollPause{1000};
constexpr std::chrono::milliseconds retryDelay{100};
constexpr std::size_t scanPage = 500; ///< rows

} // namespace

SchedulerSession::SchedulerSession(asio::io_context &context, const PlatformPorts &ports,
                                   JobMetrics &metrics, std::uint64_t epoch, SchedulerTiming timing,
                                   HostSessionTiming hostTiming,
                                   std::unique_ptr<JobRowReplica> replica, Hooks hooks)
    : m_context(context), m_ports(ports), m_metrics(metrics), m_epoch(epoch), m_timing(timing),
      m_hostTiming(hostTiming), m_hooks(std::move(hooks)), m_replica(std::move(replica)),
      m_startRetryTimer(context), m_tickTimer(context), m_planTimer(context),
      m_workerTimer(context), m_countTimer(context), m_loadReport(metrics)
{
}

SchedulerSession::~SchedulerSession() = default;

void SchedulerSession::start()
{
    claimEpoch();
}

void SchedulerSession::setConfiguration(std::shared_ptr<const JobConfiguration> configuration)
{
    m_configuration = std::move(configuration);
    if (!m_scheduler)
        return;
    m_scheduler->setConfiguration(m_configuration);
    schedulePlan();
}

void SchedulerSession::claimEpoch()
{
    m_ports.urgentStore->read({std::string(progressEpochKey), std::string(hostsEpochKey)},
                              [this, alive = std::weak_ptr(m_alive)](const ReadResult &result) {
                                  if (!alive.expired())
                                      epochsRead(result);
                              });
}

void SchedulerSession::epochsRead(const ReadResult &result)
{
    if (result.status != ReadStatus::Ok)
        return m_startRetryTimer.runAfter(retryDelay, [this] { claimEpoch(); });
    const auto epochOf = [](const Row &row) {
        return std::strtoull(row.value.c_str(), nullptr, 10);
    };
    const auto claim = std::make_shared<EpochClaim>();
    std::vector<Row> outdated;
    for (const Row &row : result.rows) {
        if (epochOf(row) > m_epoch)
            return reportFenced();
        if (epochOf(row) < m_epoch)
            outdated.push_back(row);
        claim->versions[row.key] = row.version;
    }
    claim->missing = outdated.size();
    for (const Row &row : outdated)
        writeEpoch(row, claim);
    if (outdated.empty()) // written by this session, but the answers were lost
        epochClaimed(*claim);
}

void SchedulerSession::writeEpoch(const Row &row, const std::shared_ptr<EpochClaim> &claim)
{
    // The rows are in different partitions, so that each of them takes a transaction.
    Transaction transaction;
    transaction.operationId = row.key + '/' + std::to_string(m_epoch);
    transaction.checks = {{row.key, row.version}};
    transaction.writes = {{row.key, std::to_string(m_epoch)}};
    m_ports.urgentStore->commit(
        transaction,
        [this, key = row.key, claim, alive = std::weak_ptr(m_alive)](const CommitResult &result) {
            if (alive.expired())
                return;
            claim->failed |= result.status != CommitStatus::Committed;
            claim->versions[key] = result.revision;
            if (--claim->missing > 0)
                return;
            if (claim->failed)
                return m_startRetryTimer.runAfter(retryDelay, [this] { claimEpoch(); });
            epochClaimed(*claim);
        });
}

void SchedulerSession::epochClaimed(const EpochClaim &claim)
{
    logEvent(LogLevel::Info, "epoch-claimed", {{"epoch", m_epoch}});
    m_progressEpochVersion = claim.versions.at(std::string(progressEpochKey));
    m_hostsEpochVersion = claim.versions.at(std::string(hostsEpochKey));
    // From the claim on, no earlier scheduler changes a row, so what was committed before is final.
    m_replica->whenCurrentSince(m_hooks.clock(), [this] { beginLoading(); });
    beginTakeoverPolls();
}

SchedulerHooks SchedulerSession::schedulerHooks()
{
    SchedulerHooks hooks;
    hooks.orders = m_ports.connectWorkers(replyHooks());
    hooks.fenced = [this] {
        reportFenced();
    };
    hooks.observe = [this](const SchedulerEvent &event) {
        m_metrics.countEvent(event.kind);
        logEvent(LogLevel::Info, event.kind,
                 {{"job", event.run.task.job},
                  {"task", event.run.run == 0 ? std::string() : event.run.task.text()},
                  {"run", event.run.run},
                  {"worker", event.worker},
                  {"detail", event.detail}});
    };
    return hooks;
}

void SchedulerSession::beginHostSession()
{
    HostSession::Hooks hooks;
    hooks.clock = m_hooks.clock;
    hooks.fenced = [this] {
        reportFenced();
    };
    hooks.leaseHeld = m_hooks.leaseHeld;
    hooks.waves = m_hooks.waves;
    hooks.storeTime = [this] {
        return m_storeClock.at(m_hooks.clock());
    };
    hooks.observe = [this](std::string_view kind) {
        m_metrics.countEvent(kind);
    };
    hooks.refreshWorkers = [this] {
        if (!m_readingWorkers)
            readWorkers({});
    };
    const RowCheck epochCheck{std::string(hostsEpochKey), m_hostsEpochVersion};
    m_hostSession = std::make_unique<HostSession>(m_context, m_ports, m_epoch, epochCheck,
                                                  m_hostTiming, std::move(hooks));
    m_hostSession->start();
    m_admission = std::make_unique<AdmissionPublisher>(m_ports, m_epoch, epochCheck,
                                                       m_hooks.admissionLimits());
}

void SchedulerSession::readWorkers(const std::string &startAfter)
{
    m_readingWorkers = true;
    if (startAfter.empty())
        m_scannedWorkers.clear();
    // The rows of the jobs use all other connections until they are loaded.
    Store &store = m_scheduling ? *m_ports.store : *m_ports.urgentStore;
    store.scan(m_ports.workerPrefix, startAfter, scanPage,
               [this, alive = std::weak_ptr(m_alive)](const ReadResult &result) {
                   if (!alive.expired())
                       workerRowsRead(result);
               });
}

void SchedulerSession::workerRowsRead(const ReadResult &result)
{
    m_storeClock.update(result.storeMilliseconds, m_hooks.clock());
    // After a failed read, the scheduler keeps the workers of the last complete list.
    if (result.status == ReadStatus::Ok) {
        for (const Row &row : result.rows) {
            if (auto worker = m_ports.decodeWorker(row)) {
                m_ports.setWorkerAddress(*worker);
                m_scannedWorkers.push_back(std::move(*worker));
            }
        }
        if (result.more && !result.rows.empty())
            return readWorkers(result.rows.back().key);
        m_listedWorkers = std::move(m_scannedWorkers);
        m_workersListedAt = m_hooks.clock();
        workersListed();
    }
    m_readingWorkers = false;
    m_workerTimer.runAfter(workerReadInterval, [this] { readWorkers({}); });
}

void SchedulerSession::workersListed()
{
    if (!m_scheduling)
        return m_takeoverLeases->setWorkers(m_listedWorkers);
    m_scheduler->setWorkers(m_hooks.clock(), m_listedWorkers);
    schedulePlan();
}

WorkerReplyHooks SchedulerSession::replyHooks()
{
    // Replies that arrive after the end of this session are ignored.
    const auto forwardTo = [this](auto handler) {
        return
            [this, handler, alive = std::weak_ptr(m_alive)](const auto &order, const auto &reply) {
                if (alive.expired())
                    return;
                if constexpr (requires { reply.waited; })
                    m_loadReport.answerHandled(reply.waited);
                ((*m_scheduler).*handler)(m_hooks.clock(), order, reply);
                schedulePlan();
            };
    };
    return {forwardTo(&JobScheduler::startFinished), forwardTo(&JobScheduler::stopFinished),
            forwardTo(&JobScheduler::throttleFinished), forwardTo(&JobScheduler::pollFinished),
            forwardTo(&JobScheduler::adviceFinished)};
}

void SchedulerSession::schedulePlan()
{
    if (!m_scheduling || std::exchange(m_planScheduled, true))
        return;
    if (m_hooks.clock() < m_nextPlanAt)
        return m_planTimer.runAfter(m_nextPlanAt - m_hooks.clock(), [this] { postPlan(); });
    postPlan();
}

void SchedulerSession::postPlan()
{
    runInBackground([this] {
        m_planScheduled = false;
        plan();
    });
}

void SchedulerSession::runInBackground(std::function<void()> step)
{
    m_ports.tasks->post(TaskPriority::Background,
                        [step = std::move(step), alive = std::weak_ptr(m_alive)] {
                            if (!alive.expired())
                                step();
                        });
}

void SchedulerSession::plan()
{
    if (m_fencedReported)
        return;
    const TimePoint begin = m_hooks.clock();
    if (m_configuration)
        m_hostSession->plan(*m_scheduler, *m_configuration);
    const bool complete = m_scheduler->plan(m_hooks.clock());
    commitTransaction();
    const TimePoint end = m_hooks.clock();
    m_loadReport.passFinished(end - begin);
    if (!complete)
        return schedulePlan();
    m_nextPlanAt = end + planPauseAfter(end - begin);
}

void SchedulerSession::commitTransaction()
{
    const auto transaction = m_scheduler->takeTransaction(m_hooks.clock());
    if (!transaction)
        return;
    m_ports.store->commit(*transaction,
                          [this, alive = std::weak_ptr(m_alive)](const CommitResult &result) {
                              if (alive.expired())
                                  return;
                              m_scheduler->transactionFinished(m_hooks.clock(), result);
                              if (!m_fencedReported && m_scheduler->hasFullTransaction())
                                  commitTransaction();
                              schedulePlan();
                          });
}

void SchedulerSession::commitCleanup()
{
    const auto transaction = m_scheduler->takeCleanup(m_hooks.clock());
    if (!transaction)
        return;
    m_ports.store->commit(*transaction,
                          [this, alive = std::weak_ptr(m_alive)](const CommitResult &result) {
                              if (!alive.expired())
                                  m_scheduler->cleanupFinished(m_hooks.clock(), result);
                          });
}

void SchedulerSession::writePendingCounts()
{
    // The counts are as old as the knowledge of the rows of jobs.
    const PendingCounts counts{m_storeClock.at(m_replica->jobsCurrentSince()),
                               m_scheduler->pendingJobs()};
    m_countTimer.runAfter(countWriteInterval, [this] { writePendingCounts(); });
    for (const auto &[queue, count] : counts.byQueue)
        m_metrics.setWaitingJobs(queue, count);
    m_metrics.setQuotaWaits(m_scheduler->tasksWaitingForQuota());
    Transaction transaction;
    transaction.operationId = "pending/" + std::to_string(m_epoch) + '/'
                              + std::to_string(m_storeClock.at(m_hooks.clock()));
    transaction.checks = {{std::string(hostsEpochKey), m_hostsEpochVersion}};
    transaction.writes = {{std::string(pendingJobsKey), encodePendingCounts(counts)}};
    m_ports.store->commit(transaction,
                          [this, alive = std::weak_ptr(m_alive)](const CommitResult &result) {
                              if (!alive.expired())
                                  m_storeClock.update(result.storeMilliseconds, m_hooks.clock());
                          });
}

void SchedulerSession::tick()
{
    const TimePoint now = m_hooks.clock();
    m_tickTimer.runAfter(tickInterval, [this, dueAt = now + tickInterval] {
        m_loadReport.timerRan(dueAt, m_hooks.clock());
        tick();
    });
    // Polls extend the leases of workers, so that they don't wait for the planning.
    if (!m_fencedReported)
        m_scheduler->sendDuePolls(now);
    updateAdmission();
    if (std::exchange(m_upkeepPosted, true))
        return;
    runInBackground([this, postedAt = now] {
        m_upkeepPosted = false;
        const Duration delay = m_hooks.clock() - postedAt;
        m_loadReport.backgroundRan(delay);
        if (delay >= notableDelay)
            m_behindUntil = m_hooks.clock() + behindPeriod;
        m_scheduler->setPollPause(std::min<Duration>(delay * pollPauseFactor, maximumPollPause));
        addFinishedJobs();
        commitCleanup();
        schedulePlan();
        reportLoad();
    });
}

void SchedulerSession::updateAdmission()
{
    const TimePoint now = m_hooks.clock();
    if (!m_admission->isDue(now) || m_fencedReported)
        return;
    SchedulerDemand demand = m_scheduler->demand(now);
    demand.schedulerIsBehind = now < m_behindUntil;
    if (demand.weights.empty())
        m_offered.reset();
    else if (!m_offered)
        m_offered = std::make_unique<OfferedFollower>(m_context, m_ports, m_metrics, m_hooks.clock);
    if (m_offered)
        m_offered->load().addTo(demand, now);
    m_admission->update(now, demand);
}

void SchedulerSession::reportLoad()
{
    const TimePoint now = m_hooks.clock();
    if (m_loadReport.isDue(now))
        m_loadReport.report(now, m_scheduler->backlog(now), now - m_replica->jobsCurrentSince());
}

void SchedulerSession::reportFenced()
{
    if (std::exchange(m_fencedReported, true))
        return;
    logEvent(LogLevel::Warning, "scheduler-deposed", {{"epoch", m_epoch}});
    // The owner destroys this object in the hook, and the caller of this function may be its
    // scheduler, so the hook is called later.
    asio::post(m_context, m_hooks.fenced);
}

} // namespace Peridot::Jobs
