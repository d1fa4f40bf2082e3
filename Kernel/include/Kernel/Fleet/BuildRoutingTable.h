#pragma once

#include <Kernel/Fleet/HostRecord.h>
#include <Kernel/Fleet/Manifest.h>
#include <Kernel/Request/RoutingTable.h>
#include <functional>
#include <optional>

namespace Peridot {

class FleetView;

/// What routing needs to know of a host.
struct HostRouting
{
    std::string pool; ///< actual pool, by the host row
    bool leaving = false;
};

/// Routing of a host by name, or nothing when only the manifest knows it.
using HostRoutingLookup = std::function<std::optional<HostRouting>(const std::string &)>;

/// Routing that follows from a host row alone.
HostRouting hostRouting(const HostRecord &record);

/// Table of the services and backend servers at \a version. A backend server executes the services
/// whose pools include the actual pool of its host.
RoutingTable buildRoutingTable(const Manifest &manifest, const HostRoutingLookup &lookup,
                               std::uint64_t version);

/// The same from host rows and reports. \a manifest is passed separately because a
/// proposed version is built before it is in force.
RoutingTable buildRoutingTable(const Manifest &manifest, const FleetView &view,
                               std::uint64_t version);

} // namespace Peridot
