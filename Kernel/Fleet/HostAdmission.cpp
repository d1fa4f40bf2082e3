#include "PlanSupport.h"
#include <Kernel/Fleet/FleetKeys.h>

namespace Peridot {

namespace {

/// Creates the rows of pools and hosts in the manifest, and copies changed availability budgets
/// from the manifest into the pool rows. A host that has a row in another pool is moved by HostMove
/// instead.
class HostAdmission final : public Reconciler
{
public:
    FleetPlan plan(const FleetView &view, const PlanContext &context) override;

private:
    static void planPoolRow(const FleetView &view, const PoolScope &scope, FleetPlan &plan);
    static void planHostRows(const FleetView &view, const PlanContext &context,
                             const PoolScope &scope, FleetPlan &plan);
};

FleetPlan HostAdmission::plan(const FleetView &view, const PlanContext &context)
{
    FleetPlan plan;
    for (const auto &scope : plannablePools(view, context)) {
        planPoolRow(view, scope, plan);
        if (scope.pool->record)
            planHostRows(view, context, scope, plan);
    }
    return plan;
}

void HostAdmission::planPoolRow(const FleetView &view, const PoolScope &scope, FleetPlan &plan)
{
    const auto *specification = scope.pool->specification;
    const auto key = rowKey(poolPrefix, scope.name);
    Transaction transaction{{}, {leaseCheck(*scope.lease), {key, scope.pool->version}}, {}};
    if (!specification) {
        // The row of a pool that left the manifest is deleted when no host, job or loan uses it.
        if (!scope.pool->record || !scope.pool->hosts.empty() || !scope.pool->jobs.empty()
            || !scope.pool->placement.loans.empty())
            return;
        transaction.writes.push_back({key, std::nullopt});
    } else {
        auto record = scope.pool->record.value_or(PoolRecord());
        if (scope.pool->record && record.budget == specification->availabilityBudget)
            return;
        record.name = scope.name;
        record.budget = specification->availabilityBudget;
        record.configurationVersion = view.manifestVersion();
        record.fencingEpoch = scope.lease->fencingEpoch;
        transaction.writes.push_back({key, encodePoolRecord(record)});
    }
    identifyOperation(transaction, "pool-admission", scope.name);
    plan.transactions.push_back(std::move(transaction));
}

void HostAdmission::planHostRows(const FleetView &view, const PlanContext &context,
                                 const PoolScope &scope, FleetPlan &plan)
{
    Transaction transaction;
    const auto submit = [&] {
        if (transaction.writes.empty())
            return;
        transaction.checks.push_back(leaseCheck(*scope.lease));
        identifyOperation(transaction, "host-admission", scope.name);
        plan.transactions.push_back(std::exchange(transaction, {}));
    };
    for (const auto &name : scope.pool->unadmittedHosts) {
        const auto &specification = *view.host(name)->specification;
        HostRecord record;
        record.name = name;
        record.pool = scope.name;
        record.rack = specification.rack;
        record.dataCentre = specification.dataCentre;
        record.region = specification.region;
        record.since = context.now;
        const auto key = rowKey(hostPrefix, name);
        transaction.checks.push_back({key, absentVersion});
        transaction.writes.push_back({key, encodeHostRecord(record)});
        if (transaction.writes.size() + 1 >= maximumTransactionRows)
            submit();
    }
    submit();
}

const PluginRegistrar<ReconcilerRegistry> registrar("host-admission", [] {
    return std::make_unique<HostAdmission>();
});

} // namespace

} // namespace Peridot
