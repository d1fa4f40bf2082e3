#include "FleetTrial.h"

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

/// Four hosts, each in a rack of its own unless \a hostsPerRack says otherwise, and a service.
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

void drain(FleetTrial &trial, const std::string &host)
{
    trial.table().commit(
        planOperatorDrain(trial.view(), host, {"drain", "operator", "test", trial.now()}).value());
}

void commandWave(FleetTrial &trial, WaveCommand wave)
{
    trial.table().commit(
        planWaveCommand(trial.view(), "a", wave, {"wave", "operator", "test", trial.now()})
            .value());
}

std::string waitOf(FleetTrial &trial, const std::string &host = "h00000")
{
    const auto explanation = explainHost(trial.view(), host, trial.now()).value();
    return std::string(hostWaitNames.nameOf(explanation.wait));
}

std::string reasonOf(FleetTrial &trial, const std::string &job)
{
    return std::string(pendingReasonNames.nameOf(explainJob(trial.view(), job).value().reason));
}

} // namespace

TEST_CASE("Explain names what a host that should be drained waits for")
{
    FleetTrial trial(makeFleet());
    trial.run(5s);

    SECTION("nobody wants it drained")
    {
        CHECK(waitOf(trial) == "nothing");
    }
    SECTION("an operator's drain from request to return")
    {
        drain(trial, "h00000");
        CHECK(waitOf(trial) == "next-pass");
        trial.run(3s);
        CHECK(waitOf(trial) == "requests-in-flight");
        drain(trial, "h00001");
        CHECK(waitOf(trial, "h00001") == "budget");
        trial.run(20s);
        CHECK(waitOf(trial) == "done");
        trial.table().commit({{}, {}, {{rowKey(drainRequestPrefix, "h00000"), std::nullopt}}});
        trial.step();
        CHECK(waitOf(trial) == "return-check");
    }
    SECTION("tasks that do not end")
    {
        auto manifest = makeFleet();
        manifest.jobs.push_back(makeJob("work", "a", 1, smallSize));
        trial.apply(manifest);
        REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 30s));
        const auto host = trial.job("work").tasks[0].host;
        drain(trial, host);
        trial.step(100ms);
        CHECK(waitOf(trial, host) == "tasks");
    }
    SECTION("a wave")
    {
        commandWave(trial, WaveCommand::Start);
        commandWave(trial, WaveCommand::Pause);
        CHECK(waitOf(trial) == "wave-paused");
        commandWave(trial, WaveCommand::Resume);
        const auto reboots = [&] {
            return trial.host("h00000").state == HostState::Rebooting;
        };
        REQUIRE(trial.runUntil(reboots, 5min));
        CHECK(waitOf(trial) == "reboot");
    }
    SECTION("a silent host")
    {
        drain(trial, "h00000");
        trial.worker("h00000").isolate(true);
        trial.run(7s);
        CHECK(waitOf(trial) == "host-in-doubt");
        trial.run(20s);
        CHECK(waitOf(trial) == "host-failed");
    }
    SECTION("rows that are missing or newer than the manifest")
    {
        const auto row = trial.table().read("pool/a").value;
        auto value = parseJson(row).value();
        value["configuration_version"] = 99;
        trial.table().put("pool/a", writeJson(value));
        CHECK(waitOf(trial) == "manifest-too-old");
        trial.table().commit({{}, {}, {{"pool/a", std::nullopt}}});
        CHECK(waitOf(trial) == "ledger-missing");
    }
}

TEST_CASE("Explain names a failed rack and the spread over racks")
{
    SECTION("a failed rack")
    {
        FleetTrial trial(makeFleet(2));
        trial.run(5s);
        trial.worker("h00002").fail(trial.now());
        trial.worker("h00003").fail(trial.now());
        trial.run(7s);
        drain(trial, "h00000");
        CHECK(waitOf(trial) == "correlated-failure");
    }
    SECTION("too few racks would remain")
    {
        auto manifest = makeFleet();
        manifest.pools[0].availabilityBudget = 2;
        manifest.pools[0].minimumFailureDomains = 3;
        FleetTrial trial(manifest);
        trial.run(5s);
        drain(trial, "h00001");
        trial.run(2s);
        drain(trial, "h00000");
        CHECK(waitOf(trial) == "failure-domain-spread");
    }
}

TEST_CASE("Explain names what a job waits for")
{
    // The reasons of jobs that cannot run are in TestFleetWork.
    auto manifest = makeFleet();
    FleetTrial trial(manifest);
    trial.run(5s);
    const auto add = [&](const JobSpecification &job) {
        manifest.jobs.push_back(job);
        trial.apply(manifest);
    };

    SECTION("a host")
    {
        add(makeJob("work", "a", 1, smallSize));
        trial.run(0s);
        trial.step(100ms);
        CHECK(reasonOf(trial, "work") == "none");
    }
    SECTION("the first pass")
    {
        add(makeJob("work", "a", 1, smallSize));
        trial.restart(0);
        CHECK(reasonOf(trial, "work") == "not-yet-planned");
    }
    SECTION("capacity, and room that is being made")
    {
        add(makeJob("batch", "a", 5, {8, 30, 0}, Urgency::Deferrable));
        trial.run(5s);
        CHECK(reasonOf(trial, "batch") == "no-capacity");
        add(makeJob("work", "a", 1, {8, 30, 0}, Urgency::Urgent));
        trial.run(200ms, 100ms);
        CHECK(reasonOf(trial, "work") == "making-room");
    }
    SECTION("the end of an attempt on a failed host")
    {
        add(makeJob("work", "a", 1, smallSize));
        trial.run(5s);
        trial.worker(trial.job("work").tasks[0].host).isolate(true);
        trial.run(30s);
        CHECK(reasonOf(trial, "work") == "previous-attempt-unconfirmed");
    }
    SECTION("the next attempt, and then nothing")
    {
        trial.fleet().behaviourOf = [](const std::string &) {
            TaskBehaviour behaviour;
            behaviour.fails = true;
            return behaviour;
        };
        add(makeJob("work", "a", 1, smallSize));
        const auto waits = [&](const char *reason) {
            return [&trial, reason] {
                return trial.hasJobRow("work") && reasonOf(trial, "work") == reason;
            };
        };
        CHECK(trial.runUntil(waits("retry-backoff"), 30s));
        CHECK(trial.runUntil(waits("repeated-failures"), 10min));
        trial.run(1min);
        CHECK(reasonOf(trial, "work") == "repeated-failures");
    }
}
