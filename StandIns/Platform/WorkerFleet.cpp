#include "WorkerFleet.h"

#include <algorithm>

namespace Peridot {

namespace {

// The platform ticks with every request; passing over thousands of workers each time would make
// each request slow. A worker that is asked is up to date all the same.
constexpr Duration shortestTickInterval = std::chrono::milliseconds(5);
constexpr Duration shortestPublishInterval = std::chrono::milliseconds(100);
// Lists kept for each lag, which is also the precision of the lag.
constexpr int listsPerLag = 5;

} // namespace

WorkerFleet::WorkerFleet(const PlatformSettings &settings, TimePoint now) : m_settings(settings)
{
    for (const auto &behaviour : settings.jobs)
        m_behaviours[behaviour.job] = behaviour;
    const auto behaviourOf = [this](const std::string &job) {
        const auto found = m_behaviours.find(job);
        return found == m_behaviours.end() ? JobBehaviour{} : found->second;
    };
    for (const auto &worker : settings.workers)
        m_workers.try_emplace(worker.name, worker, settings.timings, behaviourOf, now);
    publish(now);
}

void WorkerFleet::tick(TimePoint now)
{
    if (now < m_ticked + shortestTickInterval)
        return;
    m_ticked = now;
    for (auto &[name, worker] : m_workers)
        worker.tick(now);
    const Duration interval
        = std::max(shortestPublishInterval, m_settings.hostListLag / listsPerLag);
    if (now >= m_lists.back().observed + interval)
        publish(now);
}

void WorkerFleet::publish(TimePoint now)
{
    HostList list;
    list.observed = now;
    list.hosts.reserve(m_workers.size());
    for (const auto &[name, worker] : m_workers) {
        HostReport report = worker.report(now);
        report.tasks.clear();
        if (!worker.reachable() && now >= report.lastSeen + m_settings.goneAfter)
            report.liveness = HostLiveness::Gone;
        list.hosts.push_back(std::move(report));
    }
    m_lists.push_back(std::move(list));
    while (m_lists.size() > 2 && m_lists[1].observed <= now - m_settings.hostListLag)
        m_lists.pop_front();
}

const HostList &WorkerFleet::hostList(TimePoint now) const
{
    if (now < m_frozenUntil)
        return m_frozenList;
    for (auto list = m_lists.rbegin(); list != m_lists.rend(); ++list) {
        if (list->observed <= now - m_settings.hostListLag)
            return *list;
    }
    return m_lists.front();
}

void WorkerFleet::freezeHostList(TimePoint now, TimePoint until)
{
    m_frozenList = hostList(now);
    m_frozenUntil = until;
}

SimulatedWorker *WorkerFleet::find(const std::string &host)
{
    const auto found = m_workers.find(host);
    return found == m_workers.end() ? nullptr : &found->second;
}

std::size_t WorkerFleet::forEach(const std::string &host, const std::string &rack,
                                 const std::string &dataCentre,
                                 const std::function<void(SimulatedWorker &)> &change)
{
    std::size_t count = 0;
    for (auto &[name, worker] : m_workers) {
        const auto &description = worker.description();
        const bool matches = (!host.empty() && name == host)
                             || (!rack.empty() && description.rack == rack)
                             || (!dataCentre.empty() && description.dataCentre == dataCentre);
        if (!matches)
            continue;
        change(worker);
        ++count;
    }
    return count;
}

void WorkerFleet::setBehaviour(const JobBehaviour &behaviour)
{
    m_behaviours[behaviour.job] = behaviour;
}

} // namespace Peridot
