#pragma once

#include <Kernel/Request/SlotTable.h>
#include <LibBase/PluginRegistry.h>
#include <LibBase/Random.h>
#include <functional>
#include <vector>

namespace Peridot {

/// Chooses the backend server of an attempt. Implementations are plug-ins.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /// Whether each entry process uses only slots that it owns or has borrowed. Otherwise attempts
    /// are limited only by the number of connections.
    virtual bool dividesSlots() const = 0;
    /// Whether idle slots are lent to other entry processes.
    virtual bool lendsSlots() const { return false; }
    /// Chooses among \a candidates, which is not empty.
    virtual ServerIndex choose(const std::vector<ServerIndex> &candidates,
                               const std::function<double(ServerIndex)> &loadOf,
                               RandomSource &random) const = 0;
};

using RoutingRegistry = PluginRegistry<RoutingPolicy>;

} // namespace Peridot
