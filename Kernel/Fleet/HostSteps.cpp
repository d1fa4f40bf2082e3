#include "HostSteps.h"

#include <Kernel/Fleet/FleetTiming.h>
#include <algorithm>

namespace Peridot {

namespace {

// Different jobs whose tasks must fail on a worker, with none running, before the worker and not
// the jobs is held responsible. A worker on probation needs one failure.
constexpr std::size_t failedJobsForQuarantine = 3;

// A task that failed on a worker and has run elsewhere for this long was not to blame itself. A job
// that fails everywhere never reaches it, so that its failures do not count against workers.
constexpr Duration runThatClearsJob = std::chrono::seconds(5);

// Failures older than this say nothing about the worker.
constexpr Duration failureMemory = std::chrono::minutes(10);

// A probe task that has run for this long ends the probation.
constexpr Duration probationRun = std::chrono::seconds(30);

constexpr unsigned longestQuarantineDoublings = 6;

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

DrainPurpose wantedPurpose(const FleetView &view, const FleetView::Host &host,
                           const WaveRecord &wave)
{
    if (!host.specification)
        return view.manifest() ? DrainPurpose::Removal : DrainPurpose::None;
    if (host.record && host.specification->pool != host.record->pool)
        return DrainPurpose::Move;
    if (host.drainRequest)
        return DrainPurpose::Operator;
    // A complete wave still covers hosts that had failed when it ended.
    const bool open = wave.state == WaveState::Running || wave.state == WaveState::Paused
                      || wave.state == WaveState::Complete;
    if (open && host.record && host.record->generation < wave.generation)
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
        return DrainBlocker::Report;
    if (executesTasks(host))
        return DrainBlocker::Tasks;
    if (host.hasBackendServer && now - host.observed < routingDelay + pool->longestDeadline)
        return DrainBlocker::RequestsInFlight;
    return DrainBlocker::None;
}

HostSteps::HostSteps(const FleetView &view, const PoolScope &scope, TimePoint now, LedgerStep &step)
    : m_view(view), m_now(now), m_step(step), m_health(view, *scope.pool, now)
{
}

void HostSteps::advance(const std::string &name)
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

void HostSteps::markUnavailable(const std::string &name, HostState state,
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

bool HostSteps::isToBlame(const std::string &name, const FleetView::Host &host,
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
                                       && m_now - task.since >= runThatClearsJob);
        const bool failsOnlyHere = task.failedHosts.size() == 1 && task.failures > 1;
        return runsElsewhere || failsOnlyHere;
    });
}

bool HostSteps::failsEveryTask(const std::string &name, const FleetView::Host &host) const
{
    const auto since = std::max(host.record->since, m_now - failureMemory);
    const auto recent
        = std::count_if(host.failures.begin(), host.failures.end(), [&](const auto &entry) {
              return entry.second > since && isToBlame(name, host, entry.first);
          });
    const std::size_t limit = host.record->quarantines > 0 ? 1 : failedJobsForQuarantine;
    if (static_cast<std::size_t>(recent) < limit)
        return false;
    // A task that has run for a while shows that the worker can execute tasks.
    return std::none_of(host.tasks.begin(), host.tasks.end(), [&](const auto &key) {
        const auto &task = m_view.job(key.first)->record->tasks[key.second];
        return m_now - task.since >= probationRun && !host.failures.contains(key.first);
    });
}

bool HostSteps::provedItself(const FleetView::Host &host) const
{
    return std::any_of(host.report->tasks.begin(), host.report->tasks.end(),
                       [&](const TaskReport &report) {
                           if (report.state == TaskState::Finished)
                               return true;
                           if (report.state != TaskState::Running)
                               return false;
                           const auto found = m_view.task(report.task);
                           return found && found->task().epoch == report.epoch
                                  && m_now - found->task().since >= probationRun;
                       });
}

void HostSteps::advanceActive(const std::string &name, const FleetView::Host &host)
{
    if (m_health.isLost(host))
        return markUnavailable(name, HostState::Failed, UnavailabilityReason::Failed);
    if (failsEveryTask(name, host)) {
        markUnavailable(name, HostState::Quarantined, UnavailabilityReason::Quarantined);
        auto &record = m_step.changeHost(name);
        const auto doublings = std::min(record.quarantines, longestQuarantineDoublings);
        record.probeAt = m_now + firstQuarantine * (1U << doublings);
        ++record.quarantines;
        return;
    }
    if (host.record->quarantines > 0 && m_health.isLive(host) && provedItself(host))
        m_step.changeHost(name).quarantines = 0;
}

void HostSteps::advanceDraining(const std::string &name, const FleetView::Host &host)
{
    if (m_health.isLost(host))
        return markUnavailable(name, HostState::Failed, UnavailabilityReason::Failed);
    const auto wanted = wantedPurpose(m_view, host, m_step.ledger().wave);
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

void HostSteps::reboot(const std::string &name, const FleetView::Host &host)
{
    m_step.enter(name, HostState::Rebooting, m_now);
    auto &record = m_step.changeHost(name);
    record.rebootFrom = host.report->bootCount;
    record.targetGeneration = m_step.ledger().wave.generation;
}

void HostSteps::advanceDrained(const std::string &name, const FleetView::Host &host)
{
    const auto wanted = wantedPurpose(m_view, host, m_step.ledger().wave);
    if (wanted == DrainPurpose::Removal && host.record->purpose == wanted) {
        m_step.removeHost(name);
        m_step.changeLedger().permits.erase(name);
        return;
    }
    if (wanted == host.record->purpose)
        return;
    if (wanted == DrainPurpose::None)
        return m_step.enter(name, HostState::Returning, m_now);
    // The host is empty already, so it serves the new purpose without another permit.
    m_step.changeLedger().permits[name].purpose = wanted;
    m_step.changeHost(name).purpose = wanted;
    if (wanted == DrainPurpose::Maintenance) {
        if (m_health.isLive(host))
            reboot(name, host);
        else
            m_step.enter(name, HostState::Returning, m_now);
    }
}

void HostSteps::advanceRebooting(const std::string &name, const FleetView::Host &host)
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

void HostSteps::advanceReturning(const std::string &name, const FleetView::Host &host)
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

void HostSteps::advanceFailed(const std::string &name, const FleetView::Host &host)
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
        // The decided reboot took place while the platform could not see the host.
        m_step.enter(name, HostState::Returning, m_now);
        m_step.changeHost(name).generation = host.record->targetGeneration;
        return;
    }
    const auto &ledger = m_step.ledger();
    // Maintenance before the return costs no further permit: the host counts as unavailable
    // already. It is skipped while failures alone exceed the budget.
    const bool fits = ledger.permits.size() + ledger.unavailable.size() <= ledger.budget;
    const bool due = ledger.wave.state != WaveState::Paused
                     && wantedPurpose(m_view, host, ledger.wave) == DrainPurpose::Maintenance;
    if (fits && due && !executesTasks(host)) {
        // The rows of the tasks that the host lost are released a few passes after it is seen
        // again, or when their leases end. Until then it counts as unavailable.
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

void HostSteps::advanceQuarantined(const std::string &name, const FleetView::Host &host)
{
    if (m_health.isLost(host))
        return markUnavailable(name, HostState::Failed, UnavailabilityReason::Failed);
    if (m_now >= host.record->probeAt)
        m_step.enter(name, HostState::Returning, m_now);
}

} // namespace Peridot
