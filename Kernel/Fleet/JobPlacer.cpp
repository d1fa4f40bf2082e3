#include "JobPlacer.h"

#include "HostLifecycle.h"
#include "JobSupervisor.h"
#include "LoanReturn.h"
#include "ResourceMath.h"
#include <algorithm>
#include <fmt/format.h>

namespace Peridot {

namespace {

bool wasPlacedBefore(const TaskRecord &task)
{
    return task.leaseEnd != TimePoint();
}

std::string describeSize(const Resources &size)
{
    return fmt::format("{:g} processors, {:g} GB, {} accelerators", size.processors,
                       size.memoryGigabytes, size.accelerators);
}

} // namespace

JobPlacer::JobPlacer(const FleetView &view, const PoolScope &scope, TimePoint now,
                     PlacementStep &step, const PlacementPolicy &policy)
    : m_view(view), m_scope(scope), m_now(now), m_step(step), m_policy(policy),
      m_health(view, *scope.pool, now), m_preemptor(view, scope, now, step, policy.throttles()),
      m_quotaShare(view, scope, step)
{
    collectCandidates();
}

PoolBuffer &JobPlacer::buffer()
{
    if (!m_buffer)
        m_buffer.emplace(m_view, m_scope, m_policy.sharesBuffer());
    return *m_buffer;
}

void JobPlacer::collectCandidates()
{
    addCandidates(*m_scope.pool, false);
    const auto *spare = sparePool(m_view);
    if (spare && spare != m_scope.pool)
        addCandidates(*spare, true);
}

void JobPlacer::addCandidates(const FleetView::Pool &pool, bool borrowed)
{
    for (const auto &name : pool.hosts) {
        const auto &host = *m_view.host(name);
        if (!host.specification)
            continue;
        const auto &capacity = host.specification->capacity;
        if (std::find(m_capacities.begin(), m_capacities.end(), capacity) == m_capacities.end())
            m_capacities.push_back(capacity);
        const bool usable = host.record->state == HostState::Active && m_health.isLive(host);
        if (!usable && !borrowed)
            m_hasUnavailableOwnHosts = true;
        // A worker on probation executes one task at a time.
        if (!usable || (host.record->quarantines > 0 && !host.tasks.empty()))
            continue;
        const bool due
            = pool.record
              && requiredDrainPurpose(m_view, host, pool.record->wave) != DrainPurpose::None;
        m_candidates.push_back({name, &host, minus(capacity, host.reserved), borrowed, due});
    }
}

bool JobPlacer::fitsSomeHost(const Resources &size) const
{
    return std::any_of(m_capacities.begin(), m_capacities.end(),
                       [&](const Resources &capacity) { return fits(size, capacity); });
}

bool JobPlacer::isAtLeastAnyOf(const std::vector<Resources> &sizes, const Resources &size)
{
    return std::any_of(sizes.begin(), sizes.end(),
                       [&](const Resources &other) { return fits(other, size); });
}

void JobPlacer::place(const std::vector<std::string> &jobs)
{
    m_unplaceableSizes.clear();
    m_bufferBlockedSizes.clear();
    // Jobs with displaced tasks, which had a host before, come first: the buffer that new tasks
    // must not use is kept for them.
    auto ordered = jobs;
    std::stable_partition(ordered.begin(), ordered.end(), [&](const std::string &name) {
        const auto *record = m_step.job(name);
        return record
               && std::any_of(record->tasks.begin(), record->tasks.end(),
                              [](const TaskRecord &task) {
                                  return task.phase == TaskPhase::Pending && wasPlacedBefore(task);
                              });
    });
    for (const auto &name : ordered) {
        if (m_step.isFull())
            return;
        restoreThrottledTasks(name);
        placeJob(name);
    }
}

JobPlacer::JobStatus JobPlacer::checkRunnable(const JobRecord &record,
                                              const JobSpecification &specification)
{
    if (m_capacities.empty())
        return {JobState::Pending, PendingReason::NoHosts, m_scope.name};
    if (!fitsSomeHost(specification.taskSize))
        return {JobState::Unrunnable, PendingReason::TooLargeForAnyHost,
                describeSize(specification.taskSize)};
    const auto *team = m_view.team(record.team);
    if (!team || !team->specification || !fits(specification.taskSize, team->specification->quota))
        return {JobState::Unrunnable, PendingReason::TooLargeForQuota, record.team};
    return {};
}

void JobPlacer::placeJob(const std::string &name)
{
    const auto *record = m_step.job(name);
    const auto *specification = m_view.job(name)->specification;
    if (!record || !specification || record->state == JobState::Cancelling
        || std::none_of(record->tasks.begin(), record->tasks.end(),
                        [](const TaskRecord &task) { return task.phase == TaskPhase::Pending; }))
        return;
    auto status = checkRunnable(*record, *specification);
    if (status.reason != PendingReason::None)
        return recordStatus(name, status);
    // Excess tasks that have stopped stay in the row as pending until the tasks after them have
    // stopped too. They are not placed.
    const auto count = std::min<std::size_t>(record->tasks.size(), specification->tasks);
    for (unsigned index = 0; index < count; ++index) {
        const auto &task = m_step.job(name)->tasks[index];
        if (task.phase != TaskPhase::Pending)
            continue;
        const auto reason = task.retryAt > m_now ? PendingReason::RetryBackoff
                                                 : placeTask(name, index, *specification);
        if (reason != PendingReason::None && status.reason == PendingReason::None) {
            status.reason = reason;
            status.detail = fmt::format("task {}", index);
        }
    }
    status.state = stateOfTasks(*m_step.job(name));
    if (status.state == JobState::Failed)
        return;
    recordStatus(name, status);
}

void JobPlacer::recordStatus(const std::string &name, const JobStatus &status)
{
    const auto *record = m_step.job(name);
    if (record->state == status.state && record->reason == status.reason)
        return;
    auto &changed = m_step.changeJob(name);
    changed.state = status.state;
    changed.reason = status.reason;
    changed.detail = status.detail;
    changed.decidedAtVersion = m_view.manifestVersion();
}

PlacementRequest JobPlacer::requestFor(const JobRecord &record, const Resources &size,
                                       const TaskRecord &task) const
{
    PlacementRequest request;
    request.size = size;
    request.urgency = record.urgency;
    request.avoidedHosts = task.failedHosts;
    for (const auto &other : record.tasks) {
        const auto *host = occupiesHost(other) ? m_view.host(other.host) : nullptr;
        if (!host || !host->record)
            continue;
        ++request.jobTasksByHost[other.host];
        ++request.jobTasksByRack[host->record->dataCentre + "/" + host->record->rack];
        ++request.jobTasksByDataCentre[host->record->dataCentre];
    }
    return request;
}

PendingReason JobPlacer::placeTask(const std::string &name, unsigned index,
                                   const JobSpecification &specification)
{
    const auto &record = *m_step.job(name);
    const auto &task = record.tasks[index];
    const auto &quota = m_view.team(record.team)->specification->quota;
    if (!fits(plus(m_step.heldByTeam(record.team), specification.taskSize), quota))
        return PendingReason::QuotaExceeded;
    // mustYield() reads every job, so it is called only for jobs that already wait for the quota.
    if (m_view.job(name)->record && m_view.job(name)->record->reason == PendingReason::QuotaExceeded
        && m_quotaShare.mustYield(record, quota))
        return PendingReason::QuotaExceeded;
    auto size = estimatedSize(specification.taskSize, record.observedUsage);
    if (!fitsSomeHost(size))
        size = specification.taskSize;
    const bool displaced = wasPlacedBefore(task);
    if (isAtLeastAnyOf(m_unplaceableSizes, size)) {
        if (displaced)
            buffer().claim(size);
        return PendingReason::NoCapacity;
    }

    const auto request = requestFor(record, size, task);
    const bool outsideBuffer
        = !mayUseBuffer(record.urgency, displaced) && !buffer().admitsOnAnyHost();
    const auto candidate
        = outsideBuffer ? findHostOutsideBuffer(request) : findHost(request, displaced);
    if (candidate) {
        m_step.place(name, index, m_candidates[*candidate].name, size, m_now);
        reserveCapacity(*candidate, request);
        return PendingReason::None;
    }
    if (outsideBuffer) {
        m_bufferBlockedSizes.push_back(size);
        return PendingReason::BufferReserved;
    }
    if (record.urgency != Urgency::Deferrable) {
        const auto preemption = m_preemptor.freeCapacity(size, record.urgency, m_candidates);
        if (preemption.result == Preemptor::Result::Throttled) {
            m_step.place(name, index, m_candidates[preemption.candidate].name, size, m_now);
            reserveCapacity(preemption.candidate, request);
            return PendingReason::None;
        }
        if (preemption.result == Preemptor::Result::Waiting)
            return PendingReason::Preempting;
    }
    if (displaced)
        buffer().claim(size);
    m_unplaceableSizes.push_back(size);
    return PendingReason::NoCapacity;
}

bool JobPlacer::mayUseBuffer(Urgency urgency, bool displaced)
{
    // The buffer is for displaced and urgent tasks. Deferrable tasks may use the buffer of their
    // own pool, because they are evicted when it is needed, but not the shared buffer in the spare
    // pool.
    return displaced || urgency == Urgency::Urgent
           || (urgency == Urgency::Deferrable && !buffer().isSparePool());
}

bool JobPlacer::mayBorrow(Urgency urgency, bool displaced) const
{
    return urgency == Urgency::Urgent
           || (urgency == Urgency::Normal && (displaced || m_hasUnavailableOwnHosts));
}

std::optional<std::size_t> JobPlacer::findHost(const PlacementRequest &request,
                                               bool displaced) const
{
    const auto choice = m_policy.choose(request, m_candidates);
    if (!choice)
        return std::nullopt;
    if (m_candidates[*choice].borrowed && !mayBorrow(request.urgency, displaced)) {
        // A policy that does not rank borrowed hosts last may have preferred one to a host of
        // the pool.
        std::vector<HostCandidate> own;
        std::copy_if(m_candidates.begin(), m_candidates.end(), std::back_inserter(own),
                     [](const HostCandidate &candidate) { return !candidate.borrowed; });
        const auto ownChoice = m_policy.choose(request, own);
        // Hosts of the pool come first in m_candidates, so the index in \c own is valid there
        // too.
        return ownChoice;
    }
    return choice;
}

std::optional<std::size_t> JobPlacer::findHostOutsideBuffer(const PlacementRequest &request)
{
    if (isAtLeastAnyOf(m_bufferBlockedSizes, request.size))
        return std::nullopt;
    std::vector<HostCandidate> permitted;
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        const auto &candidate = m_candidates[index];
        const bool admitted = candidate.borrowed ? mayBorrow(request.urgency, false)
                                                       && buffer().admitsLoan(request.size)
                                                 : buffer().admits(*candidate.host, request.size);
        if (admitted && fits(request.size, candidate.free)) {
            permitted.push_back(candidate);
            indexes.push_back(index);
        }
    }
    const auto choice = m_policy.choose(request, permitted);
    return choice ? std::optional(indexes[*choice]) : std::nullopt;
}

void JobPlacer::reserveCapacity(std::size_t candidate, const PlacementRequest &request)
{
    auto &chosen = m_candidates[candidate];
    chosen.free = minus(chosen.free, request.size);
    if (chosen.host->record->quarantines > 0)
        chosen.free = {};
    if (chosen.borrowed)
        buffer().claim(request.size);
    else
        buffer().recordPlacement(*chosen.host, request.size, request.urgency);
}

void JobPlacer::restoreThrottledTasks(const std::string &name)
{
    const auto *record = m_step.job(name);
    const auto *specification = m_view.job(name)->specification;
    if (!record || !specification)
        return;
    for (unsigned index = 0; index < record->tasks.size(); ++index) {
        const auto &task = m_step.job(name)->tasks[index];
        if (task.phase != TaskPhase::Throttled)
            continue;
        const auto found = std::find_if(
            m_candidates.begin(), m_candidates.end(),
            [&](const HostCandidate &candidate) { return candidate.name == task.host; });
        const auto size = estimatedSize(specification->taskSize, record->observedUsage);
        if (found == m_candidates.end() || !fits(minus(size, task.size), found->free))
            continue;
        found->free = minus(found->free, minus(size, task.size));
        auto &changed = m_step.changeJob(name).tasks[index];
        changed.phase = TaskPhase::Placed;
        changed.since = m_now;
        changed.size = size;
    }
}

void JobPlacer::returnLoan()
{
    if (m_policy.sharesBuffer() && !m_hasUnavailableOwnHosts)
        LoanReturn(m_view, m_scope, m_now, m_step).returnOneTask(m_candidates);
}

} // namespace Peridot
