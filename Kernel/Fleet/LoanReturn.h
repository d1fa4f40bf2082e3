#pragma once

#include "PlacementStep.h"
#include <Kernel/Fleet/PlacementPolicy.h>
#include <optional>

namespace Peridot {

/// Moves tasks of a pool from borrowed hosts of the spare pool back to hosts of their own pool,
/// when the spare pool needs the capacity.
class LoanReturn
{
public:
    LoanReturn(const FleetView &view, const PoolScope &scope, TimePoint now, PlacementStep &step);

    /// Checkpoints one task that fits on a host of its own pool among \a candidates. At most one
    /// task is returned in each pass, because other pools react to the same shortage.
    void returnOneTask(const std::vector<HostCandidate> &candidates);

private:
    std::optional<FleetView::TaskReference>
    returnableTask(const FleetView::Pool &spare,
                   const std::vector<HostCandidate> &candidates) const;
    /// Number of slots that \a spare lacks for its buffer and its own pending tasks, less the loans
    /// that are being returned already. Each task counts as one slot.
    double slotsNeededBy(const FleetView::Pool &spare) const;

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    PlacementStep &m_step;
};

} // namespace Peridot
