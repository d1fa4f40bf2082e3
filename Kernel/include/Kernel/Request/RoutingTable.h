#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Peridot {

struct ServiceRoute
{
    std::string name;
    double weight = 1.0; ///< share of the slots relative to the other services
    Duration deadline
        = std::chrono::seconds(10); ///< default for requests without a deadline header

    bool operator==(const ServiceRoute &) const = default;
};

struct BackendServerRoute
{
    std::string name;
    std::string address; ///< IP address
    std::uint16_t port = 0;
    unsigned slots = 8; ///< number of requests that it executes concurrently
    unsigned connections = 64; ///< limit on the connections from all entry processes together
    std::vector<std::string> services; ///< names of the services that it may execute
    bool leaving = false; ///< finishes its current requests and receives no new ones

    bool operator==(const BackendServerRoute &) const = default;
};

/// Services and backend servers at one configuration version. Immutable once published.
struct RoutingTable
{
    std::uint64_t version = 0;
    std::vector<ServiceRoute> services;
    std::vector<BackendServerRoute> backendServers;

    bool operator==(const RoutingTable &) const = default;
};

} // namespace Peridot
