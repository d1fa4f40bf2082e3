#include "PlanSupport.h"

#include <Kernel/Fleet/FleetKeys.h>
#include <fmt/format.h>
#include <xxhash.h>

namespace Peridot {

namespace {

constexpr std::string_view poolLeasePrefix = "pool-";

bool isCurrent(const FleetView &view, const FleetView::Pool &pool, const HeldLease &lease)
{
    return !pool.record
           || (pool.record->fencingEpoch <= lease.fencingEpoch
               && pool.record->configurationVersion <= view.manifestVersion());
}

} // namespace

std::vector<PoolScope> plannablePools(const FleetView &view, const PlanContext &context)
{
    std::vector<PoolScope> scopes;
    if (!view.manifest())
        return scopes;
    for (const auto &[leaseName, lease] : context.leases) {
        if (!leaseName.starts_with(poolLeasePrefix) || context.now >= lease.end)
            continue;
        auto name = leaseName.substr(poolLeasePrefix.size());
        const auto *pool = view.pool(name);
        if (pool && isCurrent(view, *pool, lease))
            scopes.push_back({std::move(name), &lease, pool});
    }
    return scopes;
}

RowCheck leaseCheck(const HeldLease &lease)
{
    return {rowKey(leasePrefix, lease.name), lease.rowVersion};
}

void identifyOperation(Transaction &transaction, std::string_view kind, std::string_view pool)
{
    std::string content;
    for (const auto &check : transaction.checks)
        content += fmt::format("{}={}\n", check.key, check.expected);
    for (const auto &write : transaction.writes)
        content += write.key + "\n" + write.value.value_or(std::string()) + "\n";
    transaction.operationId
        = fmt::format("{}-{}-{:016x}", kind, pool, XXH3_64bits(content.data(), content.size()));
}

} // namespace Peridot
