#include "HostLifecycle.h"

#include <Kernel/Fleet/FleetTiming.h>
#include <algorithm>

namespace Peridot {

namespace {

// A worker is quarantined when tasks of this many different jobs failed on it and no task of
// another job has run on it for a while: the worker is then the likely cause. On probation, one
// failed job is sufficient.
constexpr std::size_t failedJobsForQuarantine = 3;

// When a task that failed on a worker runs for this long on another host, the failure counts
// against the worker. A job that fails everywhere never runs for so long, so that its failures do
// not count against workers.
constexpr Duration healthyRunTime = std::chrono::seconds(5);

// Failures older than this do not count against the worker.
constexpr Duration failureWindow = std::chrono::minutes(10);

// A task that runs for this long ends the probation of its worker.
constexpr Duration probationRunTime = std::chrono::seconds(30);

constexpr unsigned maximumQuarantineDoublings = 6;

bool isExecuting(TaskState state)
{
    return state == TaskState::Running || state == TaskState::Throttled;
}

bool executesTasks(const FleetView::Host &host)
{
    return std::any_of(host.report->tasks.begin(), host.report->tasks.end(),
                       [](const TaskReport &task) { return isExecuting(task.state); });
}

} // namespace

DrainPurpose requiredDrainPurpose(const FleetView &view, const FleetView::Host &host,
                                  const WaveRecord &wave)
{
    if (!host.specification)
        return view.manifest() ? DrainPurpose::Removal : DrainPurpose::None;
    if (host.record && host.specification->pool != host.record->pool)
        return DrainPurpose::Move;
    if (host.drainRequest)
        return DrainPurpose::Operator;
    // A complete wave still applies to hosts that had failed when it ended.
    const bool waveApplies = wave.state == WaveState::Running || wave.state == WaveState::Paused
                             || wave.state == WaveState::Complete;
    if (waveApplies && host.record && host.record->generation < wave.generation)
        return DrainPurpose::Maintenance;
    return DrainPurpose::None;
}

DrainBlocker drainBlocker(const FleetView &view, const FleetView::Host &host, TimePoint now)
{
    const auto *pool = view.pool(host.record->pool);
    const auto &loans = pool->placement.loans;
    const bool lent = std::any_of(loans.begin(), loans.end(), [&](const auto &loan) {
        return loan.second == host.record->name;
    });
    if (!host.tasks.empty() || lent)
        return DrainBlocker::Tasks;
    if (view.isSuspected(host, now) || host.report->lastSeen < host.observed)
        return DrainBlocker::NoRecentReport;
    if (executesTasks(host))
        return DrainBlocker::Tasks;
    if (host.hasBackendServer && now - host.observed < routingDelay + pool->longestDeadline)
        return DrainBlocker::RequestsInFlight;
    return DrainBlocker::None;
}

HostLifecycle::HostLifecycle(const FleetView &view, const PoolScope &scope, TimePoint now,
                             LedgerStep &step)
    : m_view(view), m_now(now), m_step(step), m_health(view, *scope.pool, now)
{
}

void HostLifecycle::advance(const std::string &name)
{
    const auto &host = *m_view.host(name);
    switch (host.record->state) {
    case HostState::Active:
        return advanceActive(name, host);
    case HostState::Draining:
        return advanceDraining(name, host);
    case HostState::Drained:
        return advanceDrained(name, host);
    case HostState::Rebooting:
        return advanceRebooting(name, host);
    case HostState::Returning:
        return advanceReturning(name, host);
    case HostState::Failed:
        return advanceFailed(name, host);
    case HostState::Quarantined:
        return advanceQuarantined(name, host);
    }
}

void HostLifecycle::markUnavailable(const std::string &name, HostState state,
                                    UnavailabilityReason reason)
{
    m_step.enter(name, state, m_now);
    auto &record = m_step.changeHost(name);
    record.purpose = DrainPurpose::None;
    auto &ledger = m_step.changeLedger();
    ledger.permits.erase(name);
    ledger.incomingHosts.erase(name);
    ledger.unavailable.try_emplace(name, Unavailability{reason, m_now});
}

bool HostLifecycle::indicatesWorkerFault(const std::string &name, const FleetView::Host &host,
                                         const std::string &job) const
{
    const auto *entry = m_view.job(job);
    if (!entry || !entry->record)
        return false;
    const auto &tasks = entry->record->tasks;
    return std::any_of(tasks.begin(), tasks.end(), [&](const TaskRecord &task) {
        if (task.failedHosts.empty() || task.failedHosts.back() != name
            || task.failedAt <= host.record->since)
            return false;
        const bool runsElsewhere = task.phase == TaskPhase::Finished
                                   || (task.phase == TaskPhase::Placed && task.host != name
                                       && m_now - task.since >= healthyRunTime);
        const bool failsOnlyHere = task.failedHosts.size() == 1 && task.failures > 1;
        return runsElsewhere || failsOnlyHere;
    });
}

bool HostLifecycle::shouldQuarantine(const std::string &name, const FleetView::Host &host) const
{
    const auto since = std::max(host.record->since, m_now - failureWindow);
    const auto workerFaults
        = std::count_if(host.failures.begin(), host.failures.end(), [&](const auto &entry) {
              return entry.second > since && indicatesWorkerFault(name, host, entry.first);
          });
    const std::size_t faultLimit = host.record->quarantines > 0 ? 1 : failedJobsForQuarantine;
    if (static_cast<std::size_t>(workerFaults) < faultLimit)
        return false;
    // A task of a job that never failed here shows that the worker can execute tasks when it has
    // run for this long.
    return std::none_of(host.tasks.begin(), host.tasks.end(), [&](const auto &key) {
        const auto &task = m_view.job(key.first)->record->tasks[key.second];
        return m_now - task.since >= probationRunTime && !host.failures.contains(key.first);
    });
}

bool HostLifecycle::passedProbation(const FleetView::Host &host) const
{
    return std::any_of(host.report->tasks.begin(), host.report->tasks.end(),
                       [&](const TaskReport &report) {
                           if (report.state == TaskState::Finished)
                               return true;
                           if (report.state != TaskState::Running)
                               return false;
                           const auto found = m_view.task(report.task);
                           return found && found->task().epoch == report.epoch
                                  && m_now - found->task().since >= probationRunTime;
                       });
}

void HostLifecycle::advanceActive(const std::string &name, const FleetView::Host &host)
{
    if (m_health.isLost(host))
        return markUnavailable(name, HostState::Failed, UnavailabilityReason::Failed);
    if (shouldQuarantine(name, host)) {
        markUnavailable(name, HostState::Quarantined, UnavailabilityReason::Quarantined);
        auto &record = m_step.changeHost(name);
        const auto doublings = std::min(record.quarantines, maximumQuarantineDoublings);
        record.probeAt = m_now + firstQuarantine * (1U << doublings);
        ++record.quarantines;
        return;
    }
    if (host.record->quarantines > 0 && m_health.isLive(host) && passedProbation(host))
        m_step.changeHost(name).quarantines = 0;
}

void HostLifecycle::advanceDraining(const std::string &name, const FleetView::Host &host)
{
    if (m_health.isLost(host))
        return markUnavailable(name, HostState::Failed, UnavailabilityReason::Failed);
    const auto wanted = requiredDrainPurpose(m_view, host, m_step.ledger().wave);
    if (wanted == DrainPurpose::None) {
        m_step.enter(name, HostState::Active, m_now);
        m_step.changeHost(name).purpose = DrainPurpose::None;
        m_step.changeLedger().permits.erase(name);
        return;
    }
    if (wanted != host.record->purpose) {
        m_step.changeHost(name).purpose = wanted;
        m_step.changeLedger().permits[name].purpose = wanted;
        return;
    }
    if (drainBlocker(m_view, host, m_now) != DrainBlocker::None)
        return;
    if (wanted == DrainPurpose::Maintenance)
        return reboot(name, host);
    m_step.enter(name, HostState::Drained, m_now);
}

void HostLifecycle::reboot(const std::string &name, const FleetView::Host &host)
{
    m_step.enter(name, HostState::Rebooting, m_now);
    auto &record = m_step.changeHost(name);
    record.rebootFrom = host.report->bootCount;
    record.targetGeneration = m_step.ledger().wave.generation;
}

void HostLifecycle::advanceDrained(const std::string &name, const FleetView::Host &host)
{
    const auto wanted = requiredDrainPurpose(m_view, host, m_step.ledger().wave);
    if (wanted == DrainPurpose::Removal && host.record->purpose == wanted) {
        m_step.removeHost(name);
        m_step.changeLedger().permits.erase(name);
        return;
    }
    if (wanted == host.record->purpose)
        return;
    if (wanted == DrainPurpose::None)
        return m_step.enter(name, HostState::Returning, m_now);
    // The host is already drained, so it keeps its permit for the new purpose.
    m_step.changeLedger().permits[name].purpose = wanted;
    m_step.changeHost(name).purpose = wanted;
    if (wanted == DrainPurpose::Maintenance) {
        if (m_health.isLive(host))
            reboot(name, host);
        else
            m_step.enter(name, HostState::Returning, m_now);
    }
}

void HostLifecycle::advanceRebooting(const std::string &name, const FleetView::Host &host)
{
    if (m_health.isLive(host) && host.report->bootCount > host.record->rebootFrom) {
        m_step.enter(name, HostState::Returning, m_now);
        auto &record = m_step.changeHost(name);
        record.generation = std::max(record.generation, record.targetGeneration);
        return;
    }
    if (m_now - host.record->since > m_view.manifest()->maintenance.rebootTimeout)
        markUnavailable(name, HostState::Failed, UnavailabilityReason::Failed);
}

void HostLifecycle::advanceReturning(const std::string &name, const FleetView::Host &host)
{
    if (m_health.isLost(host))
        return markUnavailable(name, HostState::Failed, UnavailabilityReason::Failed);
    if (!m_health.isLive(host) || m_now - host.record->since < returnDelay)
        return;
    m_step.enter(name, HostState::Active, m_now);
    m_step.changeHost(name).purpose = DrainPurpose::None;
    auto &ledger = m_step.changeLedger();
    ledger.permits.erase(name);
    ledger.unavailable.erase(name);
    ledger.incomingHosts.erase(name);
}

void HostLifecycle::advanceFailed(const std::string &name, const FleetView::Host &host)
{
    if (!host.specification && host.tasks.empty()) {
        m_step.removeHost(name);
        m_step.changeLedger().unavailable.erase(name);
        return;
    }
    if (!m_health.isLive(host))
        return;
    if (host.record->targetGeneration > host.record->generation
        && host.report->bootCount > host.record->rebootFrom) {
        // The planned reboot took place while the platform received no reports from the host.
        m_step.enter(name, HostState::Returning, m_now);
        m_step.changeHost(name).generation = host.record->targetGeneration;
        return;
    }
    const auto &ledger = m_step.ledger();
    // Maintaining the host before it returns uses no more of the budget, because the host already
    // counts as unavailable. It is skipped while more hosts are unavailable than the budget allows.
    const bool withinBudget = ledger.permits.size() + ledger.unavailable.size() <= ledger.budget;
    const bool maintenanceDue
        = ledger.wave.state != WaveState::Paused
          && requiredDrainPurpose(m_view, host, ledger.wave) == DrainPurpose::Maintenance;
    if (withinBudget && maintenanceDue && !executesTasks(host)) {
        // The rows of tasks that the host no longer executes are released a few passes after it
        // reports again, or when their leases end. Until then it stays failed.
        if (drainBlocker(m_view, host, m_now) != DrainBlocker::None)
            return;
        reboot(name, host);
        m_step.changeHost(name).purpose = DrainPurpose::Maintenance;
        auto &changed = m_step.changeLedger();
        changed.unavailable.erase(name);
        changed.permits[name] = {DrainPurpose::Maintenance, m_now};
        return;
    }
    m_step.enter(name, HostState::Returning, m_now);
}

void HostLifecycle::advanceQuarantined(const std::string &name, const FleetView::Host &host)
{
    if (m_health.isLost(host))
        return markUnavailable(name, HostState::Failed, UnavailabilityReason::Failed);
    if (m_now >= host.record->probeAt)
        m_step.enter(name, HostState::Returning, m_now);
}

} // namespace Peridot
