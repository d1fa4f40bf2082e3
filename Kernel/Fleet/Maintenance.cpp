#include "HostLifecycle.h"
#include "PermitPlanner.h"
#include <Kernel/Fleet/WaveOrder.h>

namespace Peridot {

namespace {

/// Plans state changes of the hosts of each pool, grants drain permits and completes waves. All
/// changes of a pool form one transaction over its row and the rows of the changed hosts.
class Maintenance final : public Reconciler
{
public:
    explicit Maintenance(WaveOrder order) : m_order(order) { }

    FleetPlan plan(const FleetView &view, const PlanContext &context) override;

private:
    void planPool(const FleetView &view, const PlanContext &context, const PoolScope &scope,
                  FleetPlan &plan);
    static void completeWave(const FleetView &view, const PoolScope &scope, TimePoint now,
                             LedgerStep &step);

    WaveOrder m_order;
};

FleetPlan Maintenance::plan(const FleetView &view, const PlanContext &context)
{
    FleetPlan plan;
    for (const auto &scope : plannablePools(view, context)) {
        if (scope.pool->record)
            planPool(view, context, scope, plan);
    }
    return plan;
}

void Maintenance::planPool(const FleetView &view, const PlanContext &context,
                           const PoolScope &scope, FleetPlan &plan)
{
    LedgerStep step(view, scope);
    HostLifecycle lifecycle(view, scope, context.now, step);
    for (const auto &name : scope.pool->hosts) {
        const auto &host = *view.host(name);
        if (host.record->state == HostState::Rebooting
            && (!host.report || host.report->bootCount <= host.record->rebootFrom))
            plan.commands.push_back(
                {name, WorkerCommandKind::Reboot, {}, host.record->rebootFrom + 1, {}, {}});
        if (!step.isFull())
            lifecycle.advance(name);
    }
    PermitPlanner(view, scope, context.now, step, m_order).grant();
    completeWave(view, scope, context.now, step);
    if (step.hasChanges())
        plan.transactions.push_back(step.transaction());
}

void Maintenance::completeWave(const FleetView &view, const PoolScope &scope, TimePoint now,
                               LedgerStep &step)
{
    const auto &wave = step.ledger().wave;
    if (wave.state != WaveState::Running)
        return;
    for (const auto &name : scope.pool->hosts) {
        const auto *record = step.host(name);
        if (record && view.host(name)->specification && record->state != HostState::Failed
            && record->generation < wave.generation)
            return;
    }
    auto &changed = step.changeLedger().wave;
    changed.state = WaveState::Complete;
    changed.finishedAt = now;
}

const PluginRegistrar<ReconcilerRegistry> registrar("maintenance", [] {
    return makeMaintenanceReconciler(WaveOrder::FailureDomain);
});

} // namespace

std::unique_ptr<Reconciler> makeMaintenanceReconciler(WaveOrder order)
{
    return std::make_unique<Maintenance>(order);
}

} // namespace Peridot
