#include <Kernel/Fleet/FleetView.h>

#include <algorithm>

namespace Peridot {

namespace {

/// Calls \a changed for each entry of \a list that differs from the entry of the same name in
/// \a other.
template <typename List, typename Function>
void forEachChanged(const List &list, const List &other, Function &&changed)
{
    std::unordered_map<std::string_view, const typename List::value_type *> byName;
    byName.reserve(other.size());
    for (const auto &entry : other)
        byName.emplace(entry.name, &entry);
    for (const auto &entry : list) {
        const auto found = byName.find(entry.name);
        if (found == byName.end() || !(*found->second == entry))
            changed(entry);
    }
}

std::set<std::string> changedPools(const Manifest &before, const Manifest &after)
{
    std::set<std::string> pools;
    const auto addName = [&](const PoolSpecification &pool) {
        pools.insert(pool.name);
    };
    const auto addPool = [&](const auto &entry) {
        pools.insert(entry.pool);
    };
    if (before.teams != after.teams || before.services != after.services
        || before.backendServers != after.backendServers
        || before.maintenance != after.maintenance) {
        for (const auto &pool : after.pools)
            pools.insert(pool.name);
    }
    forEachChanged(before.pools, after.pools, addName);
    forEachChanged(after.pools, before.pools, addName);
    forEachChanged(before.hosts, after.hosts, addPool);
    forEachChanged(after.hosts, before.hosts, addPool);
    forEachChanged(before.jobs, after.jobs, addPool);
    forEachChanged(after.jobs, before.jobs, addPool);
    return pools;
}

} // namespace

void FleetView::setManifest(std::shared_ptr<const Manifest> manifest, std::uint64_t version)
{
    if (!manifest || (m_manifest && version < m_manifestVersion))
        return;
    const Manifest none;
    m_changedPools.merge(changedPools(m_manifest ? *m_manifest : none, *manifest));
    clearManifestIndexes();
    // The former manifest is released last: its specifications are referred to until here.
    const auto former = std::exchange(m_manifest, std::move(manifest));
    m_manifestVersion = version;
    indexManifestPools();
    indexManifestHosts();
}

void FleetView::clearManifestIndexes()
{
    for (auto &[name, host] : m_hosts) {
        host.specification = nullptr;
        host.hasBackendServer = false;
    }
    for (auto &[name, pool] : m_pools) {
        pool.specification = nullptr;
        pool.unadmittedHosts.clear();
        pool.longestDeadline = {};
    }
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        auto &job = entry->second;
        if (job.specification && !job.record)
            m_pools[job.specification->pool].jobs.erase(entry->first);
        job.specification = nullptr;
        entry = job.record ? std::next(entry) : m_jobs.erase(entry);
    }
    for (auto &[name, team] : m_teams)
        team.specification = nullptr;
}

void FleetView::indexManifestPools()
{
    for (const auto &pool : m_manifest->pools)
        m_pools[pool.name].specification = &pool;
    for (const auto &service : m_manifest->services) {
        for (const auto &pool : service.pools) {
            auto &longest = m_pools[pool].longestDeadline;
            longest = std::max(longest, service.deadline);
        }
    }
    for (const auto &team : m_manifest->teams) {
        auto &entry = m_teams[team.name];
        entry.specification = &team;
        entry.record.name = team.name;
    }
    for (const auto &job : m_manifest->jobs) {
        auto &entry = m_jobs[job.name];
        entry.specification = &job;
        if (!entry.record)
            m_pools[job.pool].jobs.insert(job.name);
    }
}

void FleetView::indexManifestHosts()
{
    for (const auto &specification : m_manifest->hosts) {
        auto &host = m_hosts[specification.name];
        host.specification = &specification;
        if (!host.record)
            m_pools[specification.pool].unadmittedHosts.insert(specification.name);
        m_domains[specification.dataCentre + "/" + specification.rack].insert(specification.name);
        m_domains[specification.dataCentre + "/"].insert(specification.name);
    }
    for (const auto &server : m_manifest->backendServers)
        m_hosts[server.host].hasBackendServer = true;
}

} // namespace Peridot
