#include "PoolBuffer.h"

#include "ResourceMath.h"
#include <cmath>

namespace Peridot {

namespace {

// Allowance for the rounding of sums and fractions of declared sizes, in slots.
constexpr double roundingAllowance = 1e-6;

bool mayClaimBuffer(const JobRecord &record)
{
    return record.state != JobState::Unrunnable && record.state != JobState::Finished
           && record.state != JobState::Failed;
}

/// Determines the sizes of the largest rack and of the largest host, in slots.
class LargestFailureDomain
{
public:
    void add(const HostSpecification &host, double slots)
    {
        auto &rack = m_racks[{host.dataCentre, host.rack}];
        rack += slots;
        m_largestRack = std::max(m_largestRack, rack);
        m_largestHost = std::max(m_largestHost, slots);
    }

    /// Size of the buffer: the slots of the largest rack, which may fail, or of as many of the
    /// largest hosts as \a budget allows to be unavailable, whichever is larger.
    double requiredSlots(unsigned budget) const
    {
        return std::max(m_largestRack, m_largestHost * budget);
    }

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
    m_isSparePool = spare == scope.pool;
    m_slotSize = largestClaimingTask(scope, m_isSparePool);
    auto required = addPoolSlots(*scope.pool);
    if (m_isSparePool)
        required = std::max(required, requiredSharedSlots());
    else if (spare)
        required = std::max(0.0, required - freeSlots(*spare, true));
    // Without the allowance, rounding errors could make the last slot unavailable.
    m_availableSlots += roundingAllowance - required;
    if (spare && !m_isSparePool)
        claimLoans(scope, *spare);
}

Resources PoolBuffer::largestClaimingTask(const PoolScope &scope, bool shared) const
{
    Resources unit;
    const auto include = [&](const FleetView::Job &job) {
        if (!job.specification || (job.record && !mayClaimBuffer(*job.record)))
            return;
        const auto &declared = job.specification->taskSize;
        unit = largerOf(unit,
                        job.record ? estimatedSize(declared, job.record->observedUsage) : declared);
    };
    if (shared) {
        // Deferrable tasks do not borrow hosts.
        for (const auto &[name, job] : m_view.jobs()) {
            if (job.record && job.record->urgency != Urgency::Deferrable)
                include(job);
        }
    }
    for (const auto &name : scope.pool->jobs)
        include(*m_view.job(name));
    // The buffer does not cover accelerators: there are too few of them to reserve those of a
    // whole rack.
    unit.accelerators = 0;
    return unit;
}

double PoolBuffer::countSlots(const Resources &free, const Resources &capacity) const
{
    // A task that is larger than the host counts as filling the host. When no task determines the
    // slot size, each host counts as one slot.
    const bool known = m_slotSize.processors > 0 || m_slotSize.memoryGigabytes > 0;
    double count = std::numeric_limits<double>::max();
    const auto limit = [&](double unit, double available, double whole) {
        const double size = known ? std::min(unit, whole) : whole;
        if (size > 0)
            count = std::min(count, available / size);
    };
    limit(m_slotSize.processors, free.processors, capacity.processors);
    limit(m_slotSize.memoryGigabytes, free.memoryGigabytes, capacity.memoryGigabytes);
    if (count == std::numeric_limits<double>::max())
        return 0;
    const bool empty = free.processors + roundingAllowance >= capacity.processors
                       && free.memoryGigabytes + roundingAllowance >= capacity.memoryGigabytes;
    return empty ? count : std::max(0.0, std::floor(count + roundingAllowance));
}

double PoolBuffer::slotsForClaims(const Resources &claims) const
{
    double count = 0;
    if (m_slotSize.processors > 0)
        count = std::max(count, claims.processors / m_slotSize.processors);
    if (m_slotSize.memoryGigabytes > 0)
        count = std::max(count, claims.memoryGigabytes / m_slotSize.memoryGigabytes);
    return count;
}

double PoolBuffer::addPoolSlots(const FleetView::Pool &pool)
{
    LargestFailureDomain largest;
    for (const auto &name : pool.hosts) {
        const auto &host = *m_view.host(name);
        if (!host.specification)
            continue;
        const auto &capacity = host.specification->capacity;
        const double whole = countSlots(capacity, capacity);
        largest.add(*host.specification, whole);
        // Unavailable hosts are included, because their former tasks may use the buffer, and
        // claim() counts those that found no host.
        m_availableSlots += countSlots(freeCapacityOf(host, m_isSparePool), capacity);
        m_maximumTaskCost
            = std::max(m_maximumTaskCost, 1 + whole - std::floor(whole + roundingAllowance));
    }
    return largest.requiredSlots(pool.specification ? pool.specification->availabilityBudget : 0);
}

double PoolBuffer::requiredSharedSlots() const
{
    // A rack may contain hosts of several pools, which fail together.
    LargestFailureDomain largest;
    for (const auto &host : m_view.manifest()->hosts)
        largest.add(host, countSlots(host.capacity, host.capacity));
    unsigned budget = 0;
    for (const auto &pool : m_view.manifest()->pools)
        budget = std::max(budget, pool.availabilityBudget);
    return largest.requiredSlots(budget);
}

Resources PoolBuffer::freeCapacityOf(const FleetView::Host &host, bool deferrableOccupies) const
{
    auto free = minus(host.specification->capacity, host.reserved);
    if (!deferrableOccupies) {
        for (const auto &[job, index] : host.tasks) {
            const auto &record = *m_view.job(job)->record;
            if (record.urgency == Urgency::Deferrable)
                free = plus(free, record.tasks[index].size);
        }
    }
    const auto placed = m_placedResources.find(&host);
    return placed == m_placedResources.end() ? free : minus(free, placed->second);
}

double PoolBuffer::freeSlots(const FleetView::Pool &pool, bool deferrableOccupies) const
{
    double count = 0;
    for (const auto &name : pool.hosts) {
        const auto &host = *m_view.host(name);
        if (host.specification)
            count += countSlots(freeCapacityOf(host, deferrableOccupies),
                                host.specification->capacity);
    }
    return count;
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
    const auto free = freeCapacityOf(host, m_isSparePool);
    const double cost = countSlots(free, capacity) - countSlots(minus(free, size), capacity);
    return cost <= roundingAllowance || cost <= m_availableSlots - claimedSlots();
}

bool PoolBuffer::admitsLoan(const Resources &size) const
{
    return slotsForClaims(plus(m_claimed, size)) <= m_availableSlots;
}

void PoolBuffer::recordPlacement(const FleetView::Host &host, const Resources &size,
                                 Urgency urgency)
{
    // Deferrable tasks in the buffer of their own pool are evicted when the buffer is needed, so
    // they do not reduce it.
    if (urgency == Urgency::Deferrable && !m_isSparePool)
        return;
    const auto &capacity = host.specification->capacity;
    const auto before = countSlots(freeCapacityOf(host, m_isSparePool), capacity);
    auto &placed = m_placedResources[&host];
    placed = plus(placed, size);
    m_availableSlots -= before - countSlots(freeCapacityOf(host, m_isSparePool), capacity);
}

void PoolBuffer::claim(const Resources &size)
{
    m_claimed = plus(m_claimed, size);
}

} // namespace Peridot
