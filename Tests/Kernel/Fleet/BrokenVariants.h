#pragma once

#include <FleetFake/FleetDriver.h>

namespace Peridot {

/// Defect that is injected into the fleet processes to show that the checkers detect it.
struct BrokenVariant
{
    const char *name;
    /// Installs the hooks that cause the defect; called for every driver of a simulation.
    std::function<void(FleetDriver &)> injectDefect;
    /// False when random schedules are too unlikely to reveal the defect. The fault matrix reveals
    /// every variant.
    bool foundBySchedules;
};

/// At least one variant for each invariant of the fleet.
std::vector<BrokenVariant> brokenVariants();

} // namespace Peridot
