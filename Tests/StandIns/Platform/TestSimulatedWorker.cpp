#include <StandIns/Platform/SimulatedWorker.h>
#include <StandIns/Platform/WorkerFleet.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

WorkerCommand command(WorkerCommandKind kind, std::uint64_t epoch,
                      TimePoint leaseEnd = TimePoint(1h))
{
    WorkerCommand result;
    result.host = "worker-1";
    result.kind = kind;
    result.task = kind == WorkerCommandKind::Reboot ? "" : "job/0";
    result.epoch = epoch;
    result.limit = {10, 10, 0};
    result.leaseEnd = leaseEnd;
    return result;
}

struct Fixture
{
    Fixture()
    {
        behaviour.usage = Resources{8, 4, 0};
        behaviour.runTime = 60s;
    }

    CommandReply send(TimePoint now, const WorkerCommand &workerCommand)
    {
        return worker.apply(now, workerCommand);
    }
    CommandReply start(TimePoint now, std::uint64_t epoch)
    {
        return send(now, command(WorkerCommandKind::Start, epoch));
    }
    std::string stateAt(TimePoint now)
    {
        worker.tick(now);
        const auto report = worker.report(now);
        return report.tasks.empty() ? "none"
                                    : std::string(taskStateNames.nameOf(report.tasks[0].state));
    }
    double processorsAt(TimePoint now)
    {
        worker.tick(now);
        return worker.report(now).tasks.at(0).usage.processors;
    }

    JobBehaviour behaviour;
    SimulatedWorker worker{{"worker-1", "rack-1", "dc-1", {32, 128, 0}},
                           {},
                           [this](const std::string &) { return behaviour; },
                           TimePoint(0s)};
};

} // namespace

TEST_CASE("A simulated worker runs a task under a lease")
{
    Fixture fixture;
    SECTION("it finishes after its run time, whatever was declared")
    {
        REQUIRE(fixture.start(TimePoint(0s), 1).accepted);
        REQUIRE(fixture.stateAt(TimePoint(60s)) == "running");
        REQUIRE(fixture.stateAt(TimePoint(60s) + 50ms) == "finished");
        REQUIRE_FALSE(fixture.start(TimePoint(61s), 1).accepted);
    }
    SECTION("it stops when its lease ends, so that a lost holder leaves no task behind")
    {
        fixture.send(TimePoint(0s), command(WorkerCommandKind::Start, 1, TimePoint(10s)));
        REQUIRE(fixture.stateAt(TimePoint(9999ms)) == "running");
        REQUIRE(fixture.stateAt(TimePoint(10s)) == "stopped");
        REQUIRE_FALSE(fixture.start(TimePoint(11s), 1).accepted);
    }
    SECTION("a repeated start renews the lease and does not start twice")
    {
        fixture.send(TimePoint(0s), command(WorkerCommandKind::Start, 1, TimePoint(10s)));
        fixture.send(TimePoint(5s), command(WorkerCommandKind::Start, 1, TimePoint(20s)));
        REQUIRE(fixture.stateAt(TimePoint(15s)) == "running");
        REQUIRE(fixture.stateAt(TimePoint(20s)) == "stopped");
    }
    SECTION("the reported usage is as old as the lag")
    {
        fixture.start(TimePoint(0s), 1);
        REQUIRE(fixture.processorsAt(TimePoint(1s)) == 0);
        REQUIRE(fixture.processorsAt(TimePoint(1s) + 50ms) == 8);
    }
    SECTION("a throttled task uses its limit and takes longer")
    {
        fixture.start(TimePoint(0s), 1);
        fixture.stateAt(TimePoint(50ms));
        auto throttle = command(WorkerCommandKind::Throttle, 1);
        throttle.limit = {4, 4, 0};
        REQUIRE(fixture.send(TimePoint(30s) + 50ms, throttle).accepted);
        REQUIRE(fixture.processorsAt(TimePoint(32s)) == 4);
        REQUIRE(fixture.stateAt(TimePoint(89s)) == "throttled");
        REQUIRE(fixture.stateAt(TimePoint(91s)) == "finished");
    }
    SECTION("a checkpoint keeps the progress for a start with a higher epoch")
    {
        fixture.start(TimePoint(0s), 1);
        fixture.stateAt(TimePoint(50ms));
        REQUIRE(fixture.send(TimePoint(40s), command(WorkerCommandKind::Checkpoint, 1)).accepted);
        REQUIRE(fixture.stateAt(TimePoint(40s) + 100ms) == "running");
        REQUIRE(fixture.stateAt(TimePoint(40s) + 200ms) == "checkpointed");
        REQUIRE_FALSE(fixture.start(TimePoint(41s), 1).accepted);
        REQUIRE(fixture.start(TimePoint(100s), 2).accepted);
        REQUIRE(fixture.stateAt(TimePoint(115s)) == "running");
        REQUIRE(fixture.stateAt(TimePoint(121s)) == "finished");
    }
}

TEST_CASE("A simulated worker ignores commands of a former lease holder")
{
    Fixture fixture;
    SECTION("a late stop of the former holder does not stop the task of the new one")
    {
        fixture.start(TimePoint(0s), 2);
        REQUIRE_FALSE(fixture.send(TimePoint(1s), command(WorkerCommandKind::Stop, 1)).accepted);
        REQUIRE(fixture.stateAt(TimePoint(2s)) == "running");
    }
    SECTION(
        "the end of a task that was never started is reported, so that a drain does not wait for "
        "the lease of the task")
    {
        const auto kind = GENERATE(WorkerCommandKind::Stop, WorkerCommandKind::Checkpoint);
        Fixture unstarted;
        unstarted.send(TimePoint(1s), command(kind, 5));
        const auto report = unstarted.worker.report(TimePoint(1s));
        REQUIRE(report.tasks.size() == 1);
        REQUIRE(report.tasks[0].state == TaskState::Stopped);
        REQUIRE(report.tasks[0].epoch == 5);
        REQUIRE_FALSE(unstarted.send(TimePoint(2s), command(WorkerCommandKind::Start, 5)).accepted);
    }
    SECTION("a late start does not undo a stop")
    {
        REQUIRE(fixture.send(TimePoint(0s), command(WorkerCommandKind::Stop, 2)).accepted);
        REQUIRE_FALSE(fixture.start(TimePoint(1s), 1).accepted);
        REQUIRE_FALSE(fixture.start(TimePoint(1s), 2).accepted);
        REQUIRE(fixture.stateAt(TimePoint(2s)) == "stopped");
        REQUIRE(fixture.start(TimePoint(3s), 3).accepted);
    }
}

TEST_CASE("A simulated worker reboots, drains and fails")
{
    Fixture fixture;
    fixture.start(TimePoint(0s), 1);
    SECTION("a reboot loses the tasks and counts once for a repeated command")
    {
        REQUIRE(fixture.send(TimePoint(1s), command(WorkerCommandKind::Reboot, 1)).accepted);
        REQUIRE_FALSE(fixture.worker.reachable());
        fixture.worker.tick(TimePoint(3s));
        REQUIRE(fixture.worker.reachable());
        REQUIRE(fixture.send(TimePoint(4s), command(WorkerCommandKind::Reboot, 1)).accepted);
        REQUIRE(fixture.worker.reachable());
        REQUIRE(fixture.worker.report(TimePoint(4s)).bootCount == 2);
        REQUIRE(fixture.stateAt(TimePoint(4s)) == "none");
        REQUIRE_FALSE(fixture.start(TimePoint(5s), 1).accepted);
    }
    SECTION("a leaving worker finishes what it has and starts nothing new")
    {
        fixture.worker.setLeaving(true);
        auto other = command(WorkerCommandKind::Start, 1);
        other.task = "job/1";
        REQUIRE_FALSE(fixture.send(TimePoint(1s), other).accepted);
        REQUIRE(fixture.worker.report(TimePoint(1s)).liveness == HostLiveness::Leaving);
        REQUIRE(fixture.stateAt(TimePoint(2s)) == "running");
    }
    SECTION("a failed worker loses its tasks and comes back empty")
    {
        fixture.worker.fail();
        fixture.worker.tick(TimePoint(10s));
        REQUIRE_FALSE(fixture.worker.reachable());
        fixture.worker.restore(TimePoint(11s));
        REQUIRE(fixture.stateAt(TimePoint(11s)) == "none");
        REQUIRE(fixture.worker.report(TimePoint(11s)).bootCount == 2);
    }
    SECTION("a worker can fail every task that it starts")
    {
        fixture.worker.setFailsTasks(true);
        fixture.start(TimePoint(0s), 2);
        REQUIRE(fixture.stateAt(TimePoint(1s)) == "failed");
    }
}

TEST_CASE("The list of hosts lags behind the truth")
{
    PlatformSettings settings;
    for (const auto *rack : {"rack-1", "rack-2"}) {
        for (const auto *host : {"a", "b"})
            settings.workers.push_back({std::string(rack) + host, rack, "dc-1", {}});
    }
    WorkerFleet fleet(settings, TimePoint(0s));
    const auto livenessAt = [&](TimePoint now) {
        for (TimePoint time = now - 1s; time <= now; time += 50ms)
            fleet.tick(time);
        std::string text;
        for (const auto &host : fleet.hostList(now).hosts)
            text += hostLivenessNames.nameOf(host.liveness).substr(0, 1);
        return text;
    };
    REQUIRE(livenessAt(TimePoint(2s)) == "llll");
    REQUIRE(fleet.forEach("", "rack-1", "", [](SimulatedWorker &worker) { worker.fail(); }) == 2);
    SECTION("a failed rack shows after the silence and the lag")
    {
        REQUIRE(livenessAt(TimePoint(4s)) == "llll");
        REQUIRE(livenessAt(TimePoint(5s)) == "ggll");
    }
    SECTION("a frozen list stays as it was and then catches up")
    {
        fleet.freezeHostList(TimePoint(2s), TimePoint(10s));
        REQUIRE(livenessAt(TimePoint(9s)) == "llll");
        REQUIRE(livenessAt(TimePoint(10s)) == "ggll");
    }
}
