#include "PoolBuffer.h"

#include "ResourceMath.h"
#include <cmath>

namespace Peridot {

namespace {

// Sizes are sums and shares of declared values; this part of a slot is rounding.
constexpr double roundingAllowance = 1e-6;

bool mayClaimBuffer(const JobRecord &record)
{
    return record.state != JobState::Unrunnable && record.state != JobState::Finished
           && record.state != JobState::Failed;
}

/// Slots of the largest rack and of the largest host.
class LargestDomain
{
public:
    void add(const HostSpecification &host, double slots)
    {
        auto &rack = m_racks[{host.dataCentre, host.rack}];
        rack += slots;
        m_largestRack = std::max(m_largestRack, rack);
        m_largestHost = std::max(m_largestHost, slots);
    }

    /// The larger of the largest rack and the budget in hosts.
    double need(unsigned budget) const { return std::max(m_largestRack, m_largestHost * budget); }

private:
    std::map<std::pair<std::string_view, std::string_view>, double> m_racks;
    double m_largestRack = 0;
    double m_largestHost = 0;
};

} // namespace

const FleetView::Pool *sparePool(const FleetView &view)
{
    for (const auto &pool : view.manifest()->pools) {
        if (pool.spare)
            return view.pool(pool.name);
    }
    return nullptr;
}

PoolBuffer::PoolBuffer(const FleetView &view, const PoolScope &scope, bool shared) : m_view(view)
{
    const auto *spare = shared ? sparePool(view) : nullptr;
    m_poolIsSpare = spare == scope.pool;
    m_unit = unitOf(scope, m_poolIsSpare);
    auto required = measurePool(*scope.pool);
    if (m_poolIsSpare)
        required = std::max(required, sharedNeed());
    else if (spare)
        required = std::max(0.0, required - room(*spare, true));
    // The allowance keeps the rounding of the sums from holding back the last slot.
    m_room += roundingAllowance - required;
    if (spare && !m_poolIsSpare)
        claimLoans(scope, *spare);
}

Resources PoolBuffer::unitOf(const PoolScope &scope, bool common) const
{
    Resources unit;
    const auto include = [&](const FleetView::Job &job) {
        if (!job.specification || (job.record && !mayClaimBuffer(*job.record)))
            return;
        const auto &declared = job.specification->taskSize;
        unit = largerOf(unit,
                        job.record ? estimatedSize(declared, job.record->observedUsage) : declared);
    };
    if (common) {
        // Deferrable tasks do not borrow hosts.
        for (const auto &[name, job] : m_view.jobs()) {
            if (job.record && job.record->urgency != Urgency::Deferrable)
                include(job);
        }
    }
    for (const auto &name : scope.pool->jobs)
        include(*m_view.job(name));
    // Accelerators are not buffered: they are too few for every rack to be doubled.
    unit.accelerators = 0;
    return unit;
}

double PoolBuffer::slots(const Resources &free, const Resources &capacity) const
{
    // A task larger than the host counts as one that fills it, and so does an unknown size.
    const bool known = m_unit.processors > 0 || m_unit.memoryGigabytes > 0;
    double count = std::numeric_limits<double>::max();
    const auto limit = [&](double unit, double available, double whole) {
        const double size = known ? std::min(unit, whole) : whole;
        if (size > 0)
            count = std::min(count, available / size);
    };
    limit(m_unit.processors, free.processors, capacity.processors);
    limit(m_unit.memoryGigabytes, free.memoryGigabytes, capacity.memoryGigabytes);
    if (count == std::numeric_limits<double>::max())
        return 0;
    const bool empty = free.processors + roundingAllowance >= capacity.processors
                       && free.memoryGigabytes + roundingAllowance >= capacity.memoryGigabytes;
    return empty ? count : std::max(0.0, std::floor(count + roundingAllowance));
}

double PoolBuffer::slotsOf(const Resources &claims) const
{
    double count = 0;
    if (m_unit.processors > 0)
        count = std::max(count, claims.processors / m_unit.processors);
    if (m_unit.memoryGigabytes > 0)
        count = std::max(count, claims.memoryGigabytes / m_unit.memoryGigabytes);
    return count;
}

double PoolBuffer::measurePool(const FleetView::Pool &pool)
{
    LargestDomain largest;
    for (const auto &name : pool.hosts) {
        const auto &host = *m_view.host(name);
        if (!host.specification)
            continue;
        const auto &capacity = host.specification->capacity;
        const double whole = slots(capacity, capacity);
        largest.add(*host.specification, whole);
        // Unavailable hosts are included: what they carried may use the buffer.
        m_room += slots(freeOn(host, m_poolIsSpare), capacity);
        m_largestCost = std::max(m_largestCost, 1 + whole - std::floor(whole + roundingAllowance));
    }
    return largest.need(pool.specification ? pool.specification->availabilityBudget : 0);
}

double PoolBuffer::sharedNeed() const
{
    // A rack that fails takes hosts of several pools with it.
    LargestDomain largest;
    for (const auto &host : m_view.manifest()->hosts)
        largest.add(host, slots(host.capacity, host.capacity));
    unsigned budget = 0;
    for (const auto &pool : m_view.manifest()->pools)
        budget = std::max(budget, pool.availabilityBudget);
    return largest.need(budget);
}

Resources PoolBuffer::freeOn(const FleetView::Host &host, bool countEvictable) const
{
    auto free = minus(host.specification->capacity, host.reserved);
    if (!countEvictable) {
        for (const auto &[job, index] : host.tasks) {
            const auto &record = *m_view.job(job)->record;
            if (record.urgency == Urgency::Deferrable)
                free = plus(free, record.tasks[index].size);
        }
    }
    const auto taken = m_taken.find(&host);
    return taken == m_taken.end() ? free : minus(free, taken->second);
}

double PoolBuffer::room(const FleetView::Pool &pool, bool countEvictable) const
{
    double room = 0;
    for (const auto &name : pool.hosts) {
        const auto &host = *m_view.host(name);
        if (host.specification)
            room += slots(freeOn(host, countEvictable), host.specification->capacity);
    }
    return room;
}

void PoolBuffer::claimLoans(const PoolScope &scope, const FleetView::Pool &spare)
{
    for (const auto &[task, host] : spare.placement.loans) {
        const auto loan = m_view.task(task);
        if (loan && loan->job->pool == scope.name)
            claim(loan->task().size);
    }
}

bool PoolBuffer::admits(const FleetView::Host &host, const Resources &size) const
{
    const auto &capacity = host.specification->capacity;
    const auto free = freeOn(host, m_poolIsSpare);
    const double cost = slots(free, capacity) - slots(minus(free, size), capacity);
    return cost <= roundingAllowance || cost <= m_room - claimedSlots();
}

bool PoolBuffer::admitsLoan(const Resources &size) const
{
    return slotsOf(plus(m_claimed, size)) <= m_room;
}

void PoolBuffer::take(const FleetView::Host &host, const Resources &size, Urgency urgency)
{
    // Deferrable tasks give the buffer of their own pool back at once.
    if (urgency == Urgency::Deferrable && !m_poolIsSpare)
        return;
    const auto &capacity = host.specification->capacity;
    const auto before = slots(freeOn(host, m_poolIsSpare), capacity);
    auto &taken = m_taken[&host];
    taken = plus(taken, size);
    m_room -= before - slots(freeOn(host, m_poolIsSpare), capacity);
}

void PoolBuffer::claim(const Resources &size)
{
    m_claimed = plus(m_claimed, size);
}

} // namespace Peridot
