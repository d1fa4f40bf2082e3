#include "QuotaShare.h"

#include "ResourceMath.h"
#include <Kernel/Fleet/PlacementPolicy.h>
#include <algorithm>

namespace Peridot {

QuotaShare::QuotaShare(const FleetView &view, const PoolScope &scope, PlacementStep &step)
    : m_view(view), m_scope(scope), m_step(step)
{
}

bool QuotaShare::mustYield(const JobRecord &job, const Resources &quota) const
{
    const auto total = m_step.heldByTeam(job.team);
    const auto remaining = minus(quota, total);
    std::map<std::string, double> heldByPool;
    double heldElsewhere = 0;
    for (const auto &[name, held] : m_view.team(job.team)->record.held) {
        const auto *holder = m_view.job(name);
        if (!holder || !holder->record || holder->record->pool == m_scope.name)
            continue;
        heldByPool[holder->record->pool] += held.processors;
        heldElsewhere += held.processors;
    }
    const double heldHere = total.processors - heldElsewhere;
    return std::any_of(m_view.jobs().begin(), m_view.jobs().end(), [&](const auto &entry) {
        const auto &[name, other] = entry;
        if (!other.record || !other.specification || other.record->team != job.team
            || other.record->pool == m_scope.name
            || other.record->reason != PendingReason::QuotaExceeded
            || !fits(other.specification->taskSize, remaining))
            return false;
        if (other.record->urgency != job.urgency)
            return other.record->urgency < job.urgency;
        return heldByPool[other.record->pool] < heldHere;
    });
}

} // namespace Peridot
