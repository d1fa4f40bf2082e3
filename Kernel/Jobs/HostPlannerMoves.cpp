// Moves of hosts between pools, by the demand of each pool.

#include <Kernel/Jobs/HostPlanner.h>

#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

// A pool that had no burst yet keeps this part of its first hosts ready, and a smaller one while
// another pool lacks hosts: the rest comes within two seconds of a burst.
constexpr unsigned readyDivisor = 2;
constexpr unsigned starvedDivisor = 3;
// Pools without a burst keep fewer hosts for this long after another pool lacked some.
constexpr std::chrono::milliseconds starvedDelay{1000};
// A host goes back to the spare pool when nobody had a use for it for so long. Each move costs as
// much as a second of an idle host, and the next burst needs the same time to get it from there.
constexpr std::chrono::milliseconds parkingDelay{1200};

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
        if (after > 0 && after >= m_firstHosts[pool.name])
            m_hadBurst.insert(pool.name);
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

void HostPlanner::noteIdleHosts(TimePoint now, const JobScheduler &scheduler)
{
    for (auto &[id, host] : m_hosts) {
        if (host.away || runsOn(host, scheduler) > 0)
            host.idleSince.reset();
        else if (!host.idleSince)
            host.idleSince = now;
    }
}

HostPlanner::Host *HostPlanner::donor(TimePoint now, const JobScheduler &scheduler,
                                      const std::string &pool, Duration idleFor)
{
    for (auto &[id, host] : m_hosts) {
        const bool free = !host.away && host.reservedForWave == 0 && mayOrder(now, host);
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

unsigned HostPlanner::readyHosts(TimePoint now, const PoolSettings &pool) const
{
    // A pool without a burst so far may be the next to have one, before other hosts can come.
    const auto first = m_firstHosts.find(pool.name);
    const bool due = !pool.spare && !m_hadBurst.contains(pool.name);
    if (!due || first == m_firstHosts.end())
        return 0;
    const unsigned divisor = now < m_starvedUntil ? starvedDivisor : readyDivisor;
    return (first->second + divisor - 1) / divisor;
}

unsigned HostPlanner::keptHosts(TimePoint now, const PoolSettings &pool, bool forGood) const
{
    if (pool.spare)
        return 0;
    const unsigned needed
        = forGood ? m_demand.lastingNeed(pool.name) : m_demand.neededHosts(pool.name);
    return std::max(needed + 1, readyHosts(now, pool));
}

bool HostPlanner::giveHost(TimePoint now, const JobScheduler &scheduler, const std::string &from,
                           const std::string &to, Duration idleFor)
{
    Host *host = donor(now, scheduler, from, idleFor);
    if (host == nullptr || m_impossible.contains({host->description.id, to}))
        return false;
    moveHost(now, *host, to);
    return true;
}

bool HostPlanner::hasLastingRuns(const Host &host, const JobScheduler &scheduler)
{
    const auto worker = scheduler.workers().find(host.description.worker);
    return worker != scheduler.workers().end()
           && std::any_of(worker->second.runs.begin(), worker->second.runs.end(),
                          [&](const auto &entry) { return scheduler.isLasting(entry.first.task); });
}

void HostPlanner::lendHosts(const std::string &pool, std::size_t count,
                            const JobScheduler &scheduler)
{
    std::vector<Host *> hosts;
    for (auto &[id, host] : m_hosts) {
        if (host.description.pool != pool)
            continue;
        const bool able = !host.away && host.reservedForWave == 0
                          && host.description.phase == HostPhase::Up
                          && !hasLastingRuns(host, scheduler);
        if (able)
            hosts.push_back(&host);
        else
            host.lent = false;
    }
    // Hosts that are lent already stay so, or none would ever become empty.
    std::stable_sort(hosts.begin(), hosts.end(), [&](const Host *left, const Host *right) {
        return std::make_pair(!left->lent, load(*left, scheduler))
               < std::make_pair(!right->lent, load(*right, scheduler));
    });
    for (std::size_t index = 0; index < hosts.size(); ++index)
        hosts[index]->lent = index < count;
}

bool HostPlanner::takeHost(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                           const std::string &target)
{
    // Hosts of pools that don't need them are on already; those of a spare pool are not.
    for (const PoolSettings *pool : plan.donors) {
        const unsigned kept = keptHosts(now, *pool, false);
        if (pool->name == target || plan.present[pool->name] <= kept
            || !giveHost(now, scheduler, pool->name, target, Duration{0}))
            continue;
        --plan.present[pool->name];
        ++plan.present[target];
        return true;
    }
    return false;
}

void HostPlanner::growPools(TimePoint now, const JobScheduler &scheduler, MovePlan &plan)
{
    for (const PoolSettings *pool : plan.donors) {
        if (pool->spare)
            continue;
        const unsigned needed = m_demand.neededHosts(pool->name);
        // Hosts that are down may be starting; only work that is there takes others in their place.
        const unsigned ready = readyHosts(now, *pool);
        const unsigned wanted = std::max(needed, ready - std::min(ready, plan.down[pool->name]));
        unsigned &present = plan.present[pool->name];
        while (present < wanted && takeHost(now, scheduler, plan, pool->name))
            continue;
        if (present < needed) {
            m_starvedUntil = now + starvedDelay;
            plan.missing += needed - present;
        }
    }
}

void HostPlanner::planMoves(TimePoint now, const JobScheduler &scheduler,
                            const JobConfiguration &configuration)
{
    noteIdleHosts(now, scheduler);
    MovePlan plan;
    plan.present = presentHosts();
    for (const auto &[id, host] : m_hosts) {
        if (!host.away && host.description.phase == HostPhase::Down)
            ++plan.down[host.description.pool];
    }
    for (const PoolSettings &pool : configuration.pools)
        plan.donors.push_back(&pool);
    std::stable_partition(plan.donors.begin(), plan.donors.end(),
                          [](const PoolSettings *pool) { return !pool->spare; });
    growPools(now, scheduler, plan);
    for (const PoolSettings *pool : plan.donors) {
        const unsigned kept = keptHosts(now, *pool, false);
        const unsigned present = plan.present[pool->name];
        const std::size_t count
            = pool->spare ? 0
                          : std::min<std::size_t>(present - std::min(present, kept), plan.missing);
        lendHosts(pool->name, count, scheduler);
        plan.missing -= count;
    }
    if (!plan.donors.empty() && plan.donors.back()->spare)
        parkHosts(now, scheduler, plan, plan.donors.back()->name);
}

void HostPlanner::parkHosts(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                            const std::string &sparePool)
{
    for (const PoolSettings *pool : plan.donors) {
        unsigned &present = plan.present[pool->name];
        while (!pool->spare && present > keptHosts(now, *pool, true)
               && giveHost(now, scheduler, pool->name, sparePool, parkingDelay))
            --present;
    }
}

} // namespace Peridot::Jobs
