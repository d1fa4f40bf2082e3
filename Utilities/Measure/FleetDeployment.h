#pragma once

#include <FleetFake/FleetFixture.h>
#include <vector>

namespace Peridot {

/// Size and pools of one deployment of the requirements.
struct FleetDeployment
{
    std::string name;
    FixtureOptions options;
};

/// Kallada Permit Systems and Lakaz Koupe Butchery Supply: 50 workers, four to a rack.
std::vector<FleetDeployment> fleetDeployments();

} // namespace Peridot
