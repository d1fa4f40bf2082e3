#pragma once

#include "RequestSimulation.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Peridot {

constexpr std::uint64_t measurementSeed = 20261204;

/// What a deployment means to the request path.
struct RequestDeployment
{
    const char *name;
    std::chrono::microseconds peerDelay;
    const char *floodingService;
    std::vector<std::pair<const char *, std::chrono::milliseconds>>
        services; ///< mean execution time
};

const std::vector<RequestDeployment> &requestDeployments();

/// Simulation of a deployment. \a load is the part of all slots that is kept busy, split evenly
/// between the services.
SimulationSettings requestSettings(const RequestDeployment &deployment, double load);

/// Runs the simulations, which share nothing, on a few threads and prints their lines in order.
void runMeasurementJobs(const std::vector<std::function<std::string()>> &jobs);

} // namespace Peridot
