#pragma once

#include "PlacementStep.h"

namespace Peridot {

/// Shares the quota of a team fairly between pools whose jobs wait for it. Without it, the process
/// that records the end of a task could give the free quota to its own pool in the same transaction
/// every time, and jobs in pools of other processes would wait for ever.
class QuotaShare
{
public:
    QuotaShare(const FleetView &view, const PoolScope &scope, PlacementStep &step);

    /// True when a job of another pool waits for the quota, its task fits into the remaining quota,
    /// and it precedes \a job: it is more urgent, or it is equally urgent and its pool holds less.
    /// The lease holder of that pool then places the task or records another reason than the quota,
    /// so that \a job does not wait for a task that cannot be placed.
    bool mustYield(const JobRecord &job, const Resources &quota) const;

private:
    const FleetView &m_view;
    const PoolScope &m_scope;
    PlacementStep &m_step;
};

} // namespace Peridot
