#include "BrokenVariants.h"
#include "FleetScenarios.h"

#include <catch2/catch.hpp>

using namespace Peridot;

namespace {

/// Returns the first violation that the fault matrix finds in a variant; empty when it finds none.
std::string firstViolation(const DriverModifier &injectDefect)
{
    for (const auto &scenario : fleetScenarios()) {
        FaultInjection faultless(scenario, Fault::None, {}, matrixSeed, injectDefect);
        auto violation = faultless.run();
        if (!violation.empty())
            return violation;
        for (const auto &[fault, name] : faultNames.entries) {
            for (unsigned step = 1; step <= faultless.steps(); ++step) {
                FaultInjection faulty(scenario, fault, {step}, matrixSeed + step, injectDefect);
                violation = faulty.run();
                if (!violation.empty())
                    return violation;
            }
        }
    }
    return {};
}

} // namespace

TEST_CASE("The fault matrix detects a broken variant of each invariant")
{
    for (const auto &variant : brokenVariants()) {
        const auto violation = firstViolation(variant.injectDefect);
        INFO(variant.name << ": " << violation);
        CHECK_FALSE(violation.empty());
        // A missed goal alone does not show that an invariant was violated.
        CHECK(violation.find("goal") == std::string::npos);
    }
}
