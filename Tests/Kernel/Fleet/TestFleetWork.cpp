#include "FleetTrial.h"

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
    return std::any_of(trial.manifest().hosts.begin(), trial.manifest().hosts.end(),
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

TEST_CASE("A worker that fails every task is quarantined, probed and used again")
{
    auto manifest = onePool();
    addJobs(manifest, "work", 7, 1, hostSize, Urgency::Deferrable);
    FleetTrial trial(manifest);
    trial.worker("h00000").setBroken(true);
    trial.run(2s);
    REQUIRE(
        trial.runUntil([&] { return trial.host("h00000").state == HostState::Quarantined; }, 2min));
    // The probe fails, and the second quarantine is longer.
    REQUIRE(trial.runUntil([&] { return trial.host("h00000").quarantines == 2; }, 3min));
    CHECK(trial.host("h00000").probeAt - trial.now() > 100s);
    trial.worker("h00000").setBroken(false);
    REQUIRE(trial.runUntil(
        [&] {
            const auto host = trial.host("h00000");
            return host.state == HostState::Active && host.quarantines == 0
                   && !trial.worker("h00000").executingTasks().empty();
        },
        10min));
    unsigned executing = 0;
    for (const auto &job : manifest.jobs) {
        executing += trial.executing(job.name);
        CHECK(trial.job(job.name).state != JobState::Failed);
    }
    CHECK(executing == 4);
    CHECK_THAT(trial.violation(), Catch::Equals(""));
}

TEST_CASE("Several workers that fail every task are quarantined and their jobs run elsewhere")
{
    // The jobs fail on more than one host, which must not clear the workers.
    auto manifest = onePool(8);
    addJobs(manifest, "work", 6, 1, smallSize);
    FleetTrial trial(manifest);
    const auto broken = {"h00000", "h00001", "h00002"};
    for (const auto *host : broken)
        trial.worker(host).setBroken(true);
    REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 1min));
    trial.run(10s);
    const auto quarantined = std::count_if(broken.begin(), broken.end(), [&](const char *host) {
        return trial.host(host).state == HostState::Quarantined;
    });
    // A worker that nothing was placed on after the others were found is not known to be broken.
    CHECK(quarantined >= 1);
    for (const auto &host : manifest.hosts) {
        const bool isBroken = std::find(broken.begin(), broken.end(), host.name) != broken.end();
        CHECK((isBroken || trial.host(host.name).quarantines == 0));
    }
    CHECK_THAT(trial.violation(), Catch::Equals(""));
}

TEST_CASE("A job is not held responsible for the only worker with room")
{
    // Six failures on one broken worker made the job fail for good.
    auto manifest = onePool(1);
    manifest.jobs.push_back(makeJob("work", "a", 1, smallSize, Urgency::Urgent));
    FleetTrial trial(manifest);
    trial.worker("h00000").setBroken(true);
    trial.run(10min);
    CHECK(trial.job("work").tasks[0].failures > 6);
    CHECK(trial.job("work").reason == PendingReason::RetryBackoff);
    trial.worker("h00000").setBroken(false);
    CHECK(trial.runUntil([&] { return trial.allWorkRuns(); }, 10min));
}

TEST_CASE("A job that fails everywhere is reported, and no worker is blamed")
{
    auto manifest = onePool();
    const auto badJobs = GENERATE(1U, 3U, 8U);
    addJobs(manifest, "bad", badJobs, 2, smallSize);
    FleetTrial trial(manifest);
    bool repaired = false;
    trial.fleet().behaviourOf = [&](const std::string &) {
        TaskBehaviour behaviour;
        behaviour.usage = smallSize;
        behaviour.fails = !repaired;
        return behaviour;
    };
    bool blamed = false;
    const auto allFailed = [&] {
        blamed = blamed || anyQuarantined(trial);
        return std::all_of(manifest.jobs.begin(), manifest.jobs.end(), [&](const auto &job) {
            return trial.hasJobRow(job.name) && trial.job(job.name).state == JobState::Failed;
        });
    };
    trial.run(2s);
    REQUIRE(trial.runUntil(allFailed, 10min));
    INFO(badJobs << " bad jobs");
    CHECK_FALSE(blamed);
    CHECK(trial.job("bad-0").reason == PendingReason::RepeatedFailures);
    const auto revision = trial.table().revision();
    trial.run(20min);
    CHECK(trial.table().revision() == revision);
    repaired = true;
    for (auto &job : manifest.jobs)
        job.taskSize.memoryGigabytes += 1;
    trial.apply(manifest);
    CHECK(trial.runUntil([&] { return trial.allWorkRuns(); }, 1min));
}

TEST_CASE("A job that cannot run has a typed reason, costs no writes, and runs once it can")
{
    auto manifest = onePool();
    struct Case
    {
        PendingReason reason;
        JobState state;
        std::function<void(Manifest &)> prevent;
        std::function<void(Manifest &)> permit;
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
        entry.prevent(changed);
        FleetTrial trial(changed);
        trial.run(10s);
        REQUIRE(trial.job("work").state == entry.state);
        CHECK(trial.job("work").reason == entry.reason);
        CHECK(explainJob(trial.view(), "work").value().reason == entry.reason);
        // Renewals of leases and samples of usage are the only writes, and only where a task runs.
        const auto revision = trial.table().revision();
        trial.run(1min);
        if (trial.executing("work") == 0)
            CHECK(trial.table().revision() == revision);
        entry.permit(changed);
        trial.apply(changed);
        CHECK(trial.runUntil([&] { return trial.allWorkRuns(); }, 5min));
        CHECK(trial.job("work").reason == PendingReason::None);
        CHECK_THAT(trial.violation(), Catch::Equals(""));
    }
}

TEST_CASE("Hundreds of cancellations at once lose and repeat nothing")
{
    FixtureOptions options;
    options.hosts = 12;
    options.hostsPerRack = 3;
    auto manifest = makeManifest(options);
    addJobs(manifest, "service", 2, 3, smallSize);
    auto flooded = manifest;
    addJobs(flooded, "flood", 20, 15, {0.2, 0.5, 0}, Urgency::Deferrable);
    FleetTrial trial(manifest, 2);
    REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 30s));
    const auto before = epochs(trial.job("service-0"));
    trial.apply(flooded);
    bool hostsDisturbed = false;

    SECTION("while they start")
    {
        trial.step(shortInterval);
        trial.step(shortInterval);
    }
    SECTION("while they are checkpointed for drains")
    {
        REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 30s, shortInterval));
        hostsDisturbed = true;
        for (const auto *host : {"h00000", "h00001"}) {
            const auto request
                = planOperatorDrain(trial.view(), host, {"drain", "operator", "test", trial.now()});
            trial.table().commit(request.value());
        }
        trial.run(400ms, shortInterval);
        for (const auto *host : {"h00000", "h00001"})
            trial.table().commit({{}, {}, {{rowKey(drainRequestPrefix, host), std::nullopt}}});
    }
    SECTION("on a failed rack")
    {
        REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 30s, shortInterval));
        hostsDisturbed = true;
        for (const auto *host : {"h00000", "h00001", "h00002"})
            trial.worker(host).fail(trial.now());
        trial.run(10s);
    }
    SECTION("while a process is replaced and answers are lost")
    {
        trial.step(shortInterval);
        trial.restart(0);
        trial.faultOfCommit = [count = 0]() mutable {
            return ++count % 2 == 0 ? CommitFault::AnswerLost : CommitFault::None;
        };
    }
    trial.apply(manifest);
    trial.run(5s, shortInterval);
    trial.faultOfCommit = {};
    for (const auto &host : manifest.hosts)
        trial.worker(host.name).recover();
    REQUIRE(trial.runUntil([&] { return trial.allWorkRuns() && trial.allHostsServe(); }, 10min));
    if (!hostsDisturbed)
        CHECK(epochs(trial.job("service-0")) == before);
    CHECK_THAT(trial.violation(), Catch::Equals(""));
    // Nothing of the cancelled jobs stays in the quota of the team.
    const auto team = parseTeamRecord(trial.table().read("team/team").value).value();
    CHECK(team.held.size() == 2);
}

TEST_CASE("A flood of urgent work starts within 1.3 s and displaced work runs again once")
{
    auto manifest = onePool();
    const bool accelerated = GENERATE(false, true);
    // Deferrable tasks fill the processors, or processors and memory.
    const Resources size = accelerated ? Resources{2, 8, 0} : Resources{2, 2, 0};
    addJobs(manifest, "batch", 4, 4, size, Urgency::Deferrable);
    FleetTrial trial(manifest);
    trial.fleet().behaviourOf = [&](const std::string &job) {
        TaskBehaviour behaviour;
        behaviour.usage = {size.processors / 2, size.memoryGigabytes / 2, 0};
        if (job.starts_with("urgent"))
            behaviour.runTime = 30s;
        return behaviour;
    };
    REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 30s));
    auto flooded = manifest;
    addJobs(flooded, "urgent", 4, 3, size, Urgency::Urgent);
    trial.apply(flooded);
    const auto start = trial.now();
    unsigned stopping = 0;
    bool throttled = false;
    REQUIRE(trial.runUntil(
        [&] {
            unsigned executing = 0;
            for (unsigned index = 0; index < 4; ++index) {
                executing += trial.executing(fmt::format("urgent-{}", index));
                for (const auto &task : trial.job(fmt::format("batch-{}", index)).tasks) {
                    stopping += task.phase == TaskPhase::Stopping ? 1 : 0;
                    throttled = throttled || task.phase == TaskPhase::Throttled;
                }
            }
            return executing == 12;
        },
        10s, shortInterval));
    CHECK(trial.now() - start <= 1300ms);
    CHECK(stopping == 0);
    CHECK(throttled == !accelerated);
    REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 5min));
    // Each displaced task was placed once more, and a throttled one where it was.
    std::uint64_t placements = 0;
    std::map<std::uint64_t, unsigned> byEpoch;
    for (unsigned index = 0; index < 4; ++index) {
        const auto all = epochs(trial.job(fmt::format("batch-{}", index)));
        const auto least = *std::min_element(all.begin(), all.end());
        for (const auto epoch : all) {
            CHECK(epoch <= least + 1);
            placements += epoch - least;
        }
    }
    CHECK(placements <= 12);
    CHECK_THAT(trial.violation(), Catch::Equals(""));
}

TEST_CASE("Declared sizes that are far off are replaced by learned ones")
{
    // Until three samples of a job are taken, 30 s of the run of a task, its declared size is
    // reserved, so that a host may be used beyond its memory for that time.
    auto manifest = onePool();
    Resources usage;
    Duration lag{};
    SECTION("ten times too large: the capacity is used")
    {
        usage = {0.2, 0.8, 0};
        addJobs(manifest, "work", 6, 4, {2, 8, 0}, Urgency::Deferrable);
    }
    SECTION("ten times too small: no host stays committed beyond its memory")
    {
        usage = {0.2, 5, 0};
        addJobs(manifest, "work", 12, 1, {0.1, 0.5, 0}, Urgency::Deferrable);
        manifest.jobs.push_back(makeJob("urgent", "a", 2, {0.1, 0.5, 0}, Urgency::Urgent));
    }
    SECTION("reports show nothing at first")
    {
        usage = {0.2, 5, 0};
        lag = 60s;
        addJobs(manifest, "work", 12, 1, {0.5, 4, 0}, Urgency::Deferrable);
        manifest.jobs.push_back(makeJob("urgent", "a", 2, {0.5, 4, 0}, Urgency::Urgent));
    }
    auto reportsEnd = TimePoint::max();
    FleetTrial trial(manifest, 1, [&](FleetDriver &driver) {
        driver.changeReports = [&](std::vector<HostReport> &reports) {
            for (auto &report : reports) {
                for (auto &task : report.tasks)
                    task.usage = report.lastSeen < reportsEnd ? Resources() : task.usage;
            }
        };
    });
    reportsEnd = trial.now() + lag;
    trial.fleet().behaviourOf = [&](const std::string &) {
        TaskBehaviour behaviour;
        behaviour.usage = usage;
        return behaviour;
    };
    trial.run(lag + 50s);
    REQUIRE(trial.runUntil([&] { return trial.allWorkRuns(); }, 5min));
    trial.run(50s);
    REQUIRE(trial.allWorkRuns());
    std::map<std::string, double> memory;
    for (const auto &specification : manifest.jobs) {
        const auto job = trial.job(specification.name);
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
    // The most urgent tasks stay where they were.
    if (trial.hasJobRow("urgent"))
        CHECK(trial.job("urgent").tasks[0].epoch == trial.job("urgent").tasks[1].epoch);
    const auto settled = trial.job("work-0").tasks[0].epoch;
    trial.run(10min);
    CHECK(trial.job("work-0").tasks[0].epoch == settled);
    CHECK_THAT(trial.violation(), Catch::Equals(""));
}

TEST_CASE("Two pools that place at the same moment share a quota and both make progress")
{
    FixtureOptions options;
    options.hosts = 12;
    auto manifest = makeManifest(options);
    manifest.teams[0].quota = {6, 100, 0};
    addJobs(manifest, "batch", 8, 3, smallSize);
    FleetTrial trial(manifest, 2);
    trial.fleet().behaviourOf = [](const std::string &) {
        TaskBehaviour behaviour;
        behaviour.runTime = 5s;
        return behaviour;
    };
    const auto finishedIn = [&](const std::string &pool) {
        std::size_t finished = 0;
        for (const auto &specification : manifest.jobs) {
            if (specification.pool == pool && trial.hasJobRow(specification.name))
                finished += trial.job(specification.name).state == JobState::Finished ? 1 : 0;
        }
        return finished;
    };
    // The quota admits six of 24 tasks at a time, for about 6 s.
    REQUIRE(trial.runUntil([&] { return finishedIn("a") + finishedIn("b") >= 4; }, 1min));
    CHECK(finishedIn("a") > 0);
    CHECK(finishedIn("b") > 0);
    CHECK(trial.runUntil([&] { return finishedIn("a") + finishedIn("b") == 8; }, 5min));
    CHECK_THAT(trial.violation(), Catch::Equals(""));
}
