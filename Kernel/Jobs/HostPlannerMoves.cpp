// Moves hosts between pools according to the demand of each pool.

#include <Kernel/Jobs/HostPlanner.h>

#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

// A pool that has not had a burst yet keeps 1/standbyDivisor of its initial hosts on standby, or
// 1/shortageDivisor while another pool lacks hosts. The rest arrives within two seconds of a burst.
constexpr unsigned standbyDivisor = 2;
constexpr unsigned shortageDivisor = 3;
// Pools keep fewer standby hosts for this long after another pool last lacked hosts.
constexpr std::chrono::milliseconds shortagePeriod{1000};
// A host returns to the spare pool after it has been idle for this long. Each move costs as much as
// a second of an idle host, and moving the host out again for the next burst takes the same time.
constexpr std::chrono::milliseconds idleReturnDelay{1200};
// The same after the peak of a pool, when another pool has the next one. Until then, jobs of
// several steps may still use the host.
constexpr std::chrono::milliseconds restingReturnDelay{300};

} // namespace

void HostPlanner::observeDemand(TimePoint now, const JobScheduler &scheduler,
                                const JobConfiguration &configuration)
{
    std::map<std::string, TaskSize> hostSizes;
    TaskSize fallbackSize;
    for (const auto &[id, host] : m_hosts) {
        hostSizes[host.description.pool] = host.description.capacity;
        fallbackSize = host.description.capacity;
    }
    // Jobs received before the first observation are not counted as arrivals, because they did not
    // all arrive at this moment.
    const auto loads = poolLoads(scheduler, now, m_demandObservedAt.value_or(now));
    m_demandObservedAt = now;
    auto present = presentHosts();
    std::map<std::string, unsigned> neededBefore;
    for (const PoolSettings &pool : configuration.pools) {
        if (pool.spare)
            continue;
        const auto load = loads.find(pool.name);
        const auto size = hostSizes.find(pool.name);
        const PoolLoad poolLoad = load == loads.end() ? PoolLoad{} : load->second;
        neededBefore[pool.name] = m_demand.neededHosts(pool.name);
        m_demand.observe(now, pool.name, poolLoad,
                         size == hostSizes.end() ? fallbackSize : size->second);
        const unsigned needed = m_demand.neededHosts(pool.name);
        if (needed > 0 && needed >= m_initialHosts[pool.name])
            m_poolsWithBurst.insert(pool.name);
    }
    unsigned hosts = 0;
    for (const auto &[pool, count] : present)
        hosts += count;
    forecastPeaks(now, configuration, hosts);
    m_demand.share(hosts);
    for (const auto &[pool, before] : neededBefore) {
        const auto load = loads.find(pool);
        if (m_demand.neededHosts(pool) != before)
            reportDemand(pool, load == loads.end() ? PoolLoad{} : load->second, present[pool]);
    }
}

void HostPlanner::forecastPeaks(TimePoint now, const JobConfiguration &configuration,
                                unsigned hosts)
{
    std::map<std::string, double> loads;
    for (const PoolSettings &pool : configuration.pools) {
        if (!pool.spare)
            loads[pool.name] = m_demand.arrivingHosts(pool.name);
    }
    m_forecast.observe(now, loads, hosts);
    const auto expected = m_forecast.expectedHosts(now);
    for (const auto &[pool, load] : loads) {
        const auto found = expected.find(pool);
        m_demand.expect(pool, found == expected.end() ? 0 : found->second);
    }
}

void HostPlanner::reportDemand(const std::string &pool, const PoolLoad &load,
                               unsigned present) const
{
    observe("pool-demand", {},
            pool + ": " + std::to_string(m_demand.neededHosts(pool))
                + " hosts, active=" + std::to_string(load.active.milliProcessors / 1000)
                + " waiting=" + std::to_string(load.waiting.milliProcessors / 1000) + " work="
                + std::to_string(static_cast<int>(load.waitingMilliProcessorSeconds / 1000))
                + " late=" + std::to_string(static_cast<int>(load.lateMilliProcessorSeconds / 1000))
                + " present=" + std::to_string(present));
}

void HostPlanner::updateIdleTimes(TimePoint now, const JobScheduler &scheduler)
{
    for (auto &[id, host] : m_hosts) {
        if (host.inTransition || runCount(host, scheduler) > 0)
            host.idleSince.reset();
        else if (!host.idleSince)
            host.idleSince = now;
    }
}

HostPlanner::Host *HostPlanner::findIdleHost(TimePoint now, const JobScheduler &scheduler,
                                             const std::string &pool, const std::string &target,
                                             Duration minimumIdleTime)
{
    for (auto &[id, host] : m_hosts) {
        const bool available
            = !host.inTransition && host.reservedForWave == 0 && acceptsOrders(now, host);
        if (!available || m_invalidMoves.contains({id, target}) || host.description.pool != pool
            || runCount(host, scheduler) > 0)
            continue;
        if (host.idleSince && now >= *host.idleSince + minimumIdleTime)
            return &host;
    }
    return nullptr;
}

void HostPlanner::moveHost(TimePoint now, Host &host, const std::string &pool)
{
    sendOrder(now, host, {HostOrderKind::Move, host.description.id, pool, 0, m_epoch});
    host.description.pool = pool;
}

unsigned HostPlanner::standbyHosts(TimePoint now, const PoolSettings &pool) const
{
    // A pool that has not had a burst yet may have the next one, and needs hosts for it before
    // those of other pools can arrive.
    const auto initial = m_initialHosts.find(pool.name);
    const bool expectsBurst = !pool.spare && !m_poolsWithBurst.contains(pool.name);
    if (!expectsBurst || initial == m_initialHosts.end())
        return 0;
    const unsigned divisor = now < m_shortageUntil ? shortageDivisor : standbyDivisor;
    return (initial->second + divisor - 1) / divisor;
}

unsigned HostPlanner::hostsToKeep(TimePoint now, const PoolSettings &pool, bool forSparePool) const
{
    if (pool.spare)
        return 0;
    unsigned needed = m_demand.neededHosts(pool.name);
    if (forSparePool) {
        const unsigned recentPeak = m_demand.recentPeakHosts(pool.name);
        const unsigned resting = m_forecast.restingHosts(pool.name).value_or(recentPeak);
        needed = std::max(needed, std::min(recentPeak, resting));
    }
    return std::max({needed + 1, m_demand.expectedHosts(pool.name), standbyHosts(now, pool)});
}

bool HostPlanner::moveIdleHost(TimePoint now, const JobScheduler &scheduler,
                               const std::string &from, const std::string &to,
                               Duration minimumIdleTime)
{
    Host *host = findIdleHost(now, scheduler, from, to, minimumIdleTime);
    if (host == nullptr)
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
        const bool eligible = !host.inTransition && host.reservedForWave == 0
                              && host.description.phase == HostPhase::Up
                              && !hasLongRunningTasks(host, scheduler);
        if (eligible)
            hosts.push_back(&host);
        else
            host.reservedForMove = false;
    }
    // Hosts that are already reserved are preferred. If the selection followed the load alone, it
    // would keep changing and no host would ever become idle.
    std::stable_sort(hosts.begin(), hosts.end(), [&](const Host *left, const Host *right) {
        return std::make_pair(!left->reservedForMove, allocatedShare(*left, scheduler))
               < std::make_pair(!right->reservedForMove, allocatedShare(*right, scheduler));
    });
    for (std::size_t index = 0; index < hosts.size(); ++index)
        hosts[index]->reservedForMove = index < count;
}

bool HostPlanner::acquireHost(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                              const std::string &target)
{
    // Surplus hosts of other pools are tried before those of a spare pool, because they are already
    // powered on.
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
        // Hosts that are down may be starting, so they count as standby hosts. Other hosts replace
        // them only to meet the current demand.
        const unsigned standby = standbyHosts(now, *pool);
        const unsigned ahead = std::max(needed, m_demand.expectedHosts(pool->name));
        const unsigned targetHosts
            = std::max(ahead, standby - std::min(standby, plan.down[pool->name]));
        unsigned &present = plan.present[pool->name];
        while (present < targetHosts && acquireHost(now, scheduler, plan, pool->name))
            continue;
        if (present < needed)
            m_shortageUntil = now + shortagePeriod;
        if (present < ahead)
            plan.missing += ahead - present;
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
        const std::size_t hostsToReserve
            = pool->spare ? 0
                          : std::min<std::size_t>(present - std::min(present, kept), plan.missing);
        reserveForMoves(pool->name, hostsToReserve, scheduler);
        plan.missing -= hostsToReserve;
    }
    if (!plan.sourcePools.empty() && plan.sourcePools.back()->spare)
        returnIdleHosts(now, scheduler, plan, plan.sourcePools.back()->name);
}

void HostPlanner::returnIdleHosts(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                                  const std::string &sparePool)
{
    for (const PoolSettings *pool : plan.sourcePools) {
        unsigned &present = plan.present[pool->name];
        const Duration delay
            = m_forecast.restingHosts(pool->name) ? restingReturnDelay : idleReturnDelay;
        while (!pool->spare && present > hostsToKeep(now, *pool, true)
               && moveIdleHost(now, scheduler, pool->name, sparePool, delay))
            --present;
    }
}

} // namespace Peridot::Jobs
