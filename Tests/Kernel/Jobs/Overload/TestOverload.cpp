#include "../SchedulerFixture.h"
#include <Kernel/Jobs/JobRows.h>
#include <set>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

namespace {

// Many more jobs change between two transactions than one transaction can write.
constexpr unsigned busyJobs = 400;
const std::string lastId = "ffffffffffffffff";

std::string busyId(unsigned number)
{
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

/// A worker with room for all tasks, and more changed jobs than the scheduler can write.
class OverloadedScheduler : public SchedulerFixture
{
public:
    OverloadedScheduler()
    {
        WorkerDescription large = worker("w");
        large.capacity = {1'000'000'000, 1'000'000'000, 0};
        scheduler.setWorkers(now, {large});
        answerPoll("w");
        for (unsigned number = 0; number < busyJobs; ++number)
            submit(busyId(number), serving());
    }

    static StepSpecification serving()
    {
        StepSpecification step;
        step.longRunning = true;
        return step;
    }

    /// A poll of the worker shows that the runs of all busy jobs have ended, and they are placed
    /// again.
    void endBusyRuns()
    {
        PollOrder order{"w", 1000, {}, 1, 0, 0ms, now};
        PollReply reply{OrderOutcome::Accepted, {}, 1000, {}, {}};
        for (const auto &[name, run] : scheduler.workers().at("w").runs) {
            if (name.task.job != lastId && run.phase == RunPhase::Running)
                reply.ended.push_back({++m_ends, name, RunOutcome::Stopped, {}});
            else if (run.phase == RunPhase::Running)
                reply.active.push_back({name, {}, 100, {}});
        }
        scheduler.pollFinished(now, order, reply);
        scheduler.plan(now);
    }

    /// Time goes on, one transaction is committed, and what it started ends. As in the process, a
    /// planning pass, which sends the polls that are due, comes before the transaction.
    void storeAndEnd()
    {
        now += 100ms;
        scheduler.plan(now);
        if (const auto transaction = scheduler.takeTransaction(now)) {
            for (const RowWrite &write : transaction->writes)
                stored.insert(write.key);
            CommitResult result;
            result.status = CommitStatus::Committed;
            result.revision = ++revision;
            scheduler.transactionFinished(now, result);
        }
        scheduler.plan(now);
        for (const StartOrder &order : std::exchange(starts, {})) {
            started.insert(order.run.task.job);
            scheduler.startFinished(now, order, {OrderOutcome::Accepted, toUnixMilliseconds(now)});
        }
        endBusyRuns();
    }

    std::set<std::string> stored;
    std::set<std::string> started;

private:
    std::uint64_t m_ends = 0;
};

} // namespace

TEST_CASE("A job is started although more jobs change all the time than can be stored")
{
    // Guards against changed jobs that were stored in the order of their ids: while more changed
    // than one transaction takes, those with the last ids were never started (LOST).
    OverloadedScheduler fixture;
    fixture.submit(lastId, OverloadedScheduler::serving());
    fixture.scheduler.plan(fixture.now);
    constexpr unsigned transactions = 20; // enough for each job that has changed to be stored once
    for (unsigned count = 0; count < transactions; ++count)
        fixture.storeAndEnd();
    REQUIRE(fixture.started.contains(lastId));
}

TEST_CASE("Ended runs are acknowledged although more jobs change all the time than can be stored")
{
    // Guards against acknowledgements that waited until no job had changed: workers listed all
    // ended runs again with each poll, and reading them left no time to store jobs (LOST).
    OverloadedScheduler fixture;
    fixture.scheduler.plan(fixture.now);
    constexpr unsigned transactions = 40;
    for (unsigned count = 0; count < transactions; ++count)
        fixture.storeAndEnd();
    const Worker &worker = fixture.scheduler.workers().at("w");
    REQUIRE(worker.durableEnds > 0);
    // About as many runs have ended since as the transactions of half the time start.
    REQUIRE(worker.processedEnds - worker.durableEnds < worker.processedEnds / 2);
}

TEST_CASE("A gang that has no room does not change its job")
{
    // Guards against a gang that is placed in part and taken back with each pass: its row was
    // stored again each time, in place of the rows of other jobs.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    StepSpecification step;
    step.gang = true;
    step.count = 4;
    step.size = {2000, 100, 0}; // two of them have room
    fixture.submit("1", step);
    fixture.scheduler.plan(fixture.now);
    CHECK_FALSE(fixture.scheduler.takeTransaction(fixture.now));
    CHECK(fixture.scheduler.jobs().at("1").phase() == JobPhase::Queued);

    SECTION("and is placed when there is room")
    {
        fixture.scheduler.setWorkers(
            fixture.now, {SchedulerFixture::worker("w"), SchedulerFixture::worker("v")});
        fixture.answerPoll("v");
        fixture.planAndCommit();
        CHECK(fixture.starts.size() == step.count);
    }
}

TEST_CASE("A task is placed although larger ones before it in the queue find no room")
{
    // Guards against a pass that takes a size for unplaceable because another size was.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    const auto submit = [&](const std::string &id, std::int64_t processors, std::int64_t memory) {
        StepSpecification step;
        step.size = {processors, memory, 0};
        fixture.submit(id, step);
    };
    submit("1", 2000, 2048); // takes half of the worker
    submit("2", 3000, 100);
    submit("3", 100, 3000);
    submit("4", 2500, 2500); // larger than the two before, neither of which contains the other
    submit("5", 2000, 2048);
    fixture.planAndCommit();
    std::set<std::string> placed;
    for (const StartOrder &order : fixture.starts)
        placed.insert(order.run.task.job);
    REQUIRE(placed == std::set<std::string>{"1", "5"});
}
