#include "ManifestChecker.h"

#include <arpa/inet.h>
#include <array>
#include <fmt/format.h>
#include <map>

namespace Peridot {

namespace {

bool isAddress(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1
           || inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

} // namespace

template <typename List>
Result<ManifestChecker::Names> ManifestChecker::uniqueNames(const List &list,
                                                            const std::string &path) const
{
    Names names;
    for (std::size_t index = 0; index < list.size(); ++index) {
        if (!names.insert(list[index].name).second)
            return makeError(ErrorCode::DuplicateName, fmt::format("{}/{}/name", path, index),
                             list[index].name);
    }
    return names;
}

Result<void> ManifestChecker::check()
{
    BOOST_LEAF_ASSIGN(m_pools, uniqueNames(m_manifest.pools, "pools"));
    BOOST_LEAF_ASSIGN(m_hosts, uniqueNames(m_manifest.hosts, "hosts"));
    BOOST_LEAF_ASSIGN(m_teams, uniqueNames(m_manifest.teams, "teams"));
    BOOST_LEAF_CHECK(uniqueNames(m_manifest.backendServers, "backend_servers"));
    BOOST_LEAF_CHECK(uniqueNames(m_manifest.services, "services"));
    BOOST_LEAF_CHECK(uniqueNames(m_manifest.jobs, "jobs"));
    BOOST_LEAF_CHECK(checkPools());
    BOOST_LEAF_CHECK(checkHosts());
    BOOST_LEAF_CHECK(checkBackendServers());
    BOOST_LEAF_CHECK(checkServices());
    return checkJobs();
}

Result<void> ManifestChecker::checkPools() const
{
    std::size_t spares = 0;
    for (std::size_t index = 0; index < m_manifest.pools.size(); ++index) {
        spares += m_manifest.pools[index].spare ? 1 : 0;
        if (spares > 1)
            return makeError(ErrorCode::InvalidValue, fmt::format("pools/{}/spare", index),
                             "only one pool can be the spare pool");
    }
    return {};
}

Result<void> ManifestChecker::checkHosts() const
{
    std::map<std::string_view, std::string_view> dataCentreOfRack;
    for (std::size_t index = 0; index < m_manifest.hosts.size(); ++index) {
        const auto &host = m_manifest.hosts[index];
        if (!m_pools.contains(host.pool))
            return makeError(ErrorCode::UnknownReference, fmt::format("hosts/{}/pool", index),
                             host.pool);
        if (host.capacity.processors <= 0 || host.capacity.memoryGigabytes <= 0)
            return makeError(ErrorCode::InvalidValue, fmt::format("hosts/{}/capacity", index),
                             "processors and memory must be positive");
        if (!dataCentreOfRack.emplace(host.rack, host.dataCentre).second
            && dataCentreOfRack[host.rack] != host.dataCentre)
            return makeError(ErrorCode::InvalidValue, fmt::format("hosts/{}/data_centre", index),
                             "the rack is in another data centre");
    }
    return {};
}

Result<void> ManifestChecker::checkBackendServers() const
{
    std::set<std::pair<std::string_view, unsigned>> endpoints;
    for (std::size_t index = 0; index < m_manifest.backendServers.size(); ++index) {
        const auto &server = m_manifest.backendServers[index];
        const auto path = fmt::format("backend_servers/{}/", index);
        if (!m_hosts.contains(server.host))
            return makeError(ErrorCode::UnknownReference, path + "host", server.host);
        if (!isAddress(server.address))
            return makeError(ErrorCode::InvalidValue, path + "address", "not an IP address");
        if (!endpoints.emplace(server.address, server.port).second)
            return makeError(ErrorCode::InvalidValue, path + "port",
                             "another backend server has this address and port");
    }
    return {};
}

Result<void> ManifestChecker::checkServices() const
{
    for (std::size_t index = 0; index < m_manifest.services.size(); ++index) {
        const auto &service = m_manifest.services[index];
        Names poolNames;
        for (std::size_t pool = 0; pool < service.pools.size(); ++pool) {
            const auto path = fmt::format("services/{}/pools/{}", index, pool);
            if (!m_pools.contains(service.pools[pool]))
                return makeError(ErrorCode::UnknownReference, path, service.pools[pool]);
            if (!poolNames.insert(service.pools[pool]).second)
                return makeError(ErrorCode::DuplicateName, path, service.pools[pool]);
        }
    }
    return {};
}

Result<void> ManifestChecker::checkJobs() const
{
    for (std::size_t index = 0; index < m_manifest.jobs.size(); ++index) {
        const auto &job = m_manifest.jobs[index];
        const auto path = fmt::format("jobs/{}/", index);
        if (!m_pools.contains(job.pool))
            return makeError(ErrorCode::UnknownReference, path + "pool", job.pool);
        if (!m_teams.contains(job.team))
            return makeError(ErrorCode::UnknownReference, path + "team", job.team);
        if (job.taskSize.processors <= 0 || job.taskSize.memoryGigabytes <= 0)
            return makeError(ErrorCode::InvalidValue, path + "task_size",
                             "processors and memory must be positive");
    }
    return {};
}

} // namespace Peridot
