#include "JobWorld.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

namespace {

/// First seed, and number of seeds. PERIDOT_JOB_SEEDS plays more of them by hand.
constexpr std::uint64_t firstSeed = 20261204;

unsigned seedCount(unsigned otherwise)
{
    const char *text = std::getenv("PERIDOT_JOB_SEEDS");
    return text == nullptr ? otherwise : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

std::string firstViolation(const JobWorld &world)
{
    return world.violations().empty() ? std::string() : world.violations().front();
}

/// Whether one of the seeds shows a violation that begins with \a rule.
bool detects(const std::string &rule, WorldFaults faults, SchedulerDefects defects)
{
    for (unsigned seed = 0; seed < 30; ++seed) {
        JobWorld world(firstSeed + seed, faults, defects);
        world.run(12s, 30s);
        for (const std::string &violation : world.violations()) {
            if (violation.starts_with(rule))
                return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("Jobs are finished, and the rules hold, under every fault")
{
    const auto play = [](const char *name, WorldFaults faults, unsigned seeds) {
        for (unsigned seed = 0; seed < seedCount(seeds); ++seed) {
            JobWorld world(firstSeed + seed, faults);
            world.run(15s, 40s);
            INFO(name << " seed " << firstSeed + seed << " violations "
                      << world.violations().size());
            CHECK(firstViolation(world).empty());
            CHECK(world.completedJobs() > world.acceptedJobs() / 2);
        }
    };
    WorldFaults faults;
    play("calm", faults, 3);
    SECTION("answers to orders are lost, and orders come seconds late")
    {
        faults.lostAnswers = 0.05;
        faults.lateOrders = 0.03;
        play("orders", faults, 10);
    }
    SECTION("answers of the store are lost")
    {
        faults.lostCommits = 0.2;
        faults.refusedCommits = 0.2;
        play("store", faults, 10);
    }
    SECTION("workers crash and return, or are cut off and run on")
    {
        faults.crashes = true;
        faults.cuts = true;
        play("workers", faults, 10);
    }
    SECTION("the scheduler is replaced while the former one goes on")
    {
        faults.takeovers = true;
        faults.cancels = true;
        play("takeovers", faults, 10);
    }
    SECTION("all of these come together")
    {
        play("together", {0.05, 0.03, 0.05, 0.1, 0.1, true, true, true, true}, 20);
    }
}

TEST_CASE("A seed gives one schedule of jobs on every machine")
{
    // Recorded. A change of the schedules, or of what the scheduler decides, gives another value,
    // and the same on each kind of machine.
    JobWorld world(firstSeed, {0.05, 0.03, 0.05, 0.1, 0.1, true, true, true, true});
    world.run(15s, 40s);
    CHECK(firstViolation(world).empty());
    CHECK(world.digest() == 0xdfced2098a2e452c);
}

TEST_CASE("The checker detects each broken variant of the scheduler")
{
    WorldFaults faults;
    SECTION("a run that starts before it is recorded may run twice after a change of the scheduler")
    {
        faults.takeovers = true;
        faults.lostCommits = 0.3;
        faults.cuts = true;
        SchedulerDefects defects;
        defects.startBeforeRecording = true;
        CHECK(detects("second run at a time", faults, defects));
    }
    SECTION("an end that is forgotten before it is written runs again")
    {
        faults.takeovers = true;
        faults.refusedCommits = 0.9;
        SchedulerDefects defects;
        defects.forgetEndsBeforeWriting = true;
        CHECK(detects("run after a noted end", faults, defects));
    }
    SECTION("a worker that is cut off still runs its tasks until its lease ends")
    {
        faults.cuts = true;
        SchedulerDefects defects;
        defects.ignoreLeasesOfUnreachableWorkers = true;
        CHECK(detects("second run at a time", faults, defects));
    }
    SECTION("a worker that does not guard its capacity is overcommitted")
    {
        SchedulerDefects defects;
        defects.ignoreCapacity = true;
        CHECK(detects("capacity", faults, defects));
    }
}
