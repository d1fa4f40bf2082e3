#pragma once

#include "FaultRun.h"

namespace Peridot {

/// Seed of the matrix; each run adds the number of its step.
constexpr std::uint64_t matrixSeed = 20261204;

/// Wave, operator drain, move, and all of them at once, in a fleet of eight hosts and two pools.
std::vector<Scenario> fleetScenarios();

} // namespace Peridot
