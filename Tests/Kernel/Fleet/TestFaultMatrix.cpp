#include "FaultRun.h"

#include <FleetFake/FleetFixture.h>
#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Peridot;

namespace {

constexpr std::uint64_t matrixSeed = 20261204;

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

std::vector<Scenario> scenarios()
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

} // namespace

TEST_CASE("Every fault at every step of permits, drains, moves and waves keeps the invariants")
{
    for (const auto &scenario : scenarios()) {
        FaultRun plain(scenario, Fault::None, {}, matrixSeed);
        const auto verdict = plain.run();
        INFO(plain.state());
        REQUIRE(verdict == "");
        const auto steps = plain.steps();
        REQUIRE(steps > 5);
        for (const auto &[fault, name] : faultNames.entries) {
            for (unsigned step = 1; step <= steps; ++step) {
                FaultRun once(scenario, fault, {step}, matrixSeed + step);
                CHECK(once.run() == "");
                FaultRun twice(scenario, fault, {step, step + 1}, matrixSeed + step);
                CHECK(twice.run() == "");
            }
        }
    }
}
