#pragma once

#include <Kernel/Fleet/FleetView.h>
#include <Kernel/Fleet/Reconciler.h>

namespace Peridot {

/// Maximum number of rows in one transaction, up to which the table service counts it as one write.
constexpr std::size_t maximumTransactionRows = 100;

/// A pool that this process may plan for: the process holds its lease, and the pool row was not
/// written by a newer lease holder or under a newer configuration.
struct PoolScope
{
    std::string name;
    const HeldLease *lease = nullptr;
    const FleetView::Pool *pool = nullptr;
};

/// Pools of the leases in \a context that this process may plan for.
std::vector<PoolScope> plannablePools(const FleetView &view, const PlanContext &context);

/// Check that the row of the lease is unchanged, so that a transaction fails after the lease is
/// lost.
RowCheck leaseCheck(const HeldLease &lease);

/// Sets the operation id of \a transaction to a hash of its checks and writes. A transaction that
/// is planned again from the same rows gets the same id; one that is planned from other rows or
/// under another lease gets a different id.
void identifyOperation(Transaction &transaction, std::string_view kind, std::string_view pool);

} // namespace Peridot
