#pragma once

#include "PlanSupport.h"

namespace Peridot {

/// Capacity of a pool that is kept free, so that the tasks of drained hosts or of a failed rack can
/// be placed on other hosts.
///
/// The buffer is counted in slots. One slot is the size of the largest task that may claim the
/// buffer. A host in use has as many slots as whole tasks of that size fit into its free capacity:
/// small remainders on many hosts would add up to the size of a task that fits on none of them. An
/// empty host can replace any host of its size, so its whole capacity counts, including a fraction
/// of a slot.
class PoolBuffer
{
public:
    /// With \a shared, free capacity of the spare pool reduces the buffer that the pool itself must
    /// keep.
    PoolBuffer(const FleetView &view, const PoolScope &scope, bool shared);

    /// True when a task that may not use the buffer can be placed on any host of the pool without
    /// reducing the buffer.
    bool admitsOnAnyHost() const { return m_availableSlots - claimedSlots() >= m_maximumTaskCost; }

    /// True when a task of \a size that may not use the buffer can be placed on \a host without
    /// reducing the buffer.
    bool admits(const FleetView::Host &host, const Resources &size) const;

    /// True when a task of \a size that may not use the buffer can be placed on a host borrowed
    /// from the spare pool without reducing the buffer.
    bool admitsLoan(const Resources &size) const;

    /// Number of slots of the buffer that are in use, so that less than the required capacity is
    /// free.
    double shortage() const { return std::max(0.0, claimedSlots() - m_availableSlots); }

    /// Subtracts the slots of a task that this planning pass places on \a host of the pool.
    void recordPlacement(const FleetView::Host &host, const Resources &size, Urgency urgency);

    /// Subtracts the slots of a task that runs on a borrowed host, or that lost its host and found
    /// no other one. The buffer counts the capacity of its former host as free even when that host
    /// is unavailable, so that this capacity must not be given to other tasks.
    void claim(const Resources &size);

    bool isSparePool() const { return m_isSparePool; }

private:
    /// Size of the largest task that may claim the buffer of the pool or, with \a shared, of any
    /// pool.
    Resources largestClaimingTask(const PoolScope &scope, bool shared) const;
    /// Slots in the \a free capacity of a host of \a capacity.
    double countSlots(const Resources &free, const Resources &capacity) const;
    /// Slots needed for tasks with these sizes in sum.
    double slotsForClaims(const Resources &claims) const;
    double claimedSlots() const { return slotsForClaims(m_claimed); }
    /// Size of the buffer in the spare pool that protects all pools.
    double requiredSharedSlots() const;
    /// Adds the free slots of \a pool to m_availableSlots and returns the size of its buffer.
    double addPoolSlots(const FleetView::Pool &pool);
    double freeSlots(const FleetView::Pool &pool, bool deferrableOccupies) const;
    /// Free capacity of \a host. Unless \a deferrableOccupies, the capacity of deferrable tasks
    /// counts as free, because they can be evicted.
    Resources freeCapacityOf(const FleetView::Host &host, bool deferrableOccupies) const;
    /// Claims the sizes of the tasks of this pool that run on borrowed hosts.
    void claimLoans(const PoolScope &scope, const FleetView::Pool &spare);

    const FleetView &m_view;
    bool m_isSparePool = false;
    Resources m_slotSize; ///< size of one slot, without accelerators
    double m_availableSlots = 0; ///< free slots minus the required buffer, without claims
    double m_maximumTaskCost = 1; ///< largest number of slots by which one task reduces a host
    Resources m_claimed; ///< sum of the sizes passed to claim()
    std::unordered_map<const FleetView::Host *, Resources>
        m_placedResources; ///< placed in this planning pass
};

/// The pool that the manifest declares as spare, or null.
const FleetView::Pool *sparePool(const FleetView &view);

} // namespace Peridot
