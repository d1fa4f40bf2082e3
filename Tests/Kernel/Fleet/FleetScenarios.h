#pragma once

#include "FaultInjection.h"

namespace Peridot {

/// Base seed of the fault matrix. Each simulation adds the step at which it injects the fault.
constexpr std::uint64_t matrixSeed = 20261204;

/// Scenarios with a wave, operator drains, host moves and all of these at once, in a fleet of eight
/// hosts and two pools.
std::vector<Scenario> fleetScenarios();

} // namespace Peridot
