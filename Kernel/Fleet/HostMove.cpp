#include "HostLifecycle.h"
#include <Kernel/Fleet/FleetKeys.h>

namespace Peridot {

namespace {

/// Transfers drained hosts to the pool that the manifest names, in one transaction over the host
/// rows and both pool rows. The process does not need the lease of the destination pool, because
/// the transaction checks the versions of the destination's row and of the host rows, and an
/// incoming host does not use the availability budget of the destination.
class HostMove final : public Reconciler
{
public:
    FleetPlan plan(const FleetView &view, const PlanContext &context) override;

private:
    using Destinations = std::map<std::string, std::vector<std::string>>;

    static Destinations findDestinations(const FleetView &view, const PoolScope &scope);
    static void transfer(const FleetView &view, const PlanContext &context, const PoolScope &scope,
                         const std::string &destination, const std::vector<std::string> &hosts,
                         FleetPlan &plan);
};

FleetPlan HostMove::plan(const FleetView &view, const PlanContext &context)
{
    FleetPlan plan;
    for (const auto &scope : plannablePools(view, context)) {
        if (!scope.pool->record)
            continue;
        // Each pass proposes transfers to one destination only, because transactions to different
        // destinations would conflict with each other on the row of this pool.
        const auto destinations = findDestinations(view, scope);
        if (!destinations.empty())
            transfer(view, context, scope, destinations.begin()->first,
                     destinations.begin()->second, plan);
    }
    return plan;
}

HostMove::Destinations HostMove::findDestinations(const FleetView &view, const PoolScope &scope)
{
    Destinations destinations;
    for (const auto &[name, permit] : scope.pool->record->permits) {
        const auto *host = view.host(name);
        if (permit.purpose != DrainPurpose::Move || !host || !host->record
            || host->record->state != HostState::Drained
            || requiredDrainPurpose(view, *host, scope.pool->record->wave) != DrainPurpose::Move)
            continue;
        const auto &destination = host->specification->pool;
        const auto *pool = view.pool(destination);
        auto &hosts = destinations[destination];
        if (pool && pool->record && hosts.size() + 4 < maximumTransactionRows)
            hosts.push_back(name);
    }
    std::erase_if(destinations, [](const auto &entry) { return entry.second.empty(); });
    return destinations;
}

void HostMove::transfer(const FleetView &view, const PlanContext &context, const PoolScope &scope,
                        const std::string &destination, const std::vector<std::string> &hosts,
                        FleetPlan &plan)
{
    const auto &target = *view.pool(destination);
    auto source = *scope.pool->record;
    auto arrival = *target.record;
    source.fencingEpoch = scope.lease->fencingEpoch;
    Transaction transaction;
    transaction.checks.push_back(leaseCheck(*scope.lease));
    for (const auto &name : hosts) {
        const auto &host = *view.host(name);
        auto record = *host.record;
        record.pool = destination;
        record.state = HostState::Returning;
        record.purpose = DrainPurpose::None;
        record.since = context.now;
        record.rack = host.specification->rack;
        record.dataCentre = host.specification->dataCentre;
        record.region = host.specification->region;
        const auto key = rowKey(hostPrefix, name);
        transaction.checks.push_back({key, host.version});
        transaction.writes.push_back({key, encodeHostRecord(record)});
        source.permits.erase(name);
        arrival.incomingHosts.insert(name);
    }
    transaction.checks.push_back({rowKey(poolPrefix, scope.name), scope.pool->version});
    transaction.checks.push_back({rowKey(poolPrefix, destination), target.version});
    transaction.writes.push_back({rowKey(poolPrefix, scope.name), encodePoolRecord(source)});
    transaction.writes.push_back({rowKey(poolPrefix, destination), encodePoolRecord(arrival)});
    identifyOperation(transaction, "move", scope.name);
    plan.transactions.push_back(std::move(transaction));
}

const PluginRegistrar<ReconcilerRegistry> registrar("move",
                                                    [] { return std::make_unique<HostMove>(); });

} // namespace

} // namespace Peridot
