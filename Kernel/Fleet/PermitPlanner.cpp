#include "PermitPlanner.h"

#include "HostSteps.h"
#include <algorithm>
#include <tuple>

namespace Peridot {

PermitPlanner::PermitPlanner(const FleetView &view, const PoolScope &scope, TimePoint now,
                             LedgerStep &step, WaveOrder order)
    : m_view(view), m_scope(scope), m_now(now), m_step(step), m_order(order),
      m_health(view, *scope.pool, now), m_doubts(m_health.uncountedDoubts(step.ledger())),
      m_correlatedFailure(m_health.correlatedFailure())
{
}

std::size_t PermitPlanner::used() const
{
    return m_step.ledger().permits.size() + m_step.ledger().unavailable.size() + m_doubts;
}

std::size_t PermitPlanner::budget() const
{
    // The ledger may lag behind a manifest that lowers the budget.
    const auto *specification = m_scope.pool->specification;
    const auto recorded = m_step.ledger().budget;
    return specification ? std::min(recorded, specification->availabilityBudget) : recorded;
}

PermitPlanner::Obstacle PermitPlanner::obstacle(const std::string &name, DrainPurpose purpose) const
{
    if (!m_health.isLive(*m_view.host(name)))
        return Obstacle::HostSuspected;
    if (purpose == DrainPurpose::Maintenance && m_step.ledger().wave.state == WaveState::Paused)
        return Obstacle::WavePaused;
    if (m_correlatedFailure)
        return Obstacle::CorrelatedFailure;
    if (used() >= budget())
        return Obstacle::Budget;
    return keepsSpread(name) ? Obstacle::None : Obstacle::FailureDomainSpread;
}

bool PermitPlanner::keepsSpread(const std::string &name) const
{
    const auto *specification = m_scope.pool->specification;
    const std::size_t minimum = specification ? specification->minimumFailureDomains : 1;
    std::set<std::pair<std::string, std::string>> all;
    std::set<std::pair<std::string, std::string>> remaining;
    for (const auto &other : m_scope.pool->hosts) {
        const auto *record = m_step.host(other);
        if (!record)
            continue;
        all.emplace(record->dataCentre, record->rack);
        if (other != name && record->state == HostState::Active
            && m_health.isLive(*m_view.host(other)))
            remaining.emplace(record->dataCentre, record->rack);
    }
    // A pool that never had that many racks could otherwise not be maintained at all.
    return remaining.size() >= std::min(minimum, all.size() > 1 ? all.size() - 1 : 0);
}

std::vector<PermitPlanner::Candidate> PermitPlanner::candidates() const
{
    std::vector<Candidate> result;
    std::map<std::string, std::size_t> pending;
    std::set<std::string> open;
    for (const auto &name : m_scope.pool->hosts) {
        const auto *record = m_step.host(name);
        if (!record)
            continue;
        const auto rack = record->dataCentre + "/" + record->rack;
        if (m_step.ledger().permits.contains(name))
            open.insert(rack);
        const auto &host = *m_view.host(name);
        if (record->state != HostState::Active || host.record->state != HostState::Active)
            continue;
        const auto purpose = wantedPurpose(m_view, host, m_step.ledger().wave);
        if (purpose == DrainPurpose::None)
            continue;
        ++pending[rack];
        result.push_back({purpose, false, 0, host.tasks.size(), rack, name});
    }
    for (auto &candidate : result) {
        candidate.rackOpen = open.contains(candidate.rack);
        candidate.rackPending = pending[candidate.rack];
    }
    std::sort(result.begin(), result.end(), [&](const Candidate &left, const Candidate &right) {
        return goesBefore(left, right);
    });
    return result;
}

bool PermitPlanner::goesBefore(const Candidate &left, const Candidate &right) const
{
    if (m_order == WaveOrder::Name)
        return left.name < right.name;
    const auto rank = [](const Candidate &candidate) {
        const bool scheduled = candidate.purpose == DrainPurpose::Maintenance;
        // A rack that is already open goes on, so that few failure domains are affected at once.
        // Hosts with few tasks go first: maintained hosts then exist for the tasks of the others,
        // which would otherwise move to a host that the wave drains later.
        return std::make_tuple(scheduled, !candidate.rackOpen, candidate.tasks,
                               -std::int64_t(candidate.rackPending),
                               std::string_view(candidate.rack), std::string_view(candidate.name));
    };
    return rank(left) < rank(right);
}

void PermitPlanner::grant()
{
    if (m_correlatedFailure || used() >= budget())
        return;
    for (const auto &candidate : candidates()) {
        if (used() >= budget() || m_step.isFull())
            return;
        if (obstacle(candidate.name, candidate.purpose) != Obstacle::None)
            continue;
        m_step.enter(candidate.name, HostState::Draining, m_now);
        m_step.changeHost(candidate.name).purpose = candidate.purpose;
        m_step.changeLedger().permits[candidate.name] = {candidate.purpose, m_now};
    }
}

} // namespace Peridot
