#include "FleetSimulation.h"

#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/Explain.h>
#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <LibBase/Json.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

constexpr Resources smallSize{1, 2, 0};

/// Returns a manifest with one pool of four hosts with back-end servers. By default every host has
/// a rack of its own.
Manifest makeFleet(unsigned hostsPerRack = 1)
{
    FixtureOptions options;
    options.pools = {"a"};
    options.hosts = 4;
    options.hostsPerRack = hostsPerRack;
    options.budget = 1;
    options.backendServersPerHost = 1;
    auto manifest = makeManifest(options);
    manifest.maintenance.generation = 1;
    return manifest;
}

void drain(FleetSimulation &simulation, const std::string &host)
{
    simulation.table().commit(
        planOperatorDrain(simulation.view(), host, {"drain", "operator", "test", simulation.now()})
            .value());
}

void commitWaveCommand(FleetSimulation &simulation, WaveCommand wave)
{
    simulation.table().commit(planWaveCommand(simulation.view(), "a", wave,
                                              {"wave", "operator", "test", simulation.now()})
                                  .value());
}

std::string hostWait(FleetSimulation &simulation, const std::string &host = "h00000")
{
    const auto explanation = explainHost(simulation.view(), host, simulation.now()).value();
    return std::string(hostWaitNames.nameOf(explanation.wait));
}

std::string pendingReason(FleetSimulation &simulation, const std::string &job)
{
    return std::string(
        pendingReasonNames.nameOf(explainJob(simulation.view(), job).value().reason));
}

} // namespace

TEST_CASE("Explain names what the drain of a host waits for")
{
    FleetSimulation simulation(makeFleet());
    simulation.run(5s);

    SECTION("no drain is requested")
    {
        CHECK(hostWait(simulation) == "nothing");
    }
    SECTION("an operator's drain from request to return")
    {
        drain(simulation, "h00000");
        CHECK(hostWait(simulation) == "next-pass");
        simulation.run(3s);
        CHECK(hostWait(simulation) == "requests-in-flight");
        drain(simulation, "h00001");
        CHECK(hostWait(simulation, "h00001") == "budget");
        simulation.run(20s);
        CHECK(hostWait(simulation) == "done");
        simulation.table().commit({{}, {}, {{rowKey(drainRequestPrefix, "h00000"), std::nullopt}}});
        simulation.step();
        CHECK(hostWait(simulation) == "return-check");
    }
    SECTION("tasks that do not end")
    {
        auto manifest = makeFleet();
        manifest.jobs.push_back(makeJob("work", "a", 1, smallSize));
        simulation.apply(manifest);
        REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 30s));
        const auto host = simulation.job("work").tasks[0].host;
        drain(simulation, host);
        simulation.step(100ms);
        CHECK(hostWait(simulation, host) == "tasks");
    }
    SECTION("a wave")
    {
        commitWaveCommand(simulation, WaveCommand::Start);
        commitWaveCommand(simulation, WaveCommand::Pause);
        CHECK(hostWait(simulation) == "wave-paused");
        commitWaveCommand(simulation, WaveCommand::Resume);
        const auto isRebooting = [&] {
            return simulation.host("h00000").state == HostState::Rebooting;
        };
        REQUIRE(simulation.runUntil(isRebooting, 5min));
        CHECK(hostWait(simulation) == "reboot");
    }
    SECTION("an unreachable host")
    {
        drain(simulation, "h00000");
        simulation.worker("h00000").isolate(true);
        simulation.run(7s);
        CHECK(hostWait(simulation) == "host-in-doubt");
        simulation.run(20s);
        CHECK(hostWait(simulation) == "host-failed");
    }
    SECTION("rows that are missing or newer than the manifest")
    {
        const auto row = simulation.table().read("pool/a").value;
        auto value = parseJson(row).value();
        value["configuration_version"] = 99;
        simulation.table().put("pool/a", writeJson(value));
        CHECK(hostWait(simulation) == "manifest-too-old");
        simulation.table().commit({{}, {}, {{"pool/a", std::nullopt}}});
        CHECK(hostWait(simulation) == "ledger-missing");
    }
}

TEST_CASE("Explain names a failed rack and the spread over racks")
{
    SECTION("a failed rack")
    {
        FleetSimulation simulation(makeFleet(2));
        simulation.run(5s);
        simulation.worker("h00002").fail(simulation.now());
        simulation.worker("h00003").fail(simulation.now());
        simulation.run(7s);
        drain(simulation, "h00000");
        CHECK(hostWait(simulation) == "correlated-failure");
    }
    SECTION("too few racks would remain")
    {
        auto manifest = makeFleet();
        manifest.pools[0].availabilityBudget = 2;
        manifest.pools[0].minimumFailureDomains = 3;
        FleetSimulation simulation(manifest);
        simulation.run(5s);
        drain(simulation, "h00001");
        simulation.run(2s);
        drain(simulation, "h00000");
        CHECK(hostWait(simulation) == "failure-domain-spread");
    }
}

TEST_CASE("Explain names what a job waits for")
{
    // TestFleetWork tests the reasons of jobs that cannot run.
    auto manifest = makeFleet();
    FleetSimulation simulation(manifest);
    simulation.run(5s);
    const auto add = [&](const JobSpecification &job) {
        manifest.jobs.push_back(job);
        simulation.apply(manifest);
    };

    SECTION("nothing once its task is placed")
    {
        add(makeJob("work", "a", 1, smallSize));
        simulation.run(0s);
        simulation.step(100ms);
        CHECK(pendingReason(simulation, "work") == "none");
    }
    SECTION("the first pass")
    {
        add(makeJob("work", "a", 1, smallSize));
        simulation.restart(0);
        CHECK(pendingReason(simulation, "work") == "not-yet-planned");
    }
    SECTION("capacity, or the preemption of other tasks")
    {
        add(makeJob("batch", "a", 5, {8, 30, 0}, Urgency::Deferrable));
        simulation.run(5s);
        CHECK(pendingReason(simulation, "batch") == "no-capacity");
        add(makeJob("work", "a", 1, {8, 30, 0}, Urgency::Urgent));
        simulation.run(200ms, 100ms);
        CHECK(pendingReason(simulation, "work") == "making-room");
    }
    SECTION("the end of an attempt on a failed host")
    {
        add(makeJob("work", "a", 1, smallSize));
        simulation.run(5s);
        simulation.worker(simulation.job("work").tasks[0].host).isolate(true);
        simulation.run(30s);
        CHECK(pendingReason(simulation, "work") == "previous-attempt-unconfirmed");
    }
    SECTION("the next attempt, until repeated failures end the retries")
    {
        simulation.fleet().behaviourOf = [](const std::string &) {
            TaskBehaviour behaviour;
            behaviour.fails = true;
            return behaviour;
        };
        add(makeJob("work", "a", 1, smallSize));
        const auto hasReason = [&](const char *reason) {
            return [&simulation, reason] {
                return simulation.hasJobRow("work") && pendingReason(simulation, "work") == reason;
            };
        };
        CHECK(simulation.runUntil(hasReason("retry-backoff"), 30s));
        CHECK(simulation.runUntil(hasReason("repeated-failures"), 10min));
        simulation.run(1min);
        CHECK(pendingReason(simulation, "work") == "repeated-failures");
    }
}
