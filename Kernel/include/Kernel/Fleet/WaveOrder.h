#pragma once

#include <Kernel/Fleet/Reconciler.h>
#include <LibBase/EnumTable.h>
#include <memory>

namespace Peridot {

/// Order in which a wave drains the hosts of a pool.
enum class WaveOrder {
    FailureDomain, ///< finishes a rack before it begins another, hosts with few tasks first
    Name, ///< baseline of measurements
};

constexpr auto waveOrderNames = makeEnumTable<WaveOrder>({
    {WaveOrder::FailureDomain, "failure-domain"},
    {WaveOrder::Name, "name"},
});

/// The registered reconciler "maintenance" uses WaveOrder::FailureDomain.
std::unique_ptr<Reconciler> makeMaintenance(WaveOrder order);

} // namespace Peridot
