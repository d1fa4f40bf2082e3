#include <Kernel/Jobs/JobScheduler.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

/// A scheduler with one worker and one job. Start orders are collected, and the test answers them.
struct PendingJobsFixture
{
    PendingJobsFixture() : scheduler(1, 1, {}, hooks(), now)
    {
        JobConfiguration configuration;
        configuration.queues = {{"queue", "h", "/q/", "pool", 0, 3, 1.6, 600ms}};
        configuration.pools = {{"pool", false}};
        scheduler.setConfiguration(std::make_shared<JobConfiguration>(configuration));
        WorkerDescription worker;
        worker.id = "w";
        worker.address = "10.0.0.1";
        worker.pool = "pool";
        worker.capacity = {4000, 4096, 0};
        scheduler.setWorkers(now, {worker});
        PollOrder poll;
        poll.worker = "w";
        poll.sentAt = now;
        PollReply reply;
        reply.outcome = OrderOutcome::Accepted;
        reply.clock = 1;
        scheduler.pollFinished(now, poll, reply);
        SubmittedJob job;
        job.id = "0000000000000001";
        job.queue = configuration.queues.front();
        job.specification.steps = {StepSpecification{}};
        scheduler.addJob(now, job, std::nullopt, absentVersion);
    }

    SchedulerHooks hooks()
    {
        SchedulerHooks hooks;
        hooks.orders.start = [this](const StartOrder &order) {
            starts.push_back(order);
        };
        hooks.orders.stop = [](const StopOrder &) {
        };
        hooks.orders.throttle = [](const ThrottleOrder &) {
        };
        hooks.orders.poll = [](const PollOrder &) {
        };
        return hooks;
    }

    void commitRows()
    {
        REQUIRE(scheduler.takeTransaction(now));
        CommitResult result;
        result.status = CommitStatus::Committed;
        result.revision = 2;
        scheduler.transactionFinished(now, result);
    }

    TimePoint now{1h};
    std::vector<StartOrder> starts;
    JobScheduler scheduler;
};

} // namespace

TEST_CASE("A job is pending until a worker confirms the start of one of its tasks")
{
    // Guards against a pending count that omits placed jobs whose start orders are not answered
    // yet, because other orders are sent first.
    PendingJobsFixture fixture;
    REQUIRE(fixture.scheduler.pendingJobs().at("queue") == 1);
    fixture.scheduler.plan(fixture.now);
    fixture.commitRows();
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
