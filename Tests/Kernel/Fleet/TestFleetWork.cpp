#include "FleetSimulation.h"

#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/Explain.h>
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

Manifest onePoolManifest(unsigned hosts = 4)
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

bool anyQuarantined(const FleetSimulation &simulation)
{
    return std::any_of(
        simulation.manifest().hosts.begin(), simulation.manifest().hosts.end(),
        [&](const auto &host) { return simulation.host(host.name).quarantines > 0; });
}

std::vector<std::uint64_t> epochs(const JobRecord &job)
{
    std::vector<std::uint64_t> result;
    for (const auto &task : job.tasks)
        result.push_back(task.epoch);
    return result;
}

} // namespace

TEST_CASE("A job whose task count is reduced stops its surplus tasks")
{
    // Guards against a surplus task that runs for ever because it is released and placed again in
    // the same pass.
    auto manifest = onePoolManifest();
    manifest.jobs.push_back(makeJob("work", "a", 4, smallSize));
    FleetSimulation simulation(manifest);
    REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 30s));
    const auto before = epochs(simulation.job("work"));
    manifest.jobs[0].tasks = 2;
    simulation.apply(manifest);
    // The third task stops at once, the fourth one only after its host is reachable again.
    simulation.worker(simulation.job("work").tasks[3].host).isolate(true);
    simulation.run(5s);
    for (const auto &host : manifest.hosts)
        simulation.worker(host.name).isolate(false);
    REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 10min));
    CHECK(epochs(simulation.job("work")) == std::vector(before.begin(), before.begin() + 2));
    CHECK_THAT(simulation.violation(), Catch::Equals(""));
}

TEST_CASE("A worker that fails every task is quarantined, probed and used again")
{
    auto manifest = onePoolManifest();
    addJobs(manifest, "work", 7, 1, hostSize, Urgency::Deferrable);
    FleetSimulation simulation(manifest);
    simulation.worker("h00000").setBroken(true);
    simulation.run(2s);
    REQUIRE(simulation.runUntil(
        [&] { return simulation.host("h00000").state == HostState::Quarantined; }, 2min));
    // The probe fails, and the second quarantine lasts longer than the first one.
    REQUIRE(simulation.runUntil([&] { return simulation.host("h00000").quarantines == 2; }, 3min));
    CHECK(simulation.host("h00000").probeAt - simulation.now() > 100s);
    simulation.worker("h00000").setBroken(false);
    REQUIRE(simulation.runUntil(
        [&] {
            const auto host = simulation.host("h00000");
            return host.state == HostState::Active && host.quarantines == 0
                   && !simulation.worker("h00000").executingTasks().empty();
        },
        10min));
    unsigned executing = 0;
    for (const auto &job : manifest.jobs) {
        executing += simulation.executingTaskCount(job.name);
        CHECK(simulation.job(job.name).state != JobState::Failed);
    }
    CHECK(executing == 4);
    CHECK_THAT(simulation.violation(), Catch::Equals(""));
}

TEST_CASE("Several workers that fail every task are quarantined and their jobs run elsewhere")
{
    // Guards against taking the jobs for the cause because they fail on more than one host.
    auto manifest = onePoolManifest(8);
    addJobs(manifest, "work", 6, 1, smallSize);
    FleetSimulation simulation(manifest);
    const auto brokenHosts = {"h00000", "h00001", "h00002"};
    for (const auto *host : brokenHosts)
        simulation.worker(host).setBroken(true);
    REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 1min));
    simulation.run(10s);
    const auto quarantined
        = std::count_if(brokenHosts.begin(), brokenHosts.end(), [&](const char *host) {
              return simulation.host(host).state == HostState::Quarantined;
          });
    // A broken worker that gets no more tasks after the other ones are quarantined is not detected.
    CHECK(quarantined >= 1);
    for (const auto &host : manifest.hosts) {
        const bool isBroken
            = std::find(brokenHosts.begin(), brokenHosts.end(), host.name) != brokenHosts.end();
        CHECK((isBroken || simulation.host(host.name).quarantines == 0));
    }
    CHECK_THAT(simulation.violation(), Catch::Equals(""));
}

TEST_CASE("A job does not fail for good on the only worker that has capacity")
{
    // Guards against failing the job for good after six failures on the same broken worker.
    auto manifest = onePoolManifest(1);
    manifest.jobs.push_back(makeJob("work", "a", 1, smallSize, Urgency::Urgent));
    FleetSimulation simulation(manifest);
    simulation.worker("h00000").setBroken(true);
    simulation.run(10min);
    CHECK(simulation.job("work").tasks[0].failures > 6);
    CHECK(simulation.job("work").reason == PendingReason::RetryBackoff);
    simulation.worker("h00000").setBroken(false);
    CHECK(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 10min));
}

TEST_CASE("A job that fails on every worker is reported, and no worker is quarantined")
{
    auto manifest = onePoolManifest();
    const auto badJobs = GENERATE(1U, 3U, 8U);
    addJobs(manifest, "bad", badJobs, 2, smallSize);
    FleetSimulation simulation(manifest);
    bool repaired = false;
    simulation.fleet().behaviourOf = [&](const std::string &) {
        TaskBehaviour behaviour;
        behaviour.usage = smallSize;
        behaviour.fails = !repaired;
        return behaviour;
    };
    bool anyWorkerQuarantined = false;
    const auto allFailed = [&] {
        anyWorkerQuarantined = anyWorkerQuarantined || anyQuarantined(simulation);
        return std::all_of(manifest.jobs.begin(), manifest.jobs.end(), [&](const auto &job) {
            return simulation.hasJobRow(job.name)
                   && simulation.job(job.name).state == JobState::Failed;
        });
    };
    simulation.run(2s);
    REQUIRE(simulation.runUntil(allFailed, 10min));
    INFO(badJobs << " bad jobs");
    CHECK_FALSE(anyWorkerQuarantined);
    CHECK(simulation.job("bad-0").reason == PendingReason::RepeatedFailures);
    const auto revision = simulation.table().revision();
    simulation.run(20min);
    CHECK(simulation.table().revision() == revision);
    repaired = true;
    for (auto &job : manifest.jobs)
        job.taskSize.memoryGigabytes += 1;
    simulation.apply(manifest);
    CHECK(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 1min));
}

TEST_CASE("A job that cannot run has a reason, causes no writes and runs when the cause is gone")
{
    auto manifest = onePoolManifest();
    struct Case
    {
        PendingReason reason;
        JobState state;
        std::function<void(Manifest &)> makeUnrunnable;
        std::function<void(Manifest &)> makeRunnable;
    };
    const auto resize = [](const Resources &size) {
        return [size](Manifest &changed) {
            changed.jobs[0].taskSize = size;
        };
    };
    const auto limitQuota = [](const Resources &quota) {
        return [quota](Manifest &changed) {
            changed.teams[0].quota = quota;
        };
    };
    const Case cases[] = {
        {PendingReason::TooLargeForAnyHost, JobState::Unrunnable, resize({16, 2, 0}),
         resize(smallSize)},
        {PendingReason::TooLargeForAnyHost, JobState::Unrunnable, resize({1, 2, 1}),
         [](Manifest &changed) {
             changed.hosts[2].capacity.accelerators = 2;
         }},
        {PendingReason::TooLargeForQuota, JobState::Unrunnable, limitQuota({0.5, 2, 0}),
         limitQuota({2, 4, 0})},
        {PendingReason::QuotaExceeded, JobState::Pending, limitQuota({1, 4, 0}),
         limitQuota({2, 4, 0})},
        {PendingReason::NoHosts, JobState::Pending,
         [](Manifest &changed) {
             changed.pools.push_back({"empty", 1, false, 1});
             changed.jobs[0].pool = "empty";
         },
         [](Manifest &changed) {
             changed.hosts[0].pool = changed.hosts[1].pool = changed.hosts[2].pool = "empty";
         }},
        {PendingReason::BufferReserved, JobState::Pending, resize({7.5, 2, 0}), resize(smallSize)},
    };
    for (const auto &entry : cases) {
        INFO(pendingReasonNames.nameOf(entry.reason));
        auto changed = manifest;
        changed.jobs.push_back(makeJob("work", "a", 2, smallSize));
        if (entry.reason == PendingReason::BufferReserved)
            changed.jobs[0].tasks = 4;
        entry.makeUnrunnable(changed);
        FleetSimulation simulation(changed);
        simulation.run(10s);
        REQUIRE(simulation.job("work").state == entry.state);
        CHECK(simulation.job("work").reason == entry.reason);
        CHECK(explainJob(simulation.view(), "work").value().reason == entry.reason);
        // The only writes are lease renewals and usage samples, and only while a task runs.
        const auto revision = simulation.table().revision();
        simulation.run(1min);
        if (simulation.executingTaskCount("work") == 0)
            CHECK(simulation.table().revision() == revision);
        entry.makeRunnable(changed);
        simulation.apply(changed);
        CHECK(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 5min));
        CHECK(simulation.job("work").reason == PendingReason::None);
        CHECK_THAT(simulation.violation(), Catch::Equals(""));
    }
}

TEST_CASE("Hundreds of simultaneous cancellations lose no task and start none twice")
{
    FixtureOptions options;
    options.hosts = 12;
    options.hostsPerRack = 3;
    auto manifest = makeManifest(options);
    addJobs(manifest, "service", 2, 3, smallSize);
    auto flooded = manifest;
    addJobs(flooded, "flood", 20, 15, {0.2, 0.5, 0}, Urgency::Deferrable);
    FleetSimulation simulation(manifest, 2);
    REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 30s));
    const auto before = epochs(simulation.job("service-0"));
    simulation.apply(flooded);
    bool hostsDisturbed = false;

    SECTION("while they start")
    {
        simulation.step(shortInterval);
        simulation.step(shortInterval);
    }
    SECTION("while they are checkpointed for drains")
    {
        REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 30s,
                                    shortInterval));
        hostsDisturbed = true;
        for (const auto *host : {"h00000", "h00001"}) {
            const auto request = planOperatorDrain(simulation.view(), host,
                                                   {"drain", "operator", "test", simulation.now()});
            simulation.table().commit(request.value());
        }
        simulation.run(400ms, shortInterval);
        for (const auto *host : {"h00000", "h00001"})
            simulation.table().commit({{}, {}, {{rowKey(drainRequestPrefix, host), std::nullopt}}});
    }
    SECTION("on a failed rack")
    {
        REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 30s,
                                    shortInterval));
        hostsDisturbed = true;
        for (const auto *host : {"h00000", "h00001", "h00002"})
            simulation.worker(host).fail(simulation.now());
        simulation.run(10s);
    }
    SECTION("while a process is replaced and answers are lost")
    {
        simulation.step(shortInterval);
        simulation.restart(0);
        simulation.nextCommitFault = [count = 0]() mutable {
            return ++count % 2 == 0 ? CommitFault::AnswerLost : CommitFault::None;
        };
    }
    simulation.apply(manifest);
    simulation.run(5s, shortInterval);
    simulation.nextCommitFault = {};
    for (const auto &host : manifest.hosts)
        simulation.worker(host.name).recover();
    REQUIRE(simulation.runUntil(
        [&] { return simulation.jobsMatchManifest() && simulation.hostsMatchManifest(); }, 10min));
    if (!hostsDisturbed)
        CHECK(epochs(simulation.job("service-0")) == before);
    CHECK_THAT(simulation.violation(), Catch::Equals(""));
    // The cancelled jobs no longer use the quota of the team.
    const auto team = parseTeamRecord(simulation.table().read("team/team").value).value();
    CHECK(team.held.size() == 2);
}

TEST_CASE("A flood of urgent tasks starts within 1.3 s and preempted tasks are placed again once")
{
    auto manifest = onePoolManifest();
    const bool accelerated = GENERATE(false, true);
    // The deferrable tasks use all processors, or all processors and all memory.
    const Resources size = accelerated ? Resources{2, 8, 0} : Resources{2, 2, 0};
    addJobs(manifest, "batch", 4, 4, size, Urgency::Deferrable);
    FleetSimulation simulation(manifest);
    simulation.fleet().behaviourOf = [&](const std::string &job) {
        TaskBehaviour behaviour;
        behaviour.usage = {size.processors / 2, size.memoryGigabytes / 2, 0};
        if (job.starts_with("urgent"))
            behaviour.runTime = 30s;
        return behaviour;
    };
    REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 30s));
    auto flooded = manifest;
    addJobs(flooded, "urgent", 4, 3, size, Urgency::Urgent);
    simulation.apply(flooded);
    const auto start = simulation.now();
    unsigned stopping = 0;
    bool throttled = false;
    REQUIRE(simulation.runUntil(
        [&] {
            unsigned executing = 0;
            for (unsigned index = 0; index < 4; ++index) {
                executing += simulation.executingTaskCount(fmt::format("urgent-{}", index));
                for (const auto &task : simulation.job(fmt::format("batch-{}", index)).tasks) {
                    stopping += task.phase == TaskPhase::Stopping ? 1 : 0;
                    throttled = throttled || task.phase == TaskPhase::Throttled;
                }
            }
            return executing == 12;
        },
        10s, shortInterval));
    CHECK(simulation.now() - start <= 1300ms);
    CHECK(stopping == 0);
    CHECK(throttled == !accelerated);
    REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 5min));
    // Each preempted task was placed at most once more; throttled tasks stayed on their host.
    std::uint64_t placements = 0;
    std::map<std::uint64_t, unsigned> byEpoch;
    for (unsigned index = 0; index < 4; ++index) {
        const auto all = epochs(simulation.job(fmt::format("batch-{}", index)));
        const auto least = *std::min_element(all.begin(), all.end());
        for (const auto epoch : all) {
            CHECK(epoch <= least + 1);
            placements += epoch - least;
        }
    }
    CHECK(placements <= 12);
    CHECK_THAT(simulation.violation(), Catch::Equals(""));
}

TEST_CASE("Declared sizes that are far from the usage are replaced by observed ones")
{
    // The declared size is reserved until there are three usage samples of a job, which takes 30 s
    // of execution. The memory of a host may be overcommitted until then.
    auto manifest = onePoolManifest();
    Resources usage;
    Duration reportDelay{};
    SECTION("ten times too large: the unused capacity is used")
    {
        usage = {0.2, 0.8, 0};
        addJobs(manifest, "work", 6, 4, {2, 8, 0}, Urgency::Deferrable);
    }
    SECTION("ten times too small: no host stays overcommitted in memory")
    {
        usage = {0.2, 5, 0};
        addJobs(manifest, "work", 12, 1, {0.1, 0.5, 0}, Urgency::Deferrable);
        manifest.jobs.push_back(makeJob("urgent", "a", 2, {0.1, 0.5, 0}, Urgency::Urgent));
    }
    SECTION("reports without usage for the first minute")
    {
        usage = {0.2, 5, 0};
        reportDelay = 60s;
        addJobs(manifest, "work", 12, 1, {0.5, 4, 0}, Urgency::Deferrable);
        manifest.jobs.push_back(makeJob("urgent", "a", 2, {0.5, 4, 0}, Urgency::Urgent));
    }
    auto reportsEnd = TimePoint::max();
    FleetSimulation simulation(manifest, 1, [&](FleetDriver &driver) {
        driver.changeReports = [&](std::vector<HostReport> &reports) {
            for (auto &report : reports) {
                for (auto &task : report.tasks)
                    task.usage = report.lastSeen < reportsEnd ? Resources() : task.usage;
            }
        };
    });
    reportsEnd = simulation.now() + reportDelay;
    simulation.fleet().behaviourOf = [&](const std::string &) {
        TaskBehaviour behaviour;
        behaviour.usage = usage;
        return behaviour;
    };
    simulation.run(reportDelay + 50s);
    REQUIRE(simulation.runUntil([&] { return simulation.jobsMatchManifest(); }, 5min));
    simulation.run(50s);
    REQUIRE(simulation.jobsMatchManifest());
    std::map<std::string, double> memory;
    for (const auto &specification : manifest.jobs) {
        const auto job = simulation.job(specification.name);
        CHECK(job.observedUsage.memoryGigabytes == usage.memoryGigabytes);
        for (const auto &task : job.tasks) {
            CHECK(task.size.memoryGigabytes >= usage.memoryGigabytes);
            CHECK(task.size.memoryGigabytes <= usage.memoryGigabytes * 1.5);
            memory[task.host] += job.observedUsage.memoryGigabytes;
        }
    }
    for (const auto &[host, sum] : memory) {
        INFO(host);
        CHECK(sum <= hostSize.memoryGigabytes);
    }
    // The most urgent tasks are not moved.
    if (simulation.hasJobRow("urgent"))
        CHECK(simulation.job("urgent").tasks[0].epoch == simulation.job("urgent").tasks[1].epoch);
    const auto settledEpoch = simulation.job("work-0").tasks[0].epoch;
    simulation.run(10min);
    CHECK(simulation.job("work-0").tasks[0].epoch == settledEpoch);
    CHECK_THAT(simulation.violation(), Catch::Equals(""));
}

TEST_CASE("Two pools that place tasks concurrently share a quota and both make progress")
{
    FixtureOptions options;
    options.hosts = 12;
    auto manifest = makeManifest(options);
    manifest.teams[0].quota = {6, 100, 0};
    addJobs(manifest, "batch", 8, 3, smallSize);
    FleetSimulation simulation(manifest, 2);
    simulation.fleet().behaviourOf = [](const std::string &) {
        TaskBehaviour behaviour;
        behaviour.runTime = 5s;
        return behaviour;
    };
    const auto finishedIn = [&](const std::string &pool) {
        std::size_t finished = 0;
        for (const auto &specification : manifest.jobs) {
            if (specification.pool == pool && simulation.hasJobRow(specification.name))
                finished += simulation.job(specification.name).state == JobState::Finished ? 1 : 0;
        }
        return finished;
    };
    // The quota admits six of 24 tasks at a time, and each holds it for about 6 s.
    REQUIRE(simulation.runUntil([&] { return finishedIn("a") + finishedIn("b") >= 4; }, 1min));
    CHECK(finishedIn("a") > 0);
    CHECK(finishedIn("b") > 0);
    CHECK(simulation.runUntil([&] { return finishedIn("a") + finishedIn("b") == 8; }, 5min));
    CHECK_THAT(simulation.violation(), Catch::Equals(""));
}
