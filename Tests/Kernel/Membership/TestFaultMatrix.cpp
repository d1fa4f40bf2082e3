#include "MembershipScenario.h"

#include <EventDigest.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t matrixSeed = 20261204;

/// Fault of the matrix and the function that injects it at the chosen store call.
struct MatrixFault
{
    const char *name;
    std::function<StoreFault(MembershipScenario::Members &)> apply;
};

std::vector<MatrixFault> matrixFaults()
{
    const auto plain = [](StoreFault fault) {
        return [fault](MembershipScenario::Members &) {
            return fault;
        };
    };
    const auto crash = [](std::size_t index) {
        return [index](MembershipScenario::Members &members) {
            if (!members.members()[index].crashed)
                members.crash(index);
            return StoreFault{};
        };
    };
    const auto freeze = [](std::size_t index) {
        return [index](MembershipScenario::Members &members) {
            members.freeze(index);
            return StoreFault{};
        };
    };
    const auto cut = [](std::size_t index) {
        return [index](MembershipScenario::Members &members) {
            members.members()[index].storeCut = members.members()[index].peersCut = true;
            return StoreFault{};
        };
    };
    return {
        {"store refuses", plain({StoreFaultKind::Refuse, 0s, 0})},
        {"answer lost before effect", plain({StoreFaultKind::LoseAnswerBeforeEffect, 0s, 0})},
        {"answer lost after effect", plain({StoreFaultKind::LoseAnswerAfterEffect, 0s, 0})},
        {"late effect", plain({StoreFaultKind::LateEffect, 2s, 0})},
        {"slow effect", plain({StoreFaultKind::DelayEffect, 11s, 0})},
        {"slow answer", plain({StoreFaultKind::DelayAnswer, 11s, 0})},
        {"applied twice", plain({StoreFaultKind::Duplicate, 0s, 0})},
        {"stale read", plain({StoreFaultKind::StaleRead, 0s, 5})},
        {"store down",
         [](MembershipScenario::Members &members) {
             members.store().setDown(members.now(), members.now() + 12s);
             return StoreFault{};
         }},
        {"entry process crashes", crash(0)},
        {"fleet process crashes", crash(3)},
        {"other fleet process crashes", crash(4)},
        {"entry process freezes", freeze(1)},
        {"fleet process freezes", freeze(3)},
        {"other fleet process freezes", freeze(4)},
        {"entry process is cut off", cut(0)},
        {"fleet process is cut off", cut(3)},
    };
}

/// Thaws frozen processes, restarts crashed ones and restores connections 13 s after the first
/// call, when the leases of these processes have expired.
void reviveLater(MembershipScenario::Members &members, TimePoint &reviveAt)
{
    if (reviveAt == TimePoint{}) {
        reviveAt = members.now() + 13s;
        return;
    }
    if (members.now() < reviveAt)
        return;
    for (std::size_t index = 0; index < members.members().size(); ++index) {
        members.thaw(index);
        members.members()[index].storeCut = members.members()[index].peersCut = false;
        if (members.members()[index].crashed)
            members.restart(index);
    }
    reviveAt = TimePoint::max();
}

std::string runWith(const MatrixFault &fault, std::set<std::uint64_t> steps,
                    VirtualMembersSettings settings)
{
    MembershipScenario scenario(settings);
    TimePoint reviveAt{};
    scenario.injectInto([&](MembershipScenario::Members &members, std::uint64_t step) {
        if (!steps.empty() && step > *steps.rbegin())
            reviveLater(members, reviveAt);
        return steps.count(step) != 0 ? fault.apply(members) : StoreFault{};
    });
    return scenario.run();
}

std::uint64_t stepsOfCleanRun()
{
    VirtualMembersSettings settings;
    settings.seed = matrixSeed;
    MembershipScenario scenario(settings);
    scenario.injectInto([](auto &, std::uint64_t) { return StoreFault{}; });
    const std::string violation = scenario.run();
    INFO(violation);
    REQUIRE(violation.empty());
    return scenario.calls();
}

} // namespace

TEST_CASE("Every fault at every step leaves the invariants of membership intact")
{
    VirtualMembersSettings settings;
    settings.seed = matrixSeed;
    settings.messageLoss = 0.05;
    settings.messageDuplicate = 0.05;
    settings.messageLate = 0.05;
    const std::uint64_t steps = stepsOfCleanRun();
    REQUIRE(steps > 100);
    // Injects at every third of the first 120 store calls, which cover the start and the first
    // changes, and then at every 37th. PERIDOT_FULL_MATRIX=1 covers all calls, which takes several
    // minutes.
    const bool full = std::getenv("PERIDOT_FULL_MATRIX") != nullptr;
    const auto next = [full](std::uint64_t step) {
        return step + (full ? 1U : step < 120 ? 3U : 37U);
    };
    std::uint64_t first = 0;
    for (const auto &fault : matrixFaults()) {
        first = full ? 0 : (first + 1) % 3;
        DYNAMIC_SECTION(fault.name)
        {
            for (std::uint64_t step = first; step < steps; step = next(step)) {
                std::set<std::uint64_t> at{step};
                // At even steps, the fault is injected a second time three steps later.
                if (step % 2 == 0)
                    at.insert(step + 3);
                const std::string violation = runWith(fault, at, settings);
                INFO("seed " << matrixSeed << ", store call " << step << ", " << at.size()
                             << " faults: " << violation);
                REQUIRE(violation.empty());
            }
        }
    }
}

TEST_CASE("Random schedules of faults leave the invariants of membership intact")
{
    const auto faults = matrixFaults();
    const bool passed = rc::check("pairs of different faults at random steps", [&] {
        VirtualMembersSettings settings;
        settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1U << 30U);
        settings.messageLoss = 0.1;
        settings.messageDuplicate = 0.1;
        settings.messageLate = 0.1;
        const auto first = *rc::gen::inRange<std::size_t>(0, faults.size());
        const auto second = *rc::gen::inRange<std::size_t>(0, faults.size());
        const auto firstStep = *rc::gen::inRange<std::uint64_t>(0, 300);
        const auto secondStep = *rc::gen::inRange<std::uint64_t>(0, 300);
        MembershipScenario scenario(settings);
        TimePoint reviveAt{};
        scenario.injectInto([&](MembershipScenario::Members &members, std::uint64_t step) {
            if (step > std::max(firstStep, secondStep))
                reviveLater(members, reviveAt);
            if (step == firstStep)
                return faults[first].apply(members);
            return step == secondStep ? faults[second].apply(members) : StoreFault{};
        });
        const std::string violation = scenario.run();
        RC_LOG() << "seed " << settings.seed << ", " << faults[first].name << " at " << firstStep
                 << ", " << faults[second].name << " at " << secondStep << ": " << violation;
        RC_ASSERT(violation.empty());
    });
    REQUIRE(passed);
}

TEST_CASE("A seed gives the same schedule of membership events on every machine")
{
    // Guards against a seed that gives one schedule on x86-64 and another on arm64, so that a
    // recorded seed cannot be replayed, for example because random numbers are drawn in an
    // unspecified order of evaluation. An intended change of the schedules or of the messages
    // that the members send changes the recorded digest.
    VirtualMembersSettings settings;
    settings.seed = matrixSeed;
    settings.messageLoss = 0.1;
    settings.messageDuplicate = 0.1;
    settings.messageLate = 0.1;
    MembershipScenario scenario(settings);
    EventDigest digest;
    scenario.injectInto([&](MembershipScenario::Members &members, std::uint64_t step) {
        digest.add(std::to_string(step) + ' ' + std::to_string(toUnixMilliseconds(members.now())));
        return StoreFault{};
    });
    CHECK(scenario.run().empty());
    CHECK(digest.value() == 0x4fcbac1dcd4617e8);
}

TEST_CASE("The fault matrix detects an injected defect against each invariant")
{
    struct InjectedDefect
    {
        const char *name;
        MembershipDefects defects;
        const char *violation; ///< part of the message that the matrix must produce
    };
    const auto injected = GENERATE(
        InjectedDefect{"renewal without a check of the row version",
                       {.renewWithoutVersionCheck = true},
                       "of "},
        InjectedDefect{
            "holder that ignores the end of its lease", {.ignoreOwnExpiry = true}, "of "},
        InjectedDefect{
            "follower that adopts lower versions", {.adoptLowerVersions = true}, "went down"},
        InjectedDefect{"acceptance without acknowledgements",
                       {.acceptWithoutAcknowledgements = true},
                       "serves version"},
        InjectedDefect{"serving without evidence", {.serveWithoutEvidence = true}, "is cut off"});
    DYNAMIC_SECTION(injected.name)
    {
        VirtualMembersSettings settings;
        settings.seed = matrixSeed;
        settings.messageLate = 0.3;
        settings.messageDuplicate = 0.2;
        settings.messageLoss = 0.2;
        settings.defects = injected.defects;
        std::string found;
        for (std::uint64_t step = 0; step < 300 && found.empty(); step += 5) {
            for (const auto &fault : matrixFaults()) {
                const std::string violation = runWith(fault, {step}, settings);
                if (violation.find(injected.violation) != std::string::npos
                    && violation.find("step") == 0) {
                    found = violation;
                    break;
                }
            }
        }
        REQUIRE(!found.empty());
    }
}
