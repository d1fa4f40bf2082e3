#include "../SchedulerFixture.h"
#include <catch2/catch.hpp>
#include <fmt/core.h>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

/// Two pools with room for all tasks.
class TwoPools : public Test::SchedulerFixture
{
public:
    TwoPools()
    {
        JobConfiguration configuration;
        for (const std::string name : {"a", "b"}) {
            configuration.queues.push_back(
                {"queue-" + name, "h", "/" + name + "/", name, 0, 3, 1.6, 600ms});
            configuration.pools.push_back({name, false});
        }
        scheduler.setConfiguration(std::make_shared<JobConfiguration>(configuration));
        std::vector<WorkerDescription> workers;
        for (const QueueSettings &settings : configuration.queues) {
            workers.push_back(worker("worker-" + settings.pool));
            workers.back().pool = settings.pool;
            workers.back().capacity = {100'000'000, 100'000'000, 0};
        }
        scheduler.setWorkers(now, workers);
        answerPoll("worker-a");
        answerPoll("worker-b");
        for (unsigned number = 0; number < 400; ++number) {
            queue = configuration.queues[number % 2];
            submit(fmt::format("{:016x}", number));
        }
    }
};

} // namespace

TEST_CASE("A planning pass is bounded, and leaves no pool out")
{
    // Guards against passes that grow with the backlog, behind which everything else waits.
    TwoPools fixture;
    CHECK_FALSE(fixture.scheduler.plan(fixture.now));
    const std::size_t first = fixture.runsOn("worker-a") + fixture.runsOn("worker-b");
    CHECK(first > 0);
    CHECK(first < 200);

    SECTION("the next pass goes on with the other pool")
    {
        fixture.scheduler.plan(fixture.now);
        CHECK(fixture.runsOn("worker-a") > 0);
        CHECK(fixture.runsOn("worker-b") > 0);
    }
    SECTION("further passes place the rest")
    {
        unsigned passes = 1;
        while (!fixture.scheduler.plan(fixture.now))
            ++passes;
        CHECK(passes <= 400 / first + 1);
        CHECK(fixture.runsOn("worker-a") + fixture.runsOn("worker-b") == 400);
    }
}

TEST_CASE("Polls that are due are sent without a planning pass")
{
    // Guards against leases of workers that expire while planning is behind (LOST).
    Test::SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {Test::SchedulerFixture::worker("w")});
    fixture.scheduler.sendDuePolls(fixture.now);
    CHECK(fixture.polls.size() == 1);
    fixture.scheduler.sendDuePolls(fixture.now);
    CHECK(fixture.polls.size() == 1); // one is in flight

    SECTION("with a pause while the process is behind")
    {
        fixture.submit("job");
        fixture.answerPoll("w");
        fixture.planAndCommit();
        fixture.polls.clear();
        fixture.scheduler.setPollPause(1s);
        fixture.now += 900ms;
        fixture.answerPoll("w");
        fixture.scheduler.sendDuePolls(fixture.now);
        CHECK(fixture.polls.empty());
        fixture.now += 200ms;
        fixture.scheduler.sendDuePolls(fixture.now);
        CHECK(fixture.polls.size() == 1);
    }
}
