#pragma once

#include "PlacementStep.h"
#include <Kernel/Fleet/PlacementPolicy.h>
#include <optional>

namespace Peridot {

/// Brings tasks back from hosts borrowed from the spare pool when it needs their room.
class LoanReturn
{
public:
    LoanReturn(const FleetView &view, const PoolScope &scope, TimePoint now, PlacementStep &step);

    /// Checkpoints one task of the pool that one of its own hosts among \a candidates has room
    /// for. One a pass, because other pools see the same need and return tasks too.
    void returnOne(const std::vector<HostCandidate> &candidates);

private:
    std::optional<FleetView::TaskReference>
    returnableTask(const FleetView::Pool &spare,
                   const std::vector<HostCandidate> &candidates) const;
    double roomNeededBy(const FleetView::Pool &spare) const;

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    PlacementStep &m_step;
};

} // namespace Peridot
