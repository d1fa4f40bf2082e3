#include <Kernel/Fleet/BuildRoutingTable.h>

#include <Kernel/Fleet/FleetView.h>
#include <algorithm>
#include <unordered_map>

namespace Peridot {

namespace {

std::optional<HostRouting> routingInView(const FleetView &view, const std::string &name)
{
    const auto *host = view.host(name);
    if (!host)
        return std::nullopt;
    HostRouting routing;
    if (host->record)
        routing = hostRouting(*host->record);
    else if (host->specification)
        routing.pool = host->specification->pool;
    // The platform's host list shows earlier than the host row that a host is leaving by itself or
    // is gone.
    if (host->report && host->report->liveness != HostLiveness::Live)
        routing.leaving = true;
    return routing;
}

} // namespace

HostRouting hostRouting(const HostRecord &record)
{
    // A quarantine applies to the tasks of a host, not to its backend server.
    const bool serves = record.state == HostState::Active || record.state == HostState::Quarantined;
    return {record.pool, !serves};
}

RoutingTable buildRoutingTable(const Manifest &manifest, const HostRoutingLookup &lookup,
                               std::uint64_t version)
{
    std::unordered_map<std::string, std::string> declaredPool;
    for (const auto &host : manifest.hosts)
        declaredPool.emplace(host.name, host.pool);
    std::unordered_map<std::string, std::vector<std::string>> servicesOfPool;
    RoutingTable table;
    table.version = version;
    for (const auto &service : manifest.services) {
        table.services.push_back({service.name, service.share, service.deadline});
        for (const auto &pool : service.pools)
            servicesOfPool[pool].push_back(service.name);
    }
    for (const auto &server : manifest.backendServers) {
        const auto routing
            = lookup(server.host).value_or(HostRouting{declaredPool[server.host], false});
        BackendServerRoute route;
        route.name = server.name;
        route.address = server.address;
        route.port = server.port;
        route.slots = server.slots;
        route.connections = server.connections;
        route.services = servicesOfPool[routing.pool];
        route.leaving = routing.leaving;
        table.backendServers.push_back(std::move(route));
    }
    return table;
}

RoutingTable buildRoutingTable(const Manifest &manifest, const FleetView &view,
                               std::uint64_t version)
{
    return buildRoutingTable(
        manifest, [&](const std::string &name) { return routingInView(view, name); }, version);
}

} // namespace Peridot
