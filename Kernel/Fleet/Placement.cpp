#include "JobPlacer.h"
#include "JobSupervisor.h"
#include <array>

namespace Peridot {

namespace {

/// Supervises and places the tasks of each pool in one transaction per pool, the most urgent jobs
/// first. Changes that exceed the size of the transaction wait for the next pass.
class Placement final : public Reconciler
{
public:
    explicit Placement(std::unique_ptr<PlacementPolicy> policy) : m_policy(std::move(policy)) { }

    FleetPlan plan(const FleetView &view, const PlanContext &context) override;

private:
    void planPool(const FleetView &view, const PlanContext &context, const PoolScope &scope,
                  FleetPlan &plan);

    std::unique_ptr<PlacementPolicy> m_policy;
};

Urgency urgencyOf(const FleetView::Job &job)
{
    return job.record ? job.record->urgency : job.specification->urgency;
}

FleetPlan Placement::plan(const FleetView &view, const PlanContext &context)
{
    FleetPlan plan;
    for (const auto &scope : plannablePools(view, context))
        planPool(view, context, scope, plan);
    return plan;
}

void Placement::planPool(const FleetView &view, const PlanContext &context, const PoolScope &scope,
                         FleetPlan &plan)
{
    std::array<std::vector<std::string>, urgencyCount> jobs;
    for (const auto &name : scope.pool->jobs)
        jobs[static_cast<std::size_t>(urgencyOf(*view.job(name)))].push_back(name);

    PlacementStep step(view, scope);
    JobSupervisor supervisor(view, scope, context.now, step);
    JobPlacer placer(view, scope, context.now, step, *m_policy);
    for (const auto &names : jobs) {
        for (const auto &name : names) {
            supervisor.collectCommands(name, plan.commands);
            if (!step.isFull())
                supervisor.advance(name);
        }
        placer.place(names);
    }
    placer.returnLoan();
    if (step.hasChanges())
        plan.transactions.push_back(step.transaction());
}

const PluginRegistrar<ReconcilerRegistry> registrar("placement", [] {
    return std::make_unique<Placement>(PlacementPolicyRegistry::create("peridot").value());
});

} // namespace

Result<std::unique_ptr<Reconciler>> makePlacementReconciler(const std::string &policy)
{
    BOOST_LEAF_AUTO(created, PlacementPolicyRegistry::create(policy));
    return std::unique_ptr<Reconciler>(std::make_unique<Placement>(std::move(created)));
}

} // namespace Peridot
