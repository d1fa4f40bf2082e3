#pragma once

#include "PlanSupport.h"

namespace Peridot {

/// Capacity that is kept free so that the tasks of drained hosts and of the largest failure domain
/// find a place.
class PoolBuffer
{
public:
    /// \a shared: pools count the free capacity of the spare pool as their buffer first.
    PoolBuffer(const FleetView &view, const PoolScope &scope, bool shared);

    /// Capacity that tasks without a claim to the buffer may still take.
    bool admits(const Resources &size) const;
    void take(const Resources &size);

    bool poolIsSpare() const { return m_poolIsSpare; }

    /// Buffer that one pool needs by itself: the larger of its largest rack and its budget in
    /// hosts.
    static Resources need(const FleetView &view, const FleetView::Pool &pool);

    /// Common buffer: the larger of the largest rack of the fleet and the largest budget in hosts.
    static Resources sharedNeed(const FleetView &view);

private:
    Resources room(const FleetView::Pool &pool, bool countEvictable) const;

    const FleetView &m_view;
    bool m_poolIsSpare = false;
    Resources m_room;
};

/// Declared spare pool, or nothing.
const FleetView::Pool *sparePool(const FleetView &view);

} // namespace Peridot
