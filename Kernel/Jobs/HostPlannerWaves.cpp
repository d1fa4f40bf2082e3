// Maintenance of the hosts of a wave, within its period and its limit.

#include <Kernel/Jobs/HostPlanner.h>

#include <algorithm>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// Time that a host needs to become empty by placement: most short tasks end within it.
constexpr std::chrono::milliseconds drainAllowance{3000};
// A wave should be over this long before its period.
constexpr std::chrono::milliseconds waveReserve{5000};
// Short tasks on a host that is due are stopped when less than this is left of the period.
constexpr std::chrono::milliseconds waveUrgent{4000};

} // namespace

unsigned HostPlanner::inMaintenance(const Wave &wave) const
{
    return static_cast<unsigned>(std::count_if(
        wave.request.hosts.begin(), wave.request.hosts.end(), [&](const std::string &id) {
            const auto host = m_hosts.find(id);
            return host != m_hosts.end()
                   && (host->second.inTransition
                       || host->second.description.phase == HostPhase::Maintenance);
        }));
}

unsigned HostPlanner::requiredConcurrency(TimePoint now, const Wave &wave, std::size_t left) const
{
    const Duration cycle = drainAllowance + m_timing.maintenanceDuration;
    const Duration remaining = wave.request.requestedAt + wave.request.period - waveReserve - now;
    if (remaining <= cycle)
        return wave.request.maximumConcurrent;
    const double rounds = toSeconds(remaining) / toSeconds(cycle);
    const auto needed = static_cast<unsigned>(std::ceil(static_cast<double>(left) / rounds));
    return std::min(needed, wave.request.maximumConcurrent);
}

void HostPlanner::planWave(TimePoint now, Wave &wave, JobScheduler &scheduler)
{
    std::size_t left = 0;
    for (const std::string &id : wave.request.hosts) {
        // A host that the provider no longer lists needs no maintenance.
        if (!wave.maintained.contains(id) && m_hosts.contains(id))
            ++left;
    }
    if (left == 0) {
        wave.completed = true;
        observe("wave-completed", {}, std::to_string(wave.request.number));
        m_hooks.waveCompleted(wave.request.number);
        return;
    }
    reserveForWave(now, wave, scheduler);
    const bool urgent = now > wave.request.requestedAt + wave.request.period - waveUrgent;
    for (const std::string &id : wave.request.hosts) {
        const auto entry = m_hosts.find(id);
        if (entry == m_hosts.end() || entry->second.reservedForWave != wave.request.number)
            continue;
        Host &host = entry->second;
        if (host.inTransition || !acceptsOrders(now, host))
            continue;
        if (runsOn(host, scheduler) > 0) {
            if (urgent)
                scheduler.stopShortRuns(now, host.description.worker);
            continue;
        }
        if (inMaintenance(wave) >= wave.request.maximumConcurrent)
            return;
        order(now, host, {HostOrderKind::Maintain, id, {}, wave.request.number, m_epoch});
    }
}

void HostPlanner::reserveForWave(TimePoint now, Wave &wave, const JobScheduler &scheduler)
{
    std::vector<Host *> waiting;
    std::size_t taken = inMaintenance(wave);
    auto present = presentHosts();
    for (const std::string &id : wave.request.hosts) {
        const auto host = m_hosts.find(id);
        if (host == m_hosts.end() || wave.maintained.contains(id))
            continue;
        if (host->second.reservedForWave != 0)
            ++taken;
        else if (!host->second.inTransition && host->second.description.phase == HostPhase::Up)
            waiting.push_back(&host->second);
    }
    const unsigned wanted = requiredConcurrency(now, wave, waiting.size() + taken);
    std::stable_sort(waiting.begin(), waiting.end(), [&](const Host *left, const Host *right) {
        return load(*left, scheduler) < load(*right, scheduler);
    });
    const bool overdue = wanted >= wave.request.maximumConcurrent;
    for (Host *host : waiting) {
        // A host without runs costs nobody anything, so it does not wait.
        const bool idle = runsOn(*host, scheduler) == 0;
        const std::string &pool = host->description.pool;
        const bool spared = present[pool] > m_demand.neededHosts(pool);
        if (taken >= (idle && spared ? wave.request.maximumConcurrent : wanted)
            || (!spared && !overdue))
            continue;
        host->reservedForWave = wave.request.number;
        host->reservedForMove = false;
        ++taken;
        --present[pool];
        observe("host-reserved", host->description.id,
                "wave " + std::to_string(wave.request.number));
    }
}

} // namespace Peridot::Jobs
