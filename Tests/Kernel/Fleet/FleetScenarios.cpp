#include "FleetScenarios.h"

#include <FleetFake/FleetFixture.h>

namespace Peridot {

namespace {

Manifest smallFleet()
{
    FixtureOptions options;
    options.backendServersPerHost = 1;
    auto manifest = makeManifest(options);
    manifest.maintenance.drainTimeout = std::chrono::seconds(30);
    manifest.maintenance.rebootTimeout = std::chrono::seconds(60);
    manifest.jobs.push_back(makeJob("service-a", "a", 3, {1, 2, 0}));
    manifest.jobs.push_back(makeJob("batch-b", "b", 2, {1, 2, 0}, Urgency::Deferrable));
    return manifest;
}

} // namespace

std::vector<Scenario> fleetScenarios()
{
    Scenario wave{"wave", smallFleet(), smallFleet(), true, {}};
    wave.after.maintenance.generation = 1;
    Scenario drain{"drain", smallFleet(), smallFleet(), false, {"h00000", "h00002", "h00001"}};
    Scenario move{"move", smallFleet(), smallFleet(), false, {}};
    move.after.hosts[0].pool = "b";
    move.after.hosts[3].pool = "a";
    move.after.jobs.push_back(makeJob("batch-late", "a", 2, {1, 2, 0}));
    Scenario all{"all", smallFleet(), move.after, true, {"h00002"}};
    all.after.maintenance.generation = 1;
    return {wave, drain, move, all};
}

} // namespace Peridot
