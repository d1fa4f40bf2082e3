#include "SchedulerFixture.h"

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

TEST_CASE("A job is pending until a worker confirms the start of one of its tasks")
{
    // Guards against a pending count that omits placed jobs whose start orders are not answered
    // yet, because other orders are sent first.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    fixture.submit("0000000000000001");
    REQUIRE(fixture.scheduler.pendingJobs().at("queue") == 1);
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 1);
    REQUIRE(fixture.scheduler.pendingJobs().at("queue") == 1);

    SECTION("an accepted start order ends the pending state")
    {
        fixture.scheduler.startFinished(fixture.now, fixture.starts.front(),
                                        {OrderOutcome::Accepted, 2});
        REQUIRE(fixture.scheduler.pendingJobs().at("queue") == 0);
    }
    SECTION("a refused start order leaves the job pending")
    {
        fixture.scheduler.startFinished(fixture.now, fixture.starts.front(),
                                        {OrderOutcome::InsufficientCapacity, 2});
        REQUIRE(fixture.scheduler.pendingJobs().at("queue") == 1);
    }
}

TEST_CASE("A job that has waited longer comes first, also after a takeover")
{
    // Guards against a successor that counts the wait of all jobs from the takeover.
    Test::SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {Test::SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    SubmittedJob job;
    job.queue = fixture.queue;
    job.specification.steps.emplace_back().size = {4000, 100, 0}; // the whole worker
    for (const auto &[id, waited] :
         std::map<std::string, Duration>{{"0000000000000001", std::chrono::milliseconds(100)},
                                         {"0000000000000002", std::chrono::milliseconds(500)}}) {
        job.id = id;
        job.acceptedAt = fixture.now - waited;
        fixture.scheduler.addWaitingJob(fixture.now, job, std::nullopt, absentVersion);
    }
    fixture.scheduler.plan(fixture.now);
    REQUIRE(fixture.runsOn("w") == 1);
    CHECK(fixture.scheduler.workers().at("w").runs.begin()->first.task.job == "0000000000000002");
}
