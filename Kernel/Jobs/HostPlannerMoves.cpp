// Moves of hosts between pools, by the demand of each pool.

#include <Kernel/Jobs/HostPlanner.h>

#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

// A pool that had no burst yet keeps this part of its first hosts ready, and a smaller one while
// another pool lacks hosts: the rest comes within two seconds of a burst.
constexpr unsigned standbyDivisor = 2;
constexpr unsigned shortageDivisor = 3;
// Pools without a burst keep fewer hosts for this long after another pool lacked some.
constexpr std::chrono::milliseconds shortageDelay{1000};
// A host goes back to the spare pool when nobody had a use for it for so long. Each move costs as
// much as a second of an idle host, and the next burst needs the same time to get it from there.
constexpr std::chrono::milliseconds idleReturnDelay{1200};

} // namespace

void HostPlanner::observeDemand(TimePoint now, const JobScheduler &scheduler,
                                const JobConfiguration &configuration)
{
    std::map<std::string, TaskSize> sizes;
    TaskSize anySize;
    for (const auto &[id, host] : m_hosts) {
        sizes[host.description.pool] = host.description.capacity;
        anySize = host.description.capacity;
    }
    // Jobs that were there before the first observation did not arrive at once.
    const auto loads = poolLoads(scheduler, m_demandObservedAt.value_or(now));
    m_demandObservedAt = now;
    auto present = presentHosts();
    for (const PoolSettings &pool : configuration.pools) {
        if (pool.spare)
            continue;
        const auto load = loads.find(pool.name);
        const auto size = sizes.find(pool.name);
        const unsigned before = m_demand.neededHosts(pool.name);
        const PoolLoad poolLoad = load == loads.end() ? PoolLoad{} : load->second;
        m_demand.observe(now, pool.name, poolLoad, size == sizes.end() ? anySize : size->second);
        const unsigned after = m_demand.neededHosts(pool.name);
        if (after > 0 && after >= m_initialHosts[pool.name])
            m_poolsWithBurst.insert(pool.name);
        if (after != before)
            observe(
                "pool-demand", {},
                pool.name + ": " + std::to_string(after) + " hosts, active="
                    + std::to_string(poolLoad.active.milliProcessors / 1000) + " waiting="
                    + std::to_string(poolLoad.waiting.milliProcessors / 1000) + " work="
                    + std::to_string(static_cast<int>(poolLoad.waitingMilliProcessorSeconds / 1000))
                    + " present=" + std::to_string(present[pool.name]));
    }
}

void HostPlanner::updateIdleTimes(TimePoint now, const JobScheduler &scheduler)
{
    for (auto &[id, host] : m_hosts) {
        if (host.inTransition || runsOn(host, scheduler) > 0)
            host.idleSince.reset();
        else if (!host.idleSince)
            host.idleSince = now;
    }
}

HostPlanner::Host *HostPlanner::findIdleHost(TimePoint now, const JobScheduler &scheduler,
                                             const std::string &pool, Duration idleFor)
{
    for (auto &[id, host] : m_hosts) {
        const bool free
            = !host.inTransition && host.reservedForWave == 0 && acceptsOrders(now, host);
        if (!free || host.description.pool != pool || runsOn(host, scheduler) > 0)
            continue;
        if (host.idleSince && now >= *host.idleSince + idleFor)
            return &host;
    }
    return nullptr;
}

void HostPlanner::moveHost(TimePoint now, Host &host, const std::string &pool)
{
    order(now, host, {HostOrderKind::Move, host.description.id, pool, 0, m_epoch});
    host.description.pool = pool;
}

unsigned HostPlanner::standbyHosts(TimePoint now, const PoolSettings &pool) const
{
    // A pool without a burst so far may be the next to have one, before other hosts can come.
    const auto first = m_initialHosts.find(pool.name);
    const bool due = !pool.spare && !m_poolsWithBurst.contains(pool.name);
    if (!due || first == m_initialHosts.end())
        return 0;
    const unsigned divisor = now < m_shortageUntil ? shortageDivisor : standbyDivisor;
    return (first->second + divisor - 1) / divisor;
}

unsigned HostPlanner::hostsToKeep(TimePoint now, const PoolSettings &pool, bool permanently) const
{
    if (pool.spare)
        return 0;
    const unsigned needed
        = permanently ? m_demand.recentPeakHosts(pool.name) : m_demand.neededHosts(pool.name);
    return std::max(needed + 1, standbyHosts(now, pool));
}

bool HostPlanner::moveIdleHost(TimePoint now, const JobScheduler &scheduler,
                               const std::string &from, const std::string &to, Duration idleFor)
{
    Host *host = findIdleHost(now, scheduler, from, idleFor);
    if (host == nullptr || m_invalidMoves.contains({host->description.id, to}))
        return false;
    moveHost(now, *host, to);
    return true;
}

bool HostPlanner::hasLongRunningTasks(const Host &host, const JobScheduler &scheduler)
{
    const auto worker = scheduler.workers().find(host.description.worker);
    return worker != scheduler.workers().end()
           && std::any_of(
               worker->second.runs.begin(), worker->second.runs.end(),
               [&](const auto &entry) { return scheduler.isLongRunning(entry.first.task); });
}

void HostPlanner::reserveForMoves(const std::string &pool, std::size_t count,
                                  const JobScheduler &scheduler)
{
    std::vector<Host *> hosts;
    for (auto &[id, host] : m_hosts) {
        if (host.description.pool != pool)
            continue;
        const bool able = !host.inTransition && host.reservedForWave == 0
                          && host.description.phase == HostPhase::Up
                          && !hasLongRunningTasks(host, scheduler);
        if (able)
            hosts.push_back(&host);
        else
            host.reservedForMove = false;
    }
    // Hosts that are lent already stay so, or none would ever become empty.
    std::stable_sort(hosts.begin(), hosts.end(), [&](const Host *left, const Host *right) {
        return std::make_pair(!left->reservedForMove, load(*left, scheduler))
               < std::make_pair(!right->reservedForMove, load(*right, scheduler));
    });
    for (std::size_t index = 0; index < hosts.size(); ++index)
        hosts[index]->reservedForMove = index < count;
}

bool HostPlanner::acquireHost(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                              const std::string &target)
{
    // Hosts of pools that don't need them are on already; those of a spare pool are not.
    for (const PoolSettings *pool : plan.sourcePools) {
        const unsigned kept = hostsToKeep(now, *pool, false);
        if (pool->name == target || plan.present[pool->name] <= kept
            || !moveIdleHost(now, scheduler, pool->name, target, Duration{0}))
            continue;
        --plan.present[pool->name];
        ++plan.present[target];
        return true;
    }
    return false;
}

void HostPlanner::growPools(TimePoint now, const JobScheduler &scheduler, MovePlan &plan)
{
    for (const PoolSettings *pool : plan.sourcePools) {
        if (pool->spare)
            continue;
        const unsigned needed = m_demand.neededHosts(pool->name);
        // Hosts that are down may be starting; only work that is there takes others in their place.
        const unsigned ready = standbyHosts(now, *pool);
        const unsigned wanted = std::max(needed, ready - std::min(ready, plan.down[pool->name]));
        unsigned &present = plan.present[pool->name];
        while (present < wanted && acquireHost(now, scheduler, plan, pool->name))
            continue;
        if (present < needed) {
            m_shortageUntil = now + shortageDelay;
            plan.missing += needed - present;
        }
    }
}

void HostPlanner::planMoves(TimePoint now, const JobScheduler &scheduler,
                            const JobConfiguration &configuration)
{
    updateIdleTimes(now, scheduler);
    MovePlan plan;
    plan.present = presentHosts();
    for (const auto &[id, host] : m_hosts) {
        if (!host.inTransition && host.description.phase == HostPhase::Down)
            ++plan.down[host.description.pool];
    }
    for (const PoolSettings &pool : configuration.pools)
        plan.sourcePools.push_back(&pool);
    std::stable_partition(plan.sourcePools.begin(), plan.sourcePools.end(),
                          [](const PoolSettings *pool) { return !pool->spare; });
    growPools(now, scheduler, plan);
    for (const PoolSettings *pool : plan.sourcePools) {
        const unsigned kept = hostsToKeep(now, *pool, false);
        const unsigned present = plan.present[pool->name];
        const std::size_t count
            = pool->spare ? 0
                          : std::min<std::size_t>(present - std::min(present, kept), plan.missing);
        reserveForMoves(pool->name, count, scheduler);
        plan.missing -= count;
    }
    if (!plan.sourcePools.empty() && plan.sourcePools.back()->spare)
        returnIdleHosts(now, scheduler, plan, plan.sourcePools.back()->name);
}

void HostPlanner::returnIdleHosts(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                                  const std::string &sparePool)
{
    for (const PoolSettings *pool : plan.sourcePools) {
        unsigned &present = plan.present[pool->name];
        while (!pool->spare && present > hostsToKeep(now, *pool, true)
               && moveIdleHost(now, scheduler, pool->name, sparePool, idleReturnDelay))
            --present;
    }
}

} // namespace Peridot::Jobs
