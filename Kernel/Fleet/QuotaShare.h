#pragma once

#include "PlacementStep.h"

namespace Peridot {

/// Decides between pools whose jobs wait for the quota of the same team. The process that ends a
/// task sees the free quota first and could use it again in the same transaction for ever.
class QuotaShare
{
public:
    QuotaShare(const FleetView &view, const PoolScope &scope, PlacementStep &step);

    /// True when a task of another pool fits into the quota that is left and goes before \a job: it
    /// is more urgent, or as urgent and its pool holds less. The holder of that pool then places it
    /// or records another reason, so that nobody waits for a task that cannot start.
    bool yields(const JobRecord &job, const Resources &quota) const;

private:
    const FleetView &m_view;
    const PoolScope &m_scope;
    PlacementStep &m_step;
};

} // namespace Peridot
