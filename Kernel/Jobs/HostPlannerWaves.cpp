// Maintains the hosts of each wave within the period of the wave and its limit of concurrent hosts.

#include <Kernel/Jobs/HostPlanner.h>

#include <algorithm>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// Expected time until a reserved host has no more runs. Most short tasks end within it.
constexpr std::chrono::milliseconds expectedDrainTime{3000};
// A wave is planned to be completed this long before the end of its period.
constexpr std::chrono::milliseconds waveSafetyMargin{5000};
// When less than this remains of the period, the short tasks on reserved hosts are stopped.
constexpr std::chrono::milliseconds forcedDrainTime{4000};

} // namespace

unsigned HostPlanner::hostsInMaintenance(const Wave &wave) const
{
    return static_cast<unsigned>(std::count_if(
        wave.request.hosts.begin(), wave.request.hosts.end(), [&](const std::string &id) {
            const auto host = m_hosts.find(id);
            return host != m_hosts.end()
                   && (host->second.inTransition
                       || host->second.description.phase == HostPhase::Maintenance);
        }));
}

unsigned HostPlanner::requiredConcurrency(TimePoint now, const Wave &wave,
                                          std::size_t remainingHosts) const
{
    const Duration timePerHost = expectedDrainTime + m_timing.maintenanceDuration;
    const Duration remainingTime
        = wave.request.requestedAt + wave.request.period - waveSafetyMargin - now;
    if (remainingTime <= timePerHost)
        return wave.request.maximumConcurrent;
    const double rounds = toSeconds(remainingTime) / toSeconds(timePerHost);
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
        if (hostsInMaintenance(wave) >= wave.request.maximumConcurrent)
            return;
        sendOrder(now, host, {HostOrderKind::Maintain, id, {}, wave.request.number, m_epoch});
    }
}

void HostPlanner::reserveForWave(TimePoint now, Wave &wave, const JobScheduler &scheduler)
{
    std::vector<Host *> candidates;
    std::size_t concurrentHosts = hostsInMaintenance(wave);
    auto present = presentHosts();
    for (const std::string &id : wave.request.hosts) {
        const auto host = m_hosts.find(id);
        if (host == m_hosts.end() || wave.maintained.contains(id))
            continue;
        // hostsInMaintenance() has counted the hosts in transition already.
        if (host->second.inTransition || host->second.description.phase == HostPhase::Maintenance)
            continue;
        if (host->second.reservedForWave != 0)
            ++concurrentHosts;
        else if (host->second.description.phase == HostPhase::Up)
            candidates.push_back(&host->second);
    }
    const unsigned required = requiredConcurrency(now, wave, candidates.size() + concurrentHosts);
    std::stable_sort(
        candidates.begin(), candidates.end(), [&](const Host *left, const Host *right) {
            return allocatedShare(*left, scheduler) < allocatedShare(*right, scheduler);
        });
    const bool needsFullConcurrency = required >= wave.request.maximumConcurrent;
    for (Host *host : candidates) {
        // Maintaining an idle host disturbs no runs, so only the limit of the wave applies if the
        // pool can spare the host. A host that the pool needs is reserved only when the wave
        // requires as many concurrent hosts as its limit allows.
        const bool idle = runCount(*host, scheduler) == 0;
        const std::string &pool = host->description.pool;
        const bool poolHasSurplus = present[pool] > m_demand.neededHosts(pool);
        if (concurrentHosts >= (idle && poolHasSurplus ? wave.request.maximumConcurrent : required)
            || (!poolHasSurplus && !needsFullConcurrency))
            continue;
        host->reservedForWave = wave.request.number;
        host->reservedForMove = false;
        ++concurrentHosts;
        --present[pool];
        observe("host-reserved", host->description.id,
                "wave " + std::to_string(wave.request.number));
    }
}

} // namespace Peridot::Jobs
