#pragma once

#include "ServiceGate.h"
#include <Kernel/Request/RoutingTable.h>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Peridot {

/// Routing table and service gates for the server threads. Immutable once published, except for the
/// gates, which are shared by all versions of the table.
struct RoutingSnapshot
{
    struct Service
    {
        ServiceRoute route;
        std::shared_ptr<ServiceGate> gate;
    };

    std::shared_ptr<const RoutingTable> table;
    std::map<std::string, Service, std::less<>> services;

    /// Builds the successor of \a previous, which may be null. A gate admits \a queueLimit requests
    /// in addition to those that the backend servers of its service can execute concurrently.
    static std::shared_ptr<const RoutingSnapshot> make(std::shared_ptr<const RoutingTable> table,
                                                       const RoutingSnapshot *previous,
                                                       std::size_t queueLimit);
};

/// Read-copy-update pointer to the current snapshot: readers take a reference and never wait for a
/// writer to finish building. Null until the first routing table.
using RoutingSnapshotPointer = std::atomic<std::shared_ptr<const RoutingSnapshot>>;

} // namespace Peridot
