#pragma once

#include "PlanSupport.h"

namespace Peridot {

/// Capacity that is kept free so that the tasks of drained hosts and of the largest failure domain
/// find a place.
///
/// It is counted in slots, each of which holds the largest task that may claim the buffer. A host
/// in use has as many slots as whole tasks of that size fit into its free capacity: slivers on many
/// hosts add up to the size of a task that no host can hold. An empty host replaces any host of its
/// size, so that its whole capacity counts, with a fraction of a slot where there is one.
class PoolBuffer
{
public:
    /// \a shared: pools count the free capacity of the spare pool as their buffer first.
    PoolBuffer(const FleetView &view, const PoolScope &scope, bool shared);

    /// True when a task without a claim to the buffer may take any host of the pool.
    bool hasRoom() const { return m_room - claimedSlots() >= m_largestCost; }

    /// True when such a task may take \a host.
    bool admits(const FleetView::Host &host, const Resources &size) const;

    /// True when such a task may take a borrowed host.
    bool admitsLoan(const Resources &size) const;

    /// Slots of the buffer that are in use.
    double shortage() const { return std::max(0.0, claimedSlots() - m_room); }

    /// Counts a task that was placed on \a host of the pool.
    void take(const FleetView::Host &host, const Resources &size, Urgency urgency);

    /// Counts a task that runs on a borrowed host or that was displaced and found no host: the
    /// capacity of its former host, which may be unavailable, is not free for other tasks.
    void claim(const Resources &size);

    bool poolIsSpare() const { return m_poolIsSpare; }

private:
    Resources unitOf(const PoolScope &scope, bool common) const;
    double slots(const Resources &free, const Resources &capacity) const;
    double slotsOf(const Resources &claims) const;
    double claimedSlots() const { return slotsOf(m_claimed); }
    double sharedNeed() const;
    double measurePool(const FleetView::Pool &pool);
    double room(const FleetView::Pool &pool, bool countEvictable) const;
    Resources freeOn(const FleetView::Host &host, bool countEvictable) const;
    void claimLoans(const PoolScope &scope, const FleetView::Pool &spare);

    const FleetView &m_view;
    bool m_poolIsSpare = false;
    Resources m_unit; ///< of one slot; without accelerators
    double m_room = 0; ///< slots beyond the buffer
    double m_largestCost = 1; ///< most slots that one task takes
    Resources m_claimed;
    std::unordered_map<const FleetView::Host *, Resources> m_taken; ///< in this pass
};

/// Declared spare pool, or nothing.
const FleetView::Pool *sparePool(const FleetView &view);

} // namespace Peridot
