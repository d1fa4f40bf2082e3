#pragma once

#include <Kernel/Fleet/FleetView.h>
#include <Kernel/Fleet/Reconciler.h>

namespace Peridot {

/// Rows of one transaction, so that it counts as one write of the table service.
constexpr std::size_t maximumTransactionRows = 100;

/// One pool that this process may plan for: it holds the lease, and no newer holder and no newer
/// configuration has written the ledger.
struct PoolScope
{
    std::string name;
    const HeldLease *lease = nullptr;
    const FleetView::Pool *pool = nullptr;
};

/// Pools of the leases in \a context, without those whose row shows a newer epoch or configuration.
std::vector<PoolScope> plannablePools(const FleetView &view, const PlanContext &context);

RowCheck leaseCheck(const HeldLease &lease);

/// Sets the operation id from the content. A step that is planned again from the same rows gets the
/// same id; a step from other rows or under another lease gets another one.
void identifyOperation(Transaction &transaction, std::string_view kind, std::string_view pool);

} // namespace Peridot
