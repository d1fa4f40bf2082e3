#pragma once

#include <Kernel/Fleet/HostRecord.h>
#include <Kernel/Fleet/Manifest.h>
#include <Kernel/Request/RoutingTable.h>
#include <functional>
#include <optional>

namespace Peridot {

class FleetView;

/// The properties of a host on which routing depends.
struct HostRouting
{
    std::string pool; ///< actual pool, from the host row
    bool leaving = false;
};

/// Looks up a host by name. Returns nothing when the host is only in the manifest.
using HostRoutingLookup = std::function<std::optional<HostRouting>(const std::string &)>;

/// Routing of a host by its host row alone.
HostRouting hostRouting(const HostRecord &record);

/// Builds the table of services and backend servers at \a version. A backend server executes the
/// services whose pools include the actual pool of its host.
RoutingTable buildRoutingTable(const Manifest &manifest, const HostRoutingLookup &lookup,
                               std::uint64_t version);

/// Builds the table from the host rows and reports of \a view. \a manifest is passed separately
/// because the table of a proposed version is built before the version is in force.
RoutingTable buildRoutingTable(const Manifest &manifest, const FleetView &view,
                               std::uint64_t version);

} // namespace Peridot
