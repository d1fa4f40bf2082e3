#include "RoutingSnapshot.h"

namespace Peridot {

std::shared_ptr<const RoutingSnapshot>
RoutingSnapshot::make(std::shared_ptr<const RoutingTable> table, const RoutingSnapshot *previous,
                      std::size_t queueLimit)
{
    std::map<std::string, std::size_t> slots;
    for (const auto &server : table->backendServers) {
        for (const auto &service : server.services)
            slots[service] += server.slots;
    }
    auto snapshot = std::make_shared<RoutingSnapshot>();
    for (const auto &route : table->services) {
        Service service{route, nullptr};
        if (previous != nullptr) {
            const auto found = previous->services.find(route.name);
            if (found != previous->services.end())
                service.gate = found->second.gate;
        }
        if (!service.gate)
            service.gate = std::make_shared<ServiceGate>();
        service.gate->setLimit(queueLimit + slots[route.name]);
        snapshot->services.emplace(route.name, std::move(service));
    }
    snapshot->table = std::move(table);
    return snapshot;
}

} // namespace Peridot
