#include <Kernel/Fleet/Explain.h>

#include "HostLifecycle.h"
#include "PermitPlanner.h"
#include <Kernel/Fleet/FleetKeys.h>
#include <fmt/format.h>

namespace Peridot {

namespace {

HostWait waitFor(PermitPlanner::Blocker blocker)
{
    switch (blocker) {
    case PermitPlanner::Blocker::None:
        return HostWait::NextPass;
    case PermitPlanner::Blocker::Budget:
        return HostWait::Budget;
    case PermitPlanner::Blocker::CorrelatedFailure:
        return HostWait::CorrelatedFailure;
    case PermitPlanner::Blocker::FailureDomainSpread:
        return HostWait::FailureDomainSpread;
    case PermitPlanner::Blocker::WavePaused:
        return HostWait::WavePaused;
    case PermitPlanner::Blocker::HostSuspected:
        return HostWait::HostSuspected;
    }
    return HostWait::NextPass;
}

HostWait waitFor(DrainBlocker blocker)
{
    switch (blocker) {
    case DrainBlocker::None:
        return HostWait::NextPass;
    case DrainBlocker::Tasks:
        return HostWait::Tasks;
    case DrainBlocker::RequestsInFlight:
        return HostWait::RequestsInFlight;
    case DrainBlocker::NoRecentReport:
        return HostWait::HostSuspected;
    }
    return HostWait::NextPass;
}

void explainActive(const FleetView &view, const PoolScope &scope, const std::string &name,
                   TimePoint now, HostExplanation &explanation)
{
    if (explanation.purpose == DrainPurpose::None)
        return;
    LedgerStep step(view, scope);
    const PermitPlanner planner(view, scope, now, step);
    explanation.wait = waitFor(planner.blocker(name, explanation.purpose));
    explanation.detail = fmt::format("{} of {} hosts of pool {} count as unavailable",
                                     planner.usedBudget(), planner.budget(), scope.name);
}

} // namespace

Result<JobExplanation> explainJob(const FleetView &view, const std::string &name)
{
    const auto *job = view.job(name);
    if (!job)
        return makeError(ErrorCode::NotFound, rowKey(jobPrefix, name));
    JobExplanation explanation;
    if (!job->record) {
        explanation.reason = PendingReason::NotYetPlanned;
        return explanation;
    }
    const auto &record = *job->record;
    explanation.state = record.state;
    explanation.reason = record.reason;
    explanation.detail = record.detail;
    for (std::size_t index = 0; index < record.tasks.size(); ++index) {
        const auto &task = record.tasks[index];
        explanation.tasks.push_back(
            fmt::format("{} {} host={} epoch={} failures={}", taskName(name, index),
                        taskPhaseNames.nameOf(task.phase), task.host, task.epoch, task.failures));
        // A task on a failed host waits for the end of its lease, whatever reason the job row
        // contains.
        const auto *host = occupiesHost(task) ? view.host(task.host) : nullptr;
        if (host && host->record && host->record->state == HostState::Failed)
            explanation.reason = PendingReason::PreviousAttemptUnconfirmed;
    }
    return explanation;
}

Result<HostExplanation> explainHost(const FleetView &view, const std::string &name, TimePoint now)
{
    const auto *host = view.host(name);
    if (!host || !host->record)
        return makeError(ErrorCode::NotFound, rowKey(hostPrefix, name));
    const auto &record = *host->record;
    const auto *pool = view.pool(record.pool);
    HostExplanation explanation;
    explanation.state = record.state;
    if (!pool->record) {
        explanation.wait = HostWait::LedgerMissing;
        return explanation;
    }
    explanation.purpose = record.purpose != DrainPurpose::None
                              ? record.purpose
                              : requiredDrainPurpose(view, *host, pool->record->wave);
    if (pool->record->configurationVersion > view.manifestVersion()) {
        explanation.wait = HostWait::ManifestTooOld;
        return explanation;
    }
    const PoolScope scope{record.pool, nullptr, pool};
    switch (record.state) {
    case HostState::Active:
        explainActive(view, scope, name, now, explanation);
        break;
    case HostState::Draining:
        explanation.wait = waitFor(drainBlocker(view, *host, now));
        explanation.detail = fmt::format("{} tasks by their rows", host->tasks.size());
        break;
    case HostState::Drained:
        explanation.wait = HostWait::Done;
        break;
    case HostState::Rebooting:
        explanation.wait = HostWait::Reboot;
        break;
    case HostState::Returning:
        explanation.wait = HostWait::ReturnCheck;
        break;
    case HostState::Failed:
    case HostState::Quarantined:
        explanation.wait = HostWait::HostFailed;
        break;
    }
    return explanation;
}

} // namespace Peridot
