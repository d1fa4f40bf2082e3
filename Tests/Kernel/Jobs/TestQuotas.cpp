// What organisations with a quota may run at the same time, and what waits for it.

#include "SchedulerFixture.h"
#include <Kernel/Jobs/PoolDemand.h>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

namespace {

/// Two workers of four processors each.
class QuotaFixture : public SchedulerFixture
{
public:
    QuotaFixture()
    {
        setQuota({3000, 0, 0});
        scheduler.setWorkers(now, {worker("a"), worker("b")});
        scheduler.plan(now);
        answerPoll("a");
        answerPoll("b");
    }

    void setQuota(const TaskSize &quota)
    {
        JobConfiguration configuration;
        configuration.queues = {queue};
        configuration.pools = {{"pool", false}};
        configuration.organisations = {{"north", {}, 0, 0, quota}, {"south", {}}};
        scheduler.setConfiguration(std::make_shared<JobConfiguration>(configuration));
    }

    SubmittedJob jobOf(const std::string &id, const std::string &organisation,
                       const StepSpecification &step) const
    {
        SubmittedJob job;
        job.id = id;
        job.organisation = organisation;
        job.queue = queue;
        job.specification.steps = {step};
        return job;
    }

    void submit(const std::string &id, const std::string &organisation,
                const StepSpecification &step)
    {
        scheduler.addJob(now, jobOf(id, organisation, step), std::nullopt, absentVersion);
    }

    /// Number of runs of the job that the scheduler has placed.
    unsigned runsOf(const std::string &job) const
    {
        unsigned runs = 0;
        for (const auto &[id, worker] : scheduler.workers()) {
            for (const auto &[name, run] : worker.runs)
                runs += name.task.job == job ? 1 : 0;
        }
        return runs;
    }
};

} // namespace

TEST_CASE("An organisation runs no more than its quota over all workers")
{
    QuotaFixture fixture;
    fixture.submit("first", "north", SchedulerFixture::stepOf(5));
    fixture.submit("other", "south", SchedulerFixture::stepOf(4));
    fixture.startAll();
    CHECK(fixture.runsOf("first") == 3);
    SECTION("while jobs of others behind it start")
    {
        CHECK(fixture.runsOf("other") == 4);
        CHECK(JobScheduler::waitsForQuota(fixture.scheduler.jobs().at("first")));
        CHECK(fixture.scheduler.tasksWaitingForQuota().at("north") == 2);
    }
    SECTION("what is stopping still counts")
    {
        // Guards against a start in the place of a run that has not ended yet.
        fixture.scheduler.cancelJob(fixture.now, "first");
        fixture.submit("second", "north", SchedulerFixture::stepOf(2));
        fixture.startAll();
        CHECK(fixture.runsOf("second") == 0);
    }
    SECTION("no hosts are asked for what waits for the quota")
    {
        const auto loads = poolLoads(fixture.scheduler, fixture.now, fixture.now);
        CHECK(loads.at("pool").waitingTasks == 0);
        CHECK(fixture.scheduler.demand(fixture.now).queues.at("queue").waitingTasks == 0);
    }
    SECTION("a quota that is reduced ends nothing, and one that is raised lets tasks start")
    {
        fixture.setQuota({1000, 0, 0});
        fixture.startAll();
        CHECK(fixture.runsOf("first") == 3);
        CHECK(fixture.stops.empty());
        fixture.setQuota({4000, 0, 0});
        fixture.startAll();
        CHECK(fixture.runsOf("first") == 4);
    }
}

TEST_CASE("A wait for a quota is reported once, although the workers are full meanwhile")
{
    // Guards against a log line whenever the workers become full or have room again.
    QuotaFixture fixture;
    StepSpecification step = SchedulerFixture::stepOf(5);
    step.estimatedRuntime = 2s;
    fixture.submit("waiting", "north", step);
    fixture.startAll();
    fixture.submit("urgent", "south", SchedulerFixture::stepOf(9));
    fixture.startAll();
    fixture.scheduler.cancelJob(fixture.now, "urgent");
    fixture.startAll();
    CHECK(fixture.events["quota-reached"] == 1);
    CHECK(fixture.scheduler.tasksWaitingForQuota().at("north") == 2);
}

TEST_CASE("A gang starts as a whole or waits for the quota")
{
    QuotaFixture fixture;
    StepSpecification gang = SchedulerFixture::stepOf(4);
    gang.gang = true;
    fixture.submit("gang", "north", gang);
    fixture.startAll();
    CHECK(fixture.runsOf("gang") == 0);
    fixture.setQuota({4000, 0, 0});
    fixture.startAll();
    CHECK(fixture.runsOf("gang") == 4);
    CHECK(fitsQuota({"north", {}, 0, 0, {4000, 0, 0}}, {{}, {gang}, 0, {}, Duration{0}}));
    CHECK_FALSE(fitsQuota({"north", {}, 0, 0, {3999, 0, 0}}, {{}, {gang}, 0, {}, Duration{0}}));
}

TEST_CASE("A successor counts the runs that may remain of a job that its predecessor cancelled")
{
    // Guards against two schedulers that together start more than the quota.
    QuotaFixture fixture;
    fixture.scheduler.setWorkers(
        fixture.now, {fixture.worker("a"), fixture.worker("b"), fixture.worker("silent")});
    JobProgress cancelled;
    cancelled.phase = JobPhase::Cancelled;
    cancelled.changedAt = fixture.now;
    fixture.scheduler.addJob(
        fixture.now, fixture.jobOf("ended", "north", SchedulerFixture::stepOf(3)), cancelled, 1);
    fixture.submit("next", "north", SchedulerFixture::stepOf(3));
    fixture.startAll();
    CHECK(fixture.runsOf("next") == 0);
    SECTION("also before it has the list of the workers")
    {
        SchedulerFixture successor;
        successor.scheduler.addJob(fixture.now,
                                   fixture.jobOf("ended", "north", SchedulerFixture::stepOf(3)),
                                   cancelled, 1);
        JobConfiguration configuration;
        configuration.organisations = {{"north", {}, 0, 0, {3000, 0, 0}}};
        successor.scheduler.setConfiguration(std::make_shared<JobConfiguration>(configuration));
        successor.submit("any");
        successor.scheduler.plan(fixture.now);
        CHECK(successor.scheduler.organisationUsage().inUse("north").milliProcessors == 3000);
    }
    SECTION("until all workers have listed their runs")
    {
        fixture.answerPoll("silent", 1000, {{{{"ended", 0, 0, 0}, 1}, {}, 0, std::nullopt}});
        fixture.startAll();
        CHECK(fixture.runsOf("next") == 2);
        fixture.answerPoll("silent");
        fixture.startAll();
        CHECK(fixture.runsOf("next") == 3);
    }
}

TEST_CASE("A run that no row names counts while a worker lists it")
{
    // Guards against members of a gang that are being stopped when the scheduler is replaced: the
    // row shows the whole gang as done.
    QuotaFixture fixture;
    fixture.submit("first", "north", SchedulerFixture::stepOf(1));
    fixture.answerPoll("a", 1000, {{{{"first", 0, 0, 0}, 7}, {}, 0, std::nullopt}});
    fixture.submit("second", "north", SchedulerFixture::stepOf(3));
    fixture.startAll();
    CHECK(fixture.runsOf("first") + fixture.runsOf("second") == 2);
}

TEST_CASE("The progress row of a job names its organisation unless all callers may see it")
{
    QuotaFixture fixture;
    const auto organisationIn = [&] {
        fixture.planAndCommit();
        const auto progress
            = valueOrElse([&] { return parseJobProgress(*fixture.rows.at(progressKey("job"))); },
                          [](const Error &) { return JobProgress{}; });
        return progress.organisation;
    };
    SECTION("of a queue that needs keys")
    {
        fixture.submit("job", "north", SchedulerFixture::stepOf(1));
        CHECK(organisationIn() == "north");
    }
    SECTION("of a public queue")
    {
        fixture.queue.isPublic = true;
        fixture.setQuota({3000, 0, 0});
        fixture.submit("job", "north", SchedulerFixture::stepOf(1));
        CHECK(organisationIn().empty());
    }
}

TEST_CASE("Long-running tasks leave the rest of a pool to the order of starts")
{
    // Guards against an order for the whole pool although most of it never becomes free.
    QuotaFixture fixture;
    StepSpecification lasting = SchedulerFixture::stepOf(7);
    lasting.longRunning = true;
    fixture.submit("lasting", "south", lasting);
    fixture.startAll();
    StepSpecification large = SchedulerFixture::stepOf(3);
    large.estimatedRuntime = 2s;
    StepSpecification small = SchedulerFixture::stepOf(1);
    small.estimatedRuntime = 2500ms;
    fixture.submit("large", "south", large);
    fixture.submit("small", "south", small);
    fixture.startAll();
    CHECK(fixture.runsOf("small") == 1);
    CHECK(fixture.runsOf("large") == 0);
}
