#include "FleetScenarios.h"

#include <catch2/catch.hpp>

using namespace Peridot;

TEST_CASE("Every fault at every step of permits, drains, moves and waves keeps the invariants")
{
    for (const auto &scenario : fleetScenarios()) {
        FaultRun plain(scenario, Fault::None, {}, matrixSeed);
        const auto verdict = plain.run();
        INFO(plain.state());
        REQUIRE_THAT(verdict, Catch::Equals(""));
        const auto steps = plain.steps();
        REQUIRE(steps > 5);
        for (const auto &[fault, name] : faultNames.entries) {
            for (unsigned step = 1; step <= steps; ++step) {
                FaultRun once(scenario, fault, {step}, matrixSeed + step);
                CHECK_THAT(once.run(), Catch::Equals(""));
                FaultRun twice(scenario, fault, {step, step + 1}, matrixSeed + step);
                CHECK_THAT(twice.run(), Catch::Equals(""));
            }
        }
    }
}
