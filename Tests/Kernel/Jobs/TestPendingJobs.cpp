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
