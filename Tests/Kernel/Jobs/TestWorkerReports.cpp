#include "SchedulerFixture.h"

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

TEST_CASE("Only the worker itself can tell that it was restarted")
{
    // Guards against entries of other writers: one with a later start time made the scheduler start
    // the runs of a healthy worker again elsewhere.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    fixture.submit("0000000000000001");
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 1);
    const RunName run = fixture.starts.front().run;
    fixture.acceptStarts();
    fixture.now += 500ms;
    fixture.polls.clear();
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w", 9000)});
    fixture.planAndCommit();

    REQUIRE(fixture.runsOn("w") == 1);
    REQUIRE(fixture.polls.size() == 1);
    fixture.now += 5ms;

    SECTION("a wrong entry is refuted by the next poll, and the worker gets runs again")
    {
        fixture.answerPoll("w", 1000, {{run, {}, 50, {}}});
        REQUIRE(fixture.runsOn("w") == 1);
        fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w", 9000)});
        fixture.submit("0000000000000002");
        fixture.planAndCommit();
        REQUIRE(fixture.starts.size() == 1);
    }
    SECTION("a poll of the later incarnation ends the runs of the earlier one")
    {
        fixture.answerPoll("w", 9000);
        REQUIRE(fixture.runsOn("w") == 0);
        fixture.planAndCommit();
        REQUIRE(fixture.starts.size() == 1);
        REQUIRE(fixture.starts.front().run.run == 2);
    }
}

TEST_CASE("A start time in the future does not hide a worker")
{
    // Guards against an entry with a start time that is too large: the scheduler ignored all
    // answers of the worker from then on, and polled it without a pause.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w", 4'000'000'000'000)});
    fixture.now += 5ms;
    fixture.answerPoll("w", 1000);
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w", 1000)});
    fixture.submit("0000000000000001");
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 1);

    SECTION("an answer that was sent before the entry was read does not refute it")
    {
        SchedulerFixture other;
        PollOrder order;
        order.worker = "w";
        order.sentAt = other.now;
        other.now += 1s;
        other.scheduler.setWorkers(other.now, {SchedulerFixture::worker("w", 9000)});
        PollReply reply;
        reply.outcome = OrderOutcome::Accepted;
        reply.startedAt = 1000;
        other.scheduler.pollFinished(other.now, order, reply);
        REQUIRE(other.scheduler.workers().at("w").description.startedAt == 9000);
        REQUIRE_FALSE(other.scheduler.workers().at("w").contacted);
    }
}

TEST_CASE("A worker that left is not used again by a new scheduler")
{
    // Its run stands in the row of the job, but its registration is gone.
    SchedulerFixture fixture;
    SubmittedJob job;
    job.id = "0000000000000001";
    job.queue = fixture.queue;
    job.specification.steps = {StepSpecification{}};
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.occurrences = {{0, {{{false, {}, {}, 1, "left"}}}}};
    fixture.scheduler.addJob(fixture.now, job, progress, 5);
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    fixture.planAndCommit();
    const auto isForLeft = [](const auto &order) {
        return order.worker == "left";
    };
    REQUIRE(std::none_of(fixture.polls.begin(), fixture.polls.end(), isForLeft));
    REQUIRE(fixture.starts.empty());

    SECTION("its task starts elsewhere once every lease that it may have has expired")
    {
        // The earlier scheduler may have extended it for 5 s, to at most 10 s from then on.
        fixture.now += 15s;
        fixture.answerPoll("w");
        fixture.planAndCommit();
        REQUIRE(fixture.starts.empty());
        fixture.now += 500ms;
        fixture.answerPoll("w");
        fixture.planAndCommit();
        REQUIRE(fixture.starts.size() == 1);
        REQUIRE(fixture.starts.front().worker == "w");
    }
}

TEST_CASE("A run of a worker that was silent for a while is neither restarted nor given up")
{
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now,
                                 {SchedulerFixture::worker("w"), SchedulerFixture::worker("x")});
    fixture.answerPoll("w");
    fixture.answerPoll("x");
    fixture.submit("0000000000000001");
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 1);
    const RunName run = fixture.starts.front().run;
    const std::string worker = fixture.starts.front().worker;
    fixture.acceptStarts();
    fixture.answerPoll(worker, 1000, {{run, {}, 10, {}}});

    SECTION("when the scheduler was suspended, and has not read the reports of the meantime")
    {
        // Guards against progress that was judged by the time since the last report instead of the
        // time between reports: all short runs counted as stalled when the process woke.
        fixture.now += 5500ms;
        fixture.planAndCommit();
        REQUIRE(fixture.stops.empty());
    }
    SECTION("when the worker does not answer for less than its lease")
    {
        for (int failures = 0; failures < 5; ++failures) {
            fixture.now += 1s;
            PollOrder order;
            order.worker = worker;
            order.incarnation = 1000;
            order.sentAt = fixture.now;
            fixture.scheduler.pollFinished(fixture.now, order, PollReply{});
            fixture.planAndCommit();
        }
        REQUIRE(fixture.starts.empty());
        REQUIRE(fixture.stops.empty());
        REQUIRE(fixture.runsOn(worker) == 1);
        fixture.answerPoll(worker, 1000, {{run, {}, 80, {}}});
        fixture.planAndCommit();
        REQUIRE(fixture.stops.empty());
    }
    SECTION("but stopped when its reports show no progress for long")
    {
        for (int reports = 0; reports < 5; ++reports) {
            fixture.now += 1s;
            fixture.answerPoll(worker, 1000, {{run, {}, 10, {}}});
            fixture.planAndCommit();
        }
        REQUIRE(fixture.stops.size() == 1);
    }
}

TEST_CASE("A throttle order that was not accepted is sent again")
{
    // Guards against a run that stays paused: after an unanswered order the scheduler assumed full
    // speed, so that it never sped the run up again.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    StepSpecification serving;
    serving.longRunning = true;
    serving.latencyTarget = 100ms;
    fixture.submit("0000000000000001", serving);
    StepSpecification filling;
    filling.bestEffort = true;
    fixture.submit("0000000000000002", filling);
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 2);
    const RunName servingRun = fixture.starts[0].run;
    const RunName fillingRun = fixture.starts[1].run;
    fixture.acceptStarts();
    const auto report = [&](std::int64_t latency) {
        fixture.now += 700ms;
        fixture.answerPoll("w", 1000, {{servingRun, {}, 100, latency}, {fillingRun, {}, 10, {}}});
    };
    report(500);
    REQUIRE(fixture.throttles.size() == 1);
    REQUIRE(fixture.throttles.front().percent == 50);
    fixture.scheduler.throttleFinished(fixture.now, fixture.throttles.front(),
                                       {OrderOutcome::Unknown, {}});
    report(80); // near the target: the run is neither slowed down nor sped up
    REQUIRE(fixture.throttles.size() == 2);
    REQUIRE(fixture.throttles.back().percent == 50);
    fixture.scheduler.throttleFinished(fixture.now, fixture.throttles.back(),
                                       {OrderOutcome::Accepted, {}});
    report(80);
    REQUIRE(fixture.throttles.size() == 2);
}

TEST_CASE("A worker on which runs keep failing gets one run at a time")
{
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    StepSpecification step;
    step.size = {1000, 100, 0};
    step.longRunning = true;
    fixture.submit("0000000000000001", step);
    for (std::uint64_t failure = 1; failure <= 3; ++failure) {
        const auto runs = fixture.startAll();
        REQUIRE(runs.size() == 1);
        REQUIRE(runs.at("w").size() == 1);
        fixture.answerPoll("w", 1000, {},
                           {{failure, runs.at("w").front(), RunOutcome::Failed, {}}});
    }
    step.count = 3;
    fixture.submit("0000000000000002", step);
    fixture.now += 3s;
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 1);
}

TEST_CASE("Evacuated tasks are stopped only as far as there is room for them elsewhere")
{
    // Guards against stopping all tasks of a leaving host because one of them would fit.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    StepSpecification step;
    step.count = 4;
    step.size = {1000, 100, 0};
    step.savesCheckpoints = true;
    fixture.submit("0000000000000001", step);
    fixture.planAndCommit();
    REQUIRE(fixture.starts.size() == 4);
    fixture.acceptStarts();
    WorkerDescription leaving = SchedulerFixture::worker("w");
    leaving.draining = true;
    WorkerDescription small = SchedulerFixture::worker("x");
    small.capacity = {2000, 4096, 0};
    fixture.scheduler.setWorkers(fixture.now, {leaving, small});
    fixture.answerPoll("x");
    fixture.now += 100ms;
    fixture.planAndCommit();
    REQUIRE(fixture.stops.size() == 2);
}

TEST_CASE("A new scheduler evacuates no task while those that its predecessor stopped still run")
{
    // Guards against tasks that a worker lists although it was just ordered to stop them: with
    // those of the successor, more tasks of a step were away than it allows (AVAIL).
    SchedulerFixture fixture;
    std::vector<WorkerDescription> workers{SchedulerFixture::worker("a"),
                                           SchedulerFixture::worker("b")};
    workers[1].draining = true;
    fixture.scheduler.setWorkers(fixture.now, workers);
    SubmittedJob job;
    job.id = "0000000000000001";
    job.queue = fixture.queue;
    StepSpecification step;
    step.longRunning = true;
    step.count = 2;
    step.size = {1000, 100, 0};
    job.specification.steps = {step};
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.occurrences = {{0, {{{false, {}, {}, 1, "a"}, {false, {}, {}, 1, "b"}}}}};
    fixture.scheduler.addJob(fixture.now, job, progress, 1);
    const auto pollBoth = [&] {
        for (const unsigned index : {0U, 1U}) {
            const ActiveRun run{{{job.id, 0, 0, index}, 1}, {}, 100, {}};
            fixture.answerPoll(workers[index].id, 1000, {run});
        }
        fixture.now += 60ms; // more than the period of the checks
        fixture.scheduler.plan(fixture.now);
    };
    pollBoth();
    CHECK(fixture.stops.empty()); // the run on the other worker may be about to stop

    fixture.now += 500ms;
    pollBoth();
    REQUIRE(fixture.stops.size() == 1);
}

TEST_CASE("A poll that was lost is repeated without a wait")
{
    // Guards against leases that lapse although the worker answers: a poll that follows a failed
    // one extends no lease, and waited at the worker for the end of a run.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    fixture.submit("0000000000000001");
    fixture.planAndCommit();
    fixture.acceptStarts();
    fixture.now += 10ms;
    fixture.scheduler.plan(fixture.now);
    REQUIRE_FALSE(fixture.polls.empty());
    const PollOrder lost = fixture.polls.back();
    REQUIRE(lost.wait > 0ms);
    REQUIRE(lost.leaseEnd);

    fixture.now += lost.wait + 700ms;
    fixture.scheduler.pollFinished(fixture.now, lost, {OrderOutcome::Unknown, {}, 0, {}, {}});
    fixture.now += 500ms;
    fixture.polls.clear();
    fixture.scheduler.plan(fixture.now);
    REQUIRE(fixture.polls.size() == 1);
    REQUIRE(fixture.polls.front().wait == 0ms);
    REQUIRE_FALSE(fixture.polls.front().leaseEnd);

    SECTION("and the next one extends the lease")
    {
        fixture.answerPoll("w");
        fixture.scheduler.plan(fixture.now);
        REQUIRE(fixture.polls.size() == 2);
        REQUIRE(fixture.polls.back().leaseEnd);
    }
}

TEST_CASE("A lease is extended by its whole length although the answer before was handled late")
{
    // Guards against leases that are shorter by the time for which the answer with the clock of the
    // worker has waited: while the process was behind, they expired between two polls (LOST).
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    fixture.submit("0000000000000001");
    fixture.planAndCommit();
    fixture.acceptStarts();
    const PollOrder order{"w", 1000, {}, 1, 0, 0ms, fixture.now};
    constexpr WorkerClock clock = 100'000'000'000'000; // later than all others
    fixture.now += 3s;
    fixture.scheduler.pollFinished(fixture.now, order,
                                   {OrderOutcome::Accepted, clock, 1000, {}, {}, 3s});
    fixture.polls.clear();
    fixture.scheduler.plan(fixture.now);
    REQUIRE(fixture.polls.size() == 1);
    CHECK(fixture.polls.front().leaseEnd == clock + 9000);
}

TEST_CASE("The lease of a worker that answers polls ends when no order arrives there")
{
    // Guards against tasks that are neither stopped nor started elsewhere: a worker that accepted
    // no more connections answered the polls alone, which extended its lease for good.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    StepSpecification lasting = SchedulerFixture::stepOf(1);
    lasting.longRunning = true;
    fixture.submit("0000000000000001", lasting);
    const RunName run = fixture.startAll().at("w").front();
    fixture.scheduler.cancelJob(fixture.now, "0000000000000001");
    const auto runFor = [&](Duration time, std::optional<Duration> answerEvery) {
        TimePoint lastAnswer = fixture.now;
        for (const TimePoint end = fixture.now + time; fixture.now < end; fixture.now += 100ms) {
            fixture.answerPoll("w", 1000, {{run, {}, 100, {}}});
            fixture.polls.clear();
            fixture.planAndCommit();
            for (const StopOrder &stop : std::exchange(fixture.stops, {})) {
                const bool answered = answerEvery && fixture.now >= lastAnswer + *answerEvery;
                lastAnswer = answered ? fixture.now : lastAnswer;
                const OrderOutcome outcome
                    = answered ? OrderOutcome::Unhealthy : OrderOutcome::Unknown;
                fixture.scheduler.stopFinished(fixture.now, stop, {outcome, {}});
            }
        }
    };
    const auto extendsLease = [&] {
        REQUIRE_FALSE(fixture.polls.empty());
        return fixture.polls.back().leaseEnd.has_value();
    };
    SECTION("after a while, and the worker is used again afterwards")
    {
        runFor(11s, std::nullopt);
        CHECK(extendsLease());
        runFor(3s, std::nullopt);
        CHECK_FALSE(extendsLease());
        runFor(6500ms, std::nullopt);
        CHECK(fixture.runsOn("w") == 0);
        fixture.submit("0000000000000002", SchedulerFixture::stepOf(3));
        fixture.answerPoll("w");
        fixture.planAndCommit();
        CHECK(fixture.starts.size() == 1); // a probe
        fixture.acceptStarts();
        fixture.planAndCommit();
        CHECK(fixture.starts.size() == 2);
    }
    SECTION("but not when it is slow, and answers some orders")
    {
        runFor(40s, 5s);
        CHECK(extendsLease());
    }
}

TEST_CASE("A reply with an entry that can't be read ends no run by what it leaves out")
{
    // Guards against one odd entry in a list: its run was taken for ended, and was started again
    // elsewhere while it ran, or after it was done.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    fixture.submit("0000000000000001", SchedulerFixture::stepOf(2));
    const auto runs = fixture.startAll().at("w");
    REQUIRE(runs.size() == 2);
    fixture.now += 100ms;
    PollReply reply;
    reply.startedAt = 1000;
    reply.active = {{runs[0], {}, 0, {}}};
    reply.unreadableEntries = 1;
    SECTION("among the active runs")
    {
        fixture.answerPoll("w", reply);
        CHECK(fixture.runsOn("w") == 2);
        SECTION("until a reply could be read and does not list the run")
        {
            fixture.now += 500ms;
            fixture.answerPoll("w", 1000, {{runs[0], {}, 0, {}}});
            CHECK(fixture.runsOn("w") == 1);
        }
    }
    SECTION("among the ended ones")
    {
        const EndedRun end{2, runs[1], RunOutcome::Done, {}};
        reply.ended = {end};
        reply.endsBeforeUnreadable = 0;
        fixture.answerPoll("w", reply);
        CHECK(fixture.runsOn("w") == 2);
        fixture.now += 500ms;
        fixture.answerPoll("w", 1000, {}, {{1, runs[0], RunOutcome::Done, {}}, end});
        CHECK(fixture.runsOn("w") == 0);
        CHECK(fixture.scheduler.jobs().begin()->second.allDone());
    }
    CHECK(fixture.events["worker-reply-unreadable"] == 1);
}
