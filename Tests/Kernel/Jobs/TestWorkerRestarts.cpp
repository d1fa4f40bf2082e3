#include "SchedulerFixture.h"

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

TEST_CASE("A task does not run twice when its worker starts again under its id")
{
    // Guards against a run that the new incarnation had accepted, and that was started elsewhere as
    // soon as the scheduler learned of the restart.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    fixture.submit("0000000000000001");
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 1);
    const StartOrder first = fixture.starts.front();
    fixture.starts.clear();
    const auto addOtherWorker = [&] {
        fixture.scheduler.setWorkers(
            fixture.now, {SchedulerFixture::worker("w", 9000), SchedulerFixture::worker("x")});
        fixture.answerPoll("x");
    };

    SECTION("which accepted the start order before the scheduler learned of the restart")
    {
        fixture.scheduler.startFinished(fixture.now, first, {OrderOutcome::Accepted, {}});
        fixture.now += 80ms;
        addOtherWorker();
        fixture.answerPoll("w", 9000, {{first.run, {}, 50, {}}});
        fixture.planAndCommit();
        REQUIRE(fixture.starts.empty());
        REQUIRE(fixture.stops.empty());
        REQUIRE(fixture.runsOn("w") == 1);
    }
    SECTION("which may have accepted a repeated start order that was not answered")
    {
        fixture.now += 600ms;
        fixture.scheduler.startFinished(fixture.now, first, {});
        addOtherWorker();
        fixture.answerPoll("w", 9000);
        fixture.planAndCommit();
        REQUIRE(fixture.starts.empty());
        REQUIRE(fixture.stops.size() == 1);
        fixture.now += 5ms;

        SECTION("an answer to the order of before the restart proves nothing")
        {
            fixture.scheduler.startFinished(fixture.now, first, {OrderOutcome::Accepted, {}});
            fixture.now += 5ms;
            fixture.answerPoll("w", 9000);
            fixture.planAndCommit();
            REQUIRE(fixture.starts.empty());
        }
        SECTION("it starts elsewhere once the new incarnation accepted a stop and lists no run")
        {
            fixture.polls.clear();
            fixture.scheduler.stopFinished(fixture.now, fixture.stops.front(),
                                           {OrderOutcome::Accepted, {}});
            fixture.planAndCommit();
            REQUIRE(fixture.starts.empty());
            REQUIRE(fixture.polls.size() == 1);
            REQUIRE(fixture.polls.front().wait == 0ms);
            fixture.now += 5ms;
            fixture.answerPoll("w", 9000);
            fixture.planAndCommit();
            REQUIRE(fixture.starts.size() == 1);
            REQUIRE(fixture.starts.front().run.run == 2);
        }
        SECTION("nor while the worker does not answer and may hold a lease")
        {
            fixture.now += 5s;
            fixture.planAndCommit();
            REQUIRE(fixture.starts.empty());
        }
    }
}

TEST_CASE("A task does not run twice when its worker starts again and is then cut off")
{
    // Guards against leases that are longer than the scheduler assumes: an order for the earlier
    // incarnation has a lease end on its clock, which is far ahead on the clock of the later one,
    // so that only the limit of the worker (10 s) ends the lease.
    SchedulerFixture fixture;
    fixture.now += 20s; // leases of an earlier scheduler have expired
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    fixture.submit("0000000000000001");
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 1);
    const StartOrder first = fixture.starts.front();
    fixture.starts.clear();
    fixture.scheduler.setWorkers(fixture.now,
                                 {SchedulerFixture::worker("w"), SchedulerFixture::worker("x")});
    fixture.answerPoll("x");
    fixture.now += 20ms;
    constexpr WorkerClock newClock = 300;
    // New connections to the worker are not established.
    PollReply notSent;
    notSent.outcome = OrderOutcome::NotSent;
    const auto cutOffFor = [&](Duration time) {
        for (const TimePoint end = fixture.now + time; fixture.now < end; fixture.now += 100ms) {
            for (const PollOrder &order : std::exchange(fixture.polls, {})) {
                if (order.worker == "w")
                    fixture.scheduler.pollFinished(fixture.now, order, notSent);
                else
                    fixture.answerPoll("x");
            }
            fixture.planAndCommit();
        }
    };

    const auto startsElsewhere = [&] {
        return std::count_if(fixture.starts.begin(), fixture.starts.end(),
                             [](const StartOrder &order) { return order.worker == "x"; });
    };

    SECTION("after it accepted the start order")
    {
        fixture.scheduler.startFinished(fixture.now, first, {OrderOutcome::Accepted, newClock});
        cutOffFor(10s);
        CHECK(startsElsewhere() == 0);
        cutOffFor(15s);
        CHECK(startsElsewhere() == 1);
    }
    SECTION("after a poll has shown that it started again")
    {
        fixture.scheduler.startFinished(fixture.now, first,
                                        {OrderOutcome::Accepted, toUnixMilliseconds(fixture.now)});
        fixture.answerPoll("w", 9000, {{first.run, {}, 50, {}}});
        cutOffFor(10s);
        CHECK(startsElsewhere() == 0);
        cutOffFor(15s);
        CHECK(startsElsewhere() == 1);
    }
    SECTION("and may have accepted a start order on a new connection, which was not answered")
    {
        fixture.scheduler.startFinished(fixture.now, first, {});
        cutOffFor(10s);
        CHECK(startsElsewhere() == 0);
    }
    SECTION("and answered with a clock that no worker can have")
    {
        // Guards against an overflow, which the sanitizers report.
        constexpr WorkerClock latestClock = 4'000'000'000'000;
        fixture.scheduler.startFinished(fixture.now, first, {OrderOutcome::Accepted, latestClock});
        cutOffFor(5s);
        CHECK(startsElsewhere() == 0);
    }
    SECTION("unless the order was sent on a connection to the known incarnation")
    {
        // A worker that is only cut off ends its runs when the lease of the latest poll expires.
        OrderReply reply;
        reply.connectionAge = 1s;
        fixture.scheduler.startFinished(fixture.now, first, reply);
        for (const PollOrder &order : std::exchange(fixture.polls, {})) {
            PollReply unanswered;
            unanswered.connectionAge = 1s;
            if (order.worker == "w")
                fixture.scheduler.pollFinished(fixture.now, order, unanswered);
        }
        cutOffFor(7s);
        CHECK(startsElsewhere() == 1);
    }
}

TEST_CASE("A worker that came back as another kind gets tasks by its new entry only")
{
    // Guards against labels and capacity of the earlier incarnation: a poll showed the restart
    // before the list did, and the next tasks were placed by an entry that was known to be out of
    // date.
    SchedulerFixture fixture;
    WorkerDescription large = SchedulerFixture::worker("w");
    large.labels = {"large"};
    WorkerDescription small = SchedulerFixture::worker("w", 9000);
    small.labels = {"small"};
    small.capacity = {1000, 1024, 0};
    fixture.scheduler.setWorkers(fixture.now, {large});
    fixture.answerPoll("w");
    StepSpecification labelled;
    labelled.requiredLabel = "large";
    StepSpecification wide;
    wide.size = {2000, 100, 0};
    StepSpecification fitting;
    fitting.size = {500, 100, 0};
    fitting.requiredLabel = "small";
    const auto submitAll = [&] {
        fixture.submit("0000000000000001", labelled);
        fixture.submit("0000000000000002", wide);
        fixture.submit("0000000000000003", fitting);
        fixture.planAndCommit();
    };
    fixture.now += 5ms;

    SECTION("when the poll comes first")
    {
        fixture.answerPoll("w", 9000);
        submitAll();
        REQUIRE(fixture.starts.empty());
        fixture.scheduler.setWorkers(fixture.now,
                                     {large}); // read before the worker wrote its entry
        fixture.planAndCommit();
        REQUIRE(fixture.starts.empty());
        fixture.scheduler.setWorkers(fixture.now, {small});
        fixture.answerPoll("w", 9000);
        fixture.planAndCommit();
    }
    SECTION("when the entry comes first")
    {
        fixture.scheduler.setWorkers(fixture.now, {small});
        submitAll();
        REQUIRE(fixture.starts.empty());
        fixture.answerPoll("w", 9000);
        fixture.planAndCommit();
    }
    REQUIRE(fixture.starts.size() == 1);
    REQUIRE(fixture.starts.front().run.task.job == "0000000000000003");
}

TEST_CASE("Ended runs are acknowledged only to the incarnation of a worker that reported them")
{
    // Guards against a number of the earlier incarnation: the new one forgot ended runs that the
    // scheduler had not seen, and their tasks ran again.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    fixture.submit("0000000000000001");
    fixture.submit("0000000000000002");
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 2);
    const RunName ended = fixture.starts.front().run;
    const RunName active = fixture.starts.back().run;
    fixture.acceptStarts();
    fixture.now += 5ms;
    const auto answer = [&](std::int64_t startedAt, const std::vector<EndedRun> &ends) {
        PollOrder order;
        order.worker = "w";
        order.incarnation = startedAt;
        order.sentAt = fixture.now;
        PollReply reply{OrderOutcome::Accepted,
                        toUnixMilliseconds(fixture.now),
                        startedAt,
                        {{active, {}, 50, {}}},
                        ends};
        fixture.scheduler.pollFinished(fixture.now, order, reply);
    };
    answer(1000, {{7, ended, RunOutcome::Done, {}}});

    SECTION("after a failed poll none is, because the worker may have started again")
    {
        fixture.planAndCommit();
        REQUIRE(fixture.polls.back().acknowledgedEnds == 7);
        fixture.now += 700ms;
        fixture.scheduler.pollFinished(fixture.now, fixture.polls.back(), {});
        fixture.now += 1s;
        fixture.planAndCommit();
        REQUIRE(fixture.polls.back().acknowledgedEnds == 0);
    }
    SECTION("a transaction that was sent before the restart stores none of the new incarnation")
    {
        REQUIRE(fixture.scheduler.takeTransaction(fixture.now));
        fixture.now += 5ms;
        answer(9000, {{9, active, RunOutcome::Done, {}}});
        CommitResult result;
        result.status = CommitStatus::Committed;
        result.revision = 50;
        fixture.scheduler.transactionFinished(fixture.now, result);
        REQUIRE(fixture.scheduler.workers().at("w").durableEnds == 0);
    }
}
