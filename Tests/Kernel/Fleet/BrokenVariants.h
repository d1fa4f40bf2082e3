#pragma once

#include <FleetFake/FleetDriver.h>

namespace Peridot {

/// Deliberately broken variant of the fleet side; its hooks are installed in every driver.
struct BrokenVariant
{
    const char *name;
    std::function<void(FleetDriver &)> breakage;
    bool foundBySchedules; ///< false: random schedules are too unlikely to show it, only the matrix
                           ///< does
};

/// One or more variants for each invariant.
std::vector<BrokenVariant> brokenVariants();

} // namespace Peridot
