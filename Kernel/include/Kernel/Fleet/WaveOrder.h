#pragma once

#include <Kernel/Fleet/Reconciler.h>
#include <LibBase/EnumTable.h>
#include <memory>

namespace Peridot {

/// Order in which a wave drains the hosts of a pool.
enum class WaveOrder {
    FailureDomain, ///< finishes a rack before it starts another; hosts with few tasks first
    Name, ///< by host name; for comparison in measurements
};

constexpr auto waveOrderNames = makeEnumTable<WaveOrder>({
    {WaveOrder::FailureDomain, "failure-domain"},
    {WaveOrder::Name, "name"},
});

/// Creates the reconciler that maintains hosts in this order. The registered reconciler
/// "maintenance" uses WaveOrder::FailureDomain.
std::unique_ptr<Reconciler> makeMaintenanceReconciler(WaveOrder order);

} // namespace Peridot
