#include "PermitPlanner.h"

#include "HostLifecycle.h"
#include <algorithm>
#include <tuple>

namespace Peridot {

PermitPlanner::PermitPlanner(const FleetView &view, const PoolScope &scope, TimePoint now,
                             LedgerStep &step, WaveOrder order)
    : m_view(view), m_scope(scope), m_now(now), m_step(step), m_order(order),
      m_health(view, *scope.pool, now),
      m_unrecordedSuspects(m_health.countUnrecordedSuspects(step.ledger())),
      m_correlatedFailure(m_health.correlatedFailure())
{
}

std::size_t PermitPlanner::usedBudget() const
{
    return m_step.ledger().permits.size() + m_step.ledger().unavailable.size()
           + m_unrecordedSuspects;
}

std::size_t PermitPlanner::budget() const
{
    // The pool row may not yet contain the lower budget of a new manifest.
    const auto *specification = m_scope.pool->specification;
    const auto recorded = m_step.ledger().budget;
    return specification ? std::min(recorded, specification->availabilityBudget) : recorded;
}

PermitPlanner::Blocker PermitPlanner::blocker(const std::string &name, DrainPurpose purpose) const
{
    if (!m_health.isLive(*m_view.host(name)))
        return Blocker::HostSuspected;
    if (purpose == DrainPurpose::Maintenance && m_step.ledger().wave.state == WaveState::Paused)
        return Blocker::WavePaused;
    if (m_correlatedFailure)
        return Blocker::CorrelatedFailure;
    if (usedBudget() >= budget())
        return Blocker::Budget;
    return keepsFailureDomainSpread(name) ? Blocker::None : Blocker::FailureDomainSpread;
}

bool PermitPlanner::keepsFailureDomainSpread(const std::string &name) const
{
    const auto *specification = m_scope.pool->specification;
    const std::size_t minimum = specification ? specification->minimumFailureDomains : 1;
    std::set<std::pair<std::string, std::string>> allRacks;
    std::set<std::pair<std::string, std::string>> remainingRacks;
    for (const auto &other : m_scope.pool->hosts) {
        const auto *record = m_step.host(other);
        if (!record)
            continue;
        allRacks.emplace(record->dataCentre, record->rack);
        if (other != name && record->state == HostState::Active
            && m_health.isLive(*m_view.host(other)))
            remainingRacks.emplace(record->dataCentre, record->rack);
    }
    // The minimum is lowered for pools with few racks, which could otherwise never be maintained.
    return remainingRacks.size()
           >= std::min(minimum, allRacks.size() > 1 ? allRacks.size() - 1 : 0);
}

std::vector<PermitPlanner::Candidate> PermitPlanner::candidates() const
{
    std::vector<Candidate> result;
    std::map<std::string, std::size_t> pendingByRack;
    std::set<std::string> racksInProgress;
    for (const auto &name : m_scope.pool->hosts) {
        const auto *record = m_step.host(name);
        if (!record)
            continue;
        const auto rack = record->dataCentre + "/" + record->rack;
        if (m_step.ledger().permits.contains(name))
            racksInProgress.insert(rack);
        const auto &host = *m_view.host(name);
        if (record->state != HostState::Active || host.record->state != HostState::Active)
            continue;
        const auto purpose = requiredDrainPurpose(m_view, host, m_step.ledger().wave);
        if (purpose == DrainPurpose::None)
            continue;
        ++pendingByRack[rack];
        result.push_back({purpose, false, 0, host.tasks.size(), rack, name});
    }
    for (auto &candidate : result) {
        candidate.rackInProgress = racksInProgress.contains(candidate.rack);
        candidate.pendingInRack = pendingByRack[candidate.rack];
    }
    std::sort(result.begin(), result.end(),
              [&](const Candidate &left, const Candidate &right) { return precedes(left, right); });
    return result;
}

bool PermitPlanner::precedes(const Candidate &left, const Candidate &right) const
{
    if (m_order == WaveOrder::Name)
        return left.name < right.name;
    const auto rank = [](const Candidate &candidate) {
        const bool isMaintenance = candidate.purpose == DrainPurpose::Maintenance;
        // Racks in which a host already holds a permit come first, so that few failure domains
        // are affected at once. Then hosts with few tasks come first: the tasks of the other hosts
        // can then move to maintained hosts and not to hosts that the wave drains later.
        return std::make_tuple(isMaintenance, !candidate.rackInProgress, candidate.tasks,
                               -std::int64_t(candidate.pendingInRack),
                               std::string_view(candidate.rack), std::string_view(candidate.name));
    };
    return rank(left) < rank(right);
}

void PermitPlanner::grant()
{
    if (m_correlatedFailure || usedBudget() >= budget())
        return;
    for (const auto &candidate : candidates()) {
        if (usedBudget() >= budget() || m_step.isFull())
            return;
        if (blocker(candidate.name, candidate.purpose) != Blocker::None)
            continue;
        m_step.enter(candidate.name, HostState::Draining, m_now);
        m_step.changeHost(candidate.name).purpose = candidate.purpose;
        m_step.changeLedger().permits[candidate.name] = {candidate.purpose, m_now};
    }
}

} // namespace Peridot
