#include "AdviceServiceFake.h"
#include "SchedulerFixture.h"

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 10ms;

/// A scheduler and the service of its placement advice, in simulated time.
class AdvisedScheduler : public SchedulerFixture
{
public:
    AdvisedScheduler(unsigned workerCount, const AdviceServiceFake &advice) : service(advice)
    {
        JobConfiguration configuration;
        queue.adviceValidity = 3s;
        queue.adviceDelay = 100ms;
        QueueSettings plain = queue;
        plain.name = "plain";
        plain.pathPrefix = "/plain/";
        plain.adviceValidity = 0s;
        urgentQueue = queue;
        queue.priority = 1;
        urgentQueue.name = "urgent";
        urgentQueue.pathPrefix = "/urgent/";
        configuration.queues = {queue, plain, urgentQueue};
        configuration.pools = {{"pool", false}};
        plainQueue = plain;
        scheduler.setConfiguration(std::make_shared<JobConfiguration>(configuration));
        std::vector<WorkerDescription> workers;
        for (unsigned number = 0; number < workerCount; ++number) {
            workers.push_back(worker("w" + std::to_string(number)));
            workers.back().capacity = {1'000'000, 1'000'000, 0};
        }
        scheduler.setWorkers(now, workers);
        for (const WorkerDescription &description : workers)
            answerPoll(description.id);
    }

    /// Hands in \a rate jobs a second for a time.
    void load(Duration duration, double rate)
    {
        for (const TimePoint end = now + duration; now < end; advance()) {
            m_due += rate * toSeconds(step);
            for (; m_due >= 1; m_due -= 1)
                submitJob("job" + std::to_string(++m_lastJob));
        }
    }

    void submitJob(const std::string &id)
    {
        submitted[id] = now;
        submit(id, stepOf(2));
    }

    void advance()
    {
        now += step;
        for (const auto &[request, reply] : service.advance(now))
            scheduler.adviceFinished(now, request, reply);
        answerPolls();
        planAndCommit();
        for (const AdviceRequest &request : std::exchange(adviceRequests, {}))
            service.call(now, request);
        for (const StartOrder &order : starts) {
            startedAt.try_emplace(order.run.task.job, now);
            startsWithoutTicket += order.ticket.empty() ? 1 : 0;
            m_active[order.worker].push_back({order.run, "", 100, {}});
        }
        acceptStarts();
    }

    std::size_t neverStarted() const { return submitted.size() - startedAt.size(); }

    /// Longest time until the first start of the jobs that were submitted at or after \a since.
    Duration longestWait(TimePoint since) const
    {
        Duration longest{0};
        for (const auto &[id, submittedAt] : submitted) {
            const auto start = startedAt.find(id);
            const TimePoint end = start == startedAt.end() ? now : start->second;
            if (submittedAt >= since)
                longest = std::max(longest, end - submittedAt);
        }
        return longest;
    }

    AdviceServiceFake service;
    QueueSettings plainQueue;
    QueueSettings urgentQueue; ///< comes before the others
    std::map<std::string, TimePoint> submitted; ///< by job
    std::map<std::string, TimePoint> startedAt; ///< by job
    unsigned startsWithoutTicket = 0;

private:
    void answerPolls()
    {
        for (const PollOrder &order : std::exchange(polls, {}))
            answerPoll(order.worker, order.incarnation, m_active[order.worker]);
    }

    std::map<std::string, std::vector<ActiveRun>> m_active; ///< by worker
    double m_due = 0;
    unsigned m_lastJob = 0;
};

} // namespace

TEST_CASE("Jobs start after a flood of requests for placement advice")
{
    // Guards against requests that are all given up before their turn at a service that handles one
    // at a time, and that then handles nothing else than requests that nobody waits for.
    AdvisedScheduler test(4, {1, 100ms, 0ms});
    test.load(8s, 7);
    SECTION("the flood lasts for some seconds")
    {
        test.load(7s, 7 * 2.6);
        test.load(20s, 7);
        test.load(3s, 0);
        CHECK(test.neverStarted() == 0);
        CHECK(test.startsWithoutTicket == 0);
        CHECK(test.service.answeredInVain == 0);
    }
    SECTION("the service handles nothing for a while")
    {
        test.service.frozenUntil = test.now + 12s;
        test.load(30s, 5);
        test.load(10s, 0);
        CHECK(test.neverStarted() == 0);
        CHECK(test.service.answeredInVain <= 8);
    }
    SECTION("the service takes much longer than its configuration says")
    {
        test.service.slowness = 40;
        test.load(2s, 2);
        test.load(60s, 0);
        CHECK(test.neverStarted() == 0);
    }
    SECTION("another scheduler takes over while the service still has requests of this host")
    {
        for (unsigned number = 0; number < 31; ++number)
            test.service.call(test.now, {{"old", number, 0, 0}, {"w0"}, {0, 1s}});
        test.load(10s, 5);
        test.load(10s, 0);
        CHECK(test.neverStarted() == 0);
    }
}

TEST_CASE("A service of the placement advice that handles many requests at once is kept busy")
{
    // Guards against a limit that only fits a service which handles one request at a time.
    AdvisedScheduler test(4, {24, 100ms, 0ms});
    const TimePoint begin = test.now;
    test.load(5s, 100);
    SECTION("a flood waits only until the limit has risen")
    {
        test.load(1s, 0);
        CHECK(test.neverStarted() == 0);
        CHECK(test.longestWait(begin) < 1s);
    }
    SECTION("and again after the service was slow for a moment")
    {
        test.service.slowness = 10;
        test.load(2s, 10);
        test.service.slowness = 1;
        test.load(5s, 10);
        const TimePoint next = test.now;
        test.load(5s, 100);
        test.load(1s, 0);
        CHECK(test.neverStarted() == 0);
        CHECK(test.longestWait(next) < 1s);
    }
    SECTION("also when it becomes slower for good")
    {
        test.service.slowness = 4;
        test.load(12s, 20);
        const TimePoint next = test.now;
        test.load(5s, 40);
        test.load(2s, 0);
        CHECK(test.neverStarted() == 0);
        CHECK(test.longestWait(next) < 2s);
    }
}

TEST_CASE("Jobs that need no placement advice start during a flood of those that do")
{
    AdvisedScheduler test(4, {1, 100ms, 0ms});
    test.load(3s, 30);
    SubmittedJob job;
    job.id = "plain";
    job.queue = test.plainQueue;
    job.specification.steps = {AdvisedScheduler::stepOf(1)};
    test.scheduler.addJob(test.now, job, std::nullopt, absentVersion);
    test.advance();
    CHECK(test.startedAt.contains("plain"));
}

TEST_CASE("The next request for placement advice is for the step that needs it most")
{
    // Guards against a flood of one queue, or steps without room, that keep others from their turn.
    AdvisedScheduler test(1, {1, 100ms, 0ms});
    WorkerDescription full = AdvisedScheduler::worker("w0");
    test.scheduler.setWorkers(test.now, {full});
    test.answerPoll("w0");
    StepSpecification large = AdvisedScheduler::stepOf(1);
    large.size.milliProcessors = 5000;
    test.submit("a-large", large);
    test.submit("b", AdvisedScheduler::stepOf(1));
    test.submit("c", AdvisedScheduler::stepOf(1));
    test.submit("d", AdvisedScheduler::stepOf(1));
    test.planAndCommit();
    std::vector<std::string> asked;
    const auto answerFirst = [&] {
        const AdviceRequest request = test.adviceRequests.front();
        test.adviceRequests.erase(test.adviceRequests.begin());
        asked.push_back(request.step.job);
        test.now += 100ms;
        test.scheduler.adviceFinished(test.now, request, {CallEnd::Answered});
        test.planAndCommit();
    };
    SECTION("steps that a worker has room for come first, in their order")
    {
        REQUIRE(test.adviceRequests.size() == 2);
        for (unsigned count = 0; count < 4; ++count)
            answerFirst();
        CHECK(asked == std::vector<std::string>{"b", "c", "d", "a-large"});
        SECTION("and a denial is final")
        {
            test.now += 10s;
            test.planAndCommit();
            CHECK(test.adviceRequests.empty());
        }
    }
    SECTION("every second one is for the step that has waited longest")
    {
        for (unsigned number = 0; number < 6; ++number) {
            SubmittedJob job;
            job.id = "urgent" + std::to_string(number);
            job.queue = test.urgentQueue;
            job.specification.steps = {AdvisedScheduler::stepOf(1)};
            test.scheduler.addJob(test.now, job, std::nullopt, absentVersion);
        }
        for (unsigned count = 0; count < 6; ++count)
            answerFirst();
        CHECK(asked == std::vector<std::string>{"b", "c", "urgent0", "d", "urgent1", "urgent2"});
    }
}

TEST_CASE("A start is not sent with a ticket that has expired meanwhile")
{
    // Guards against the use of a permission that was valid when the run was placed, but not any
    // more when its row was stored.
    AdvisedScheduler test(1, {1, 100ms, 0ms});
    test.submit("job", AdvisedScheduler::stepOf(1));
    const auto answer = [&] {
        test.scheduler.plan(test.now);
        REQUIRE(test.adviceRequests.size() == 1);
        const AdviceRequest request = test.adviceRequests.front();
        test.adviceRequests.clear();
        test.scheduler.adviceFinished(test.now, request, {CallEnd::Answered, {{"w0", "ticket"}}});
        test.scheduler.plan(test.now);
    };
    answer();
    const auto transaction = test.scheduler.takeTransaction(test.now);
    REQUIRE(transaction);
    CommitResult result;
    result.status = CommitStatus::Committed;
    result.revision = ++test.revision;
    SECTION("the store answers in time")
    {
        test.scheduler.transactionFinished(test.now + 1s, result);
        REQUIRE(test.starts.size() == 1);
        CHECK(test.starts.front().ticket == "ticket");
    }
    SECTION("the store answers late")
    {
        test.now += 4s;
        test.answerPoll("w0");
        test.scheduler.transactionFinished(test.now, result);
        CHECK(test.starts.empty());
        CHECK(test.runsOn("w0") == 0);
        answer();
        test.planAndCommit();
        REQUIRE(test.starts.size() == 1);
        CHECK(test.starts.front().ticket == "ticket");
        CHECK(test.starts.front().run.run == 2);
    }
}
