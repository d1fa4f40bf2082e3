#include "BrokenVariants.h"
#include "FleetScenarios.h"

#include <catch2/catch.hpp>

using namespace Peridot;

namespace {

/// First violation that some run of the matrix finds, or nothing.
std::string firstViolation(const Breakage &breakage)
{
    for (const auto &scenario : fleetScenarios()) {
        FaultRun plain(scenario, Fault::None, {}, matrixSeed, breakage);
        auto verdict = plain.run();
        if (!verdict.empty())
            return verdict;
        for (const auto &[fault, name] : faultNames.entries) {
            for (unsigned step = 1; step <= plain.steps(); ++step) {
                FaultRun run(scenario, fault, {step}, matrixSeed + step, breakage);
                verdict = run.run();
                if (!verdict.empty())
                    return verdict;
            }
        }
    }
    return {};
}

} // namespace

TEST_CASE("The matrix detects a broken variant of each invariant")
{
    for (const auto &variant : brokenVariants()) {
        const auto violation = firstViolation(variant.breakage);
        INFO(variant.name << ": " << violation);
        CHECK_FALSE(violation.empty());
        CHECK(violation.find("goal") == std::string::npos);
    }
}
