// Maintains the hosts of each wave within the period of the wave and its limit of concurrent hosts.

#include <Kernel/Jobs/HostPlanner.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Peridot::Jobs {

namespace {

// Expected time until a reserved host has no more runs. Most short tasks end within it.
constexpr std::chrono::milliseconds expectedDrainTime{3000};
// A wave is planned to be completed this long before the end of its period.
constexpr std::chrono::milliseconds waveSafetyMargin{5000};
// When less than this remains of the period, the short tasks on reserved hosts are stopped.
constexpr std::chrono::milliseconds forcedDrainTime{4000};
// When tasks wait for their pool, a reserved host whose runs do not end, or that the provider does
// not take, is released after this time, and is not reserved again before the pause has passed.
constexpr std::chrono::milliseconds reservationPatience{2000};
constexpr std::chrono::milliseconds reservationPause{3000};

} // namespace

bool HostPlanner::isInMaintenance(TimePoint now, const Wave &wave, const Host &host) const
{
    return host.inTransition || host.description.phase == HostPhase::Maintenance
           || expectsEarlierMaintenance(now, wave, host);
}

unsigned HostPlanner::hostsInMaintenance(TimePoint now, const Wave &wave) const
{
    const auto &hosts = wave.request.hosts;
    return static_cast<unsigned>(
        std::count_if(hosts.begin(), hosts.end(), [&](const std::string &id) {
            const auto host = m_hosts.find(id);
            return host != m_hosts.end() && isInMaintenance(now, wave, host->second);
        }));
}

unsigned HostPlanner::concurrentHosts(TimePoint now, const Wave &wave) const
{
    const auto &hosts = wave.request.hosts;
    const auto reserved = std::count_if(hosts.begin(), hosts.end(), [&](const std::string &id) {
        const auto host = m_hosts.find(id);
        return host != m_hosts.end() && !wave.maintained.contains(id)
               && host->second.reservedForWave != 0 && !isInMaintenance(now, wave, host->second);
    });
    return hostsInMaintenance(now, wave) + static_cast<unsigned>(reserved);
}

bool HostPlanner::expectsEarlierMaintenance(TimePoint now, const Wave &wave, const Host &host) const
{
    const std::string &id = host.description.id;
    const auto until = m_earlierMaintenanceUntil.find(id);
    return until != m_earlierMaintenanceUntil.end() && now < until->second
           && !wave.maintained.contains(id);
}

double HostPlanner::remainingRounds(TimePoint now, const Wave &wave) const
{
    const Duration timePerHost = expectedDrainTime + m_timing.maintenanceDuration;
    const Duration remainingTime
        = wave.request.requestedAt + wave.request.period - waveSafetyMargin - now;
    return toSeconds(remainingTime) / toSeconds(timePerHost);
}

unsigned HostPlanner::requiredConcurrency(TimePoint now, const Wave &wave,
                                          std::size_t remainingHosts) const
{
    const double rounds = remainingRounds(now, wave);
    if (rounds <= 1)
        return wave.request.maximumConcurrent;
    const auto needed
        = static_cast<unsigned>(std::ceil(static_cast<double>(remainingHosts) / rounds));
    return std::min(needed, wave.request.maximumConcurrent);
}

void HostPlanner::planWave(TimePoint now, Wave &wave, JobScheduler &scheduler)
{
    std::size_t remainingHosts = 0;
    for (const std::string &id : wave.request.hosts) {
        // A host that the provider no longer lists needs no maintenance.
        if (!wave.maintained.contains(id) && m_hosts.contains(id))
            ++remainingHosts;
    }
    if (remainingHosts == 0) {
        wave.completed = true;
        observe("wave-completed", {}, std::to_string(wave.request.number));
        m_hooks.waveCompleted(wave.request.number);
        return;
    }
    reserveExpectedHosts(now, wave);
    reserveForWave(now, wave, scheduler);
    const bool stopsShortRuns
        = now > wave.request.requestedAt + wave.request.period - forcedDrainTime;
    for (const std::string &id : wave.request.hosts) {
        const auto entry = m_hosts.find(id);
        if (entry == m_hosts.end() || entry->second.reservedForWave != wave.request.number)
            continue;
        Host &host = entry->second;
        if (host.inTransition || !acceptsOrders(now, host))
            continue;
        if (runCount(host, scheduler) > 0) {
            if (stopsShortRuns)
                scheduler.stopShortRuns(now, host.description.worker);
            continue;
        }
        // A host that may be maintained already by an earlier order takes no further place.
        const unsigned itself = expectsEarlierMaintenance(now, wave, host) ? 1 : 0;
        if (hostsInMaintenance(now, wave) - itself >= wave.request.maximumConcurrent)
            continue;
        sendOrder(now, host, {HostOrderKind::Maintain, id, {}, wave.request.number, m_epoch});
    }
}

unsigned HostPlanner::maintenanceLimit(const std::string &pool, unsigned hosts) const
{
    // Other tasks need a host, too. Hosts of the spare pool replace those of the tasks that last.
    const unsigned kept
        = m_hasSpareHosts ? 1U : std::max(1U, m_demand.minimumHostsInMaintenance(pool));
    return hosts > kept ? hosts - kept : 1;
}

std::map<std::string, HostPlanner::PoolInWave> HostPlanner::poolsOf(TimePoint now,
                                                                    const Wave &wave) const
{
    std::map<std::string, PoolInWave> pools;
    for (const std::string &id : wave.request.hosts) {
        const auto host = m_hosts.find(id);
        if (host != m_hosts.end() && !wave.maintained.contains(id))
            ++pools[host->second.description.pool].remaining;
    }
    std::map<std::string, unsigned> hostsInPool;
    for (const auto &[id, host] : m_hosts) {
        const auto pool = pools.find(host.description.pool);
        if (pool == pools.end() || host.description.phase == HostPhase::Down)
            continue;
        ++hostsInPool[pool->first];
        if (host.reservedForWave != 0 || host.inTransition
            || host.description.phase == HostPhase::Maintenance)
            ++pool->second.outOfService;
    }
    for (auto &[name, pool] : pools) {
        pool.limit = maintenanceLimit(name, hostsInPool[name]);
        const bool isBound = pool.limit < std::min(wave.request.maximumConcurrent, pool.remaining);
        const unsigned rounds = (pool.remaining + pool.limit - 1) / pool.limit;
        if (isBound && !m_hasSpareHosts && remainingRounds(now, wave) < rounds + 1)
            pool.required = pool.limit;
    }
    return pools;
}

std::vector<HostPlanner::Host *> HostPlanner::reservableHosts(TimePoint now, const Wave &wave,
                                                              const JobScheduler &scheduler)
{
    std::vector<Host *> candidates;
    for (const std::string &id : wave.request.hosts) {
        const auto entry = m_hosts.find(id);
        if (entry == m_hosts.end() || wave.maintained.contains(id))
            continue;
        Host &host = entry->second;
        if (host.reservedForWave == 0 && host.description.phase == HostPhase::Up
            && now >= host.reservableAt && !isInMaintenance(now, wave, host))
            candidates.push_back(&host);
    }
    std::stable_sort(
        candidates.begin(), candidates.end(), [&](const Host *left, const Host *right) {
            return allocatedShare(*left, scheduler) < allocatedShare(*right, scheduler);
        });
    return candidates;
}

void HostPlanner::reserveForWave(TimePoint now, Wave &wave, const JobScheduler &scheduler)
{
    const std::vector<Host *> candidates = reservableHosts(now, wave, scheduler);
    unsigned concurrent = concurrentHosts(now, wave);
    auto present = presentHosts();
    const unsigned maximum = wave.request.maximumConcurrent;
    const unsigned requiredByWave = requiredConcurrency(now, wave, candidates.size() + concurrent);
    auto pools = poolsOf(now, wave);
    const unsigned requiredByPools
        = std::accumulate(pools.begin(), pools.end(), 0U, [](unsigned sum, const auto &entry) {
              return sum + entry.second.required;
          });
    const unsigned required = std::min(maximum, std::max(requiredByWave, requiredByPools));
    for (Host *host : candidates) {
        // Maintaining an idle host disturbs no runs, so only the limit of the wave applies if the
        // pool can spare the host. A host that the pool needs is reserved only when the wave
        // requires as many concurrent hosts as its limit, or that of the pool, allows.
        const bool idle = runCount(*host, scheduler) == 0;
        const std::string &name = host->description.pool;
        PoolInWave &pool = pools[name];
        const bool poolHasSurplus = present[name] > m_demand.neededHosts(name);
        const bool needsFullConcurrency = requiredByWave >= maximum || pool.required > 0;
        if (pool.outOfService >= pool.limit
            || concurrent >= (idle && poolHasSurplus ? maximum : required)
            || (!poolHasSurplus && !needsFullConcurrency))
            continue;
        reserve(now, *host, wave.request.number);
        ++concurrent;
        ++pool.outOfService;
        --present[name];
    }
}

void HostPlanner::reserveExpectedHosts(TimePoint now, const Wave &wave)
{
    for (const std::string &id : wave.request.hosts) {
        const auto entry = m_hosts.find(id);
        if (entry == m_hosts.end() || !expectsEarlierMaintenance(now, wave, entry->second))
            continue;
        Host &host = entry->second;
        const bool isInUse = !host.inTransition && host.description.phase == HostPhase::Up;
        if (isInUse && host.reservedForWave == 0 && now >= host.reservableAt)
            reserve(now, host, wave.request.number);
    }
}

void HostPlanner::reserve(TimePoint now, Host &host, std::uint64_t wave)
{
    host.reservedForWave = wave;
    host.reservedAt = now;
    host.reservedForMove = false;
    host.blockedSince.reset();
    observe("host-reserved", host.description.id, "wave " + std::to_string(wave));
}

void HostPlanner::releaseBlockedHosts(TimePoint now, const JobScheduler &scheduler)
{
    for (auto &[id, host] : m_hosts) {
        if (host.reservedForWave == 0 || host.inTransition)
            continue;
        if (scheduler.isDraining(host.description.worker) || areOrdersDeferred(now, id)) {
            host.blockedSince.reset();
            continue;
        }
        if (!host.blockedSince)
            host.blockedSince = now;
        const bool isBlocked = now >= *host.blockedSince + reservationPatience
                               && m_demand.waitingTasks(host.description.pool) > 0;
        // A host that is down takes no order, and would take a place of the wave.
        if (!isBlocked && host.description.phase != HostPhase::Down)
            continue;
        observe("host-released", id, "wave " + std::to_string(host.reservedForWave));
        host.reservedForWave = 0;
        host.reservableAt = now + reservationPause;
    }
}

} // namespace Peridot::Jobs
