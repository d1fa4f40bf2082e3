#include "PoolBuffer.h"

#include "ResourceMath.h"
#include <Kernel/Fleet/PlacementPolicy.h>

namespace Peridot {

namespace {

Resources positivePart(const Resources &resources)
{
    return {std::max(0.0, resources.processors), std::max(0.0, resources.memoryGigabytes),
            resources.accelerators};
}

} // namespace

const FleetView::Pool *sparePool(const FleetView &view)
{
    for (const auto &pool : view.manifest()->pools) {
        if (pool.spare)
            return view.pool(pool.name);
    }
    return nullptr;
}

Resources PoolBuffer::need(const FleetView &view, const FleetView::Pool &pool)
{
    std::map<std::string, Resources> racks;
    Resources largestHost;
    Resources largestRack;
    for (const auto &name : pool.hosts) {
        const auto *host = view.host(name);
        if (!host->specification)
            continue;
        const auto &capacity = host->specification->capacity;
        auto &rack = racks[host->record->dataCentre + "/" + host->record->rack];
        rack = plus(rack, capacity);
        largestRack = largerOf(largestRack, rack);
        largestHost = largerOf(largestHost, capacity);
    }
    const unsigned budget = pool.specification ? pool.specification->availabilityBudget : 0;
    return largerOf(largestRack, times(largestHost, budget));
}

Resources PoolBuffer::sharedNeed(const FleetView &view)
{
    // A rack that fails takes hosts of several pools with it.
    std::unordered_map<std::string, Resources> racks;
    Resources need;
    Resources largestHost;
    for (const auto &host : view.manifest()->hosts) {
        auto &rack = racks[host.dataCentre + "/" + host.rack];
        rack = plus(rack, host.capacity);
        need = largerOf(need, rack);
        largestHost = largerOf(largestHost, host.capacity);
    }
    for (const auto &pool : view.manifest()->pools)
        need = largerOf(need, times(largestHost, pool.availabilityBudget));
    return need;
}

PoolBuffer::PoolBuffer(const FleetView &view, const PoolScope &scope, bool shared) : m_view(view)
{
    const auto *spare = shared ? sparePool(view) : nullptr;
    m_poolIsSpare = spare == scope.pool;
    auto required = need(view, *scope.pool);
    if (m_poolIsSpare)
        required = largerOf(required, sharedNeed(view));
    else if (spare)
        required = positivePart(minus(required, positivePart(room(*spare, true))));
    // Accelerators are not buffered: they are too few for every rack to be doubled.
    required.accelerators = 0;
    m_room = minus(room(*scope.pool, m_poolIsSpare), required);
}

Resources PoolBuffer::room(const FleetView::Pool &pool, bool countEvictable) const
{
    // Unavailable hosts are included: what they carried may use the buffer.
    Resources room;
    for (const auto &name : pool.hosts) {
        const auto *host = m_view.host(name);
        if (!host->specification)
            continue;
        room = plus(room, host->specification->capacity);
        for (const auto &[job, index] : host->tasks) {
            const auto &record = *m_view.job(job)->record;
            if (countEvictable || record.urgency != Urgency::Deferrable)
                room = minus(room, record.tasks[index].size);
        }
    }
    return room;
}

bool PoolBuffer::admits(const Resources &size) const
{
    return fits({size.processors, size.memoryGigabytes, 0}, m_room);
}

void PoolBuffer::take(const Resources &size)
{
    m_room = minus(m_room, size);
}

} // namespace Peridot
