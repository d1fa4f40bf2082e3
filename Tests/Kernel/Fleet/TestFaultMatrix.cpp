#include "FleetScenarios.h"

#include <catch2/catch.hpp>

using namespace Peridot;

TEST_CASE("Every fault at every step of waves, drains and host moves leaves the invariants intact")
{
    for (const auto &scenario : fleetScenarios()) {
        FaultInjection faultless(scenario, Fault::None, {}, matrixSeed);
        const auto violation = faultless.run();
        INFO(faultless.state());
        REQUIRE_THAT(violation, Catch::Equals(""));
        const auto steps = faultless.steps();
        REQUIRE(steps > 5);
        for (const auto &[fault, name] : faultNames.entries) {
            for (unsigned step = 1; step <= steps; ++step) {
                FaultInjection withOneFault(scenario, fault, {step}, matrixSeed + step);
                CHECK_THAT(withOneFault.run(), Catch::Equals(""));
                FaultInjection withTwoFaults(scenario, fault, {step, step + 1}, matrixSeed + step);
                CHECK_THAT(withTwoFaults.run(), Catch::Equals(""));
            }
        }
    }
}
