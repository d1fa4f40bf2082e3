#include "FleetTrial.h"

#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

constexpr Resources smallSize{1, 2, 0};
constexpr Resources hostSize{8, 32, 0};
constexpr Duration shortInterval = 100ms;

Manifest onePool(unsigned hosts = 4)
{
    FixtureOptions options;
    options.pools = {"a"};
    options.hosts = hosts;
    options.hostsPerRack = 1;
    options.budget = 1;
    return makeManifest(options);
}

void addJobs(Manifest &manifest, const std::string &prefix, unsigned count, unsigned tasks,
             const Resources &size, Urgency urgency = Urgency::Normal)
{
    for (unsigned index = 0; index < count; ++index)
        manifest.jobs.push_back(makeJob(fmt::format("{}-{}", prefix, index),
                                        manifest.pools[index % manifest.pools.size()].name, tasks,
                                        size, urgency));
}

bool anyQuarantined(const FleetTrial &trial)
{
    return std::any_of(
        trial.manifest().hosts.begin(), trial.manifest().hosts.end(),
        [&](const auto &host) { return trial.host(host.name).quarantines > 0; });
}

std::vector<std::uint64_t> epochs(const JobRecord &job)
{
    std::vector<std::uint64_t> result;
    for (const auto &task : job.tasks)
        result.push_back(task.epoch);
    return result;
}

} // namespace

TEST_CASE("A job that shrinks gives up its superfluous tasks")
{
    // Without this, a task beyond the declared number ran for ever when it stopped and was placed
    // again in the same pass.
    auto manifest = onePool();
    manifest.jobs.push_back(makeJob("work", "a", 4, smallSize));
    FleetTrial trial(manifest);
    REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 30s));
    const auto before = epochs(trial.job("work"));
    manifest.jobs[0].tasks = 2;
    trial.apply(manifest);
    // The third task stops at once, the fourth after its host is heard again.
    trial.worker(trial.job("work").tasks[3].host).isolate(true);
    trial.run(5s);
    for (const auto &host : manifest.hosts)
        trial.worker(host.name).isolate(false);
    REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 10min));
    CHECK(epochs(trial.job("work")) == std::vector(before.begin(), before.begin() + 2));
    CHECK_THAT(trial.violation(), Catch::Equals(""));
}
