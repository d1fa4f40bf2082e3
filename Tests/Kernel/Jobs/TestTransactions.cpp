#include "SchedulerFixture.h"
#include <Kernel/Jobs/TransactionBuilder.h>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

namespace {

/// Sixteen digits, as an id of a job.
std::string jobId(unsigned number)
{
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

std::size_t entriesOf(const Transaction &transaction)
{
    return transaction.checks.size() + transaction.writes.size();
}

} // namespace

TEST_CASE("Many rows that the store refuses do not stop the progress of other jobs")
{
    // Guards against retries of refused rows that take all the time (LOST).
    SchedulerFixture fixture;
    constexpr unsigned refused = 60;
    constexpr unsigned others = 60;
    const std::string firstOther = progressKey(jobId(refused));
    WorkerDescription large = SchedulerFixture::worker("w");
    large.capacity = {1'000'000, 1'000'000, 0};
    fixture.scheduler.setWorkers(fixture.now, {large});
    fixture.answerPoll("w");
    std::set<std::string> stored;
    const auto storeFor = [&](Duration time) {
        for (const TimePoint end = fixture.now + time; fixture.now < end; fixture.now += 50ms) {
            const auto transaction = fixture.scheduler.takeTransaction(fixture.now);
            if (!transaction)
                continue;
            CommitResult result;
            result.status = CommitStatus::Committed;
            result.revision = ++fixture.revision;
            for (const RowWrite &write : transaction->writes) {
                if (write.key < firstOther)
                    result.status = CommitStatus::Refused;
            }
            for (const RowWrite &write : transaction->writes) {
                if (result.status == CommitStatus::Committed)
                    stored.insert(write.key);
            }
            fixture.scheduler.transactionFinished(fixture.now, result);
        }
    };
    for (unsigned number = 0; number < refused; ++number)
        fixture.submit(jobId(number));
    fixture.scheduler.plan(fixture.now);
    storeFor(60s); // all refused rows are known
    for (unsigned number = refused; number < refused + others; ++number)
        fixture.submit(jobId(number));
    fixture.answerPoll("w");
    fixture.scheduler.plan(fixture.now);
    storeFor(3s);
    REQUIRE(stored.size() == others);
}

TEST_CASE("A transaction of the scheduler stays within the limits of the store")
{
    // Guards against a limit that counted the changed jobs, but not the removals beside them: the
    // store refused the transaction, which was repeated for ever, and no job started any more.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    for (unsigned number = 0; number < 200; ++number)
        fixture.scheduler.addFinishedJob(jobId(number), fixture.now);
    fixture.now += 121s;
    for (unsigned number = 200; number < 320; ++number)
        fixture.submit(jobId(number));
    fixture.answerPoll("w");
    fixture.scheduler.plan(fixture.now);
    std::size_t removed = 0;
    std::size_t written = 0;
    unsigned transactions = 0;
    while (const auto transaction = fixture.scheduler.takeTransaction(fixture.now)) {
        REQUIRE(entriesOf(*transaction) <= TransactionLimits{}.entries);
        for (const RowWrite &write : transaction->writes)
            ++(write.value ? written : removed);
        CommitResult result;
        result.status = CommitStatus::Committed;
        result.revision = ++fixture.revision;
        fixture.scheduler.transactionFinished(fixture.now, result);
        REQUIRE(++transactions < 20);
    }
    REQUIRE(removed == 200);
    REQUIRE(written == 120);
}

TEST_CASE("A row that the store refuses does not stop the progress of other jobs")
{
    // Guards against a refusal that counted as an outage: the scheduler repeated the transaction
    // for ever, and no other job progressed.
    SchedulerFixture fixture;
    fixture.scheduler.setWorkers(fixture.now, {SchedulerFixture::worker("w")});
    fixture.answerPoll("w");
    for (unsigned number = 0; number < 60; ++number)
        fixture.submit(jobId(number));
    fixture.scheduler.plan(fixture.now);
    const std::string refusedKey = progressKey(jobId(17));
    std::set<std::string> stored;
    unsigned refusals = 0;
    const auto storeFor = [&](Duration time) {
        for (const TimePoint end = fixture.now + time; fixture.now < end; fixture.now += 50ms) {
            const auto transaction = fixture.scheduler.takeTransaction(fixture.now);
            if (!transaction)
                continue;
            std::set<std::string> keys;
            for (const RowWrite &write : transaction->writes)
                keys.insert(write.key);
            CommitResult result;
            result.status
                = keys.contains(refusedKey) ? CommitStatus::Refused : CommitStatus::Committed;
            result.revision = ++fixture.revision;
            if (result.status == CommitStatus::Refused)
                ++refusals;
            else
                stored.insert(keys.begin(), keys.end());
            fixture.scheduler.transactionFinished(fixture.now, result);
        }
    };
    storeFor(2s);
    REQUIRE(stored.size() == 59);
    REQUIRE(refusals <= 7);
    // Its placement holds no capacity, and it is not placed again.
    fixture.scheduler.plan(fixture.now);
    REQUIRE(fixture.runsOn("w") == 59);

    SECTION("the row is tried again after a while, on its own")
    {
        storeFor(4s);
        REQUIRE(refusals <= 8);
        REQUIRE(fixture.scheduler.takeTransaction(fixture.now) == std::nullopt);
    }
    SECTION("ended runs of the other jobs are acknowledged")
    {
        const RunName first{{jobId(3), 0, 0, 0}, 1};
        const RunName refused{{jobId(17), 0, 0, 0}, 1};
        const RunName last{{jobId(40), 0, 0, 0}, 1};
        PollOrder order{"w", 1000, {}, 1, 0, 0ms, fixture.now};
        PollReply reply{OrderOutcome::Accepted, {}, 1000, {}, {}};
        reply.ended = {{1, first, RunOutcome::Done, {}},
                       {2, refused, RunOutcome::Done, {}},
                       {3, last, RunOutcome::Done, {}}};
        fixture.scheduler.pollFinished(fixture.now, order, reply);
        storeFor(1s);
        REQUIRE(fixture.scheduler.workers().at("w").durableEnds == 1);
    }
}

TEST_CASE("Rows of finished jobs are removed while the store refuses calls now and then")
{
    SchedulerFixture fixture;
    const std::vector<std::string> jobs{"0000000000000000", "1000000000000000"};
    for (const std::string &job : jobs) {
        fixture.submit(job);
        fixture.scheduler.cancelJob(fixture.now, job);
    }
    fixture.planAndCommit();
    const auto takeCleanup = [&](CommitStatus status) {
        fixture.now += 2s;
        const auto transaction = fixture.scheduler.takeCleanup(fixture.now);
        REQUIRE(transaction);
        CommitResult result;
        result.status = status;
        fixture.scheduler.cleanupFinished(fixture.now, result);
        return transaction->writes.front().key;
    };
    SECTION("a partition that fails does not keep the others from being cleaned up")
    {
        // Guards against rows of finished jobs that stay in all partitions because of one.
        const std::string first = takeCleanup(CommitStatus::Unavailable);
        REQUIRE(takeCleanup(CommitStatus::Committed) != first);
        REQUIRE(takeCleanup(CommitStatus::Committed) == first);
    }
    SECTION("the progress of a job stays as long as its job row")
    {
        // Guards against a job row without progress, which a successor takes for a new job (TWICE).
        takeCleanup(CommitStatus::Unavailable);
        fixture.now += 200s;
        fixture.scheduler.plan(fixture.now);
        REQUIRE_FALSE(fixture.scheduler.takeTransaction(fixture.now));
        takeCleanup(CommitStatus::Committed);
        takeCleanup(CommitStatus::Committed);
        const auto transaction = fixture.scheduler.takeTransaction(fixture.now);
        REQUIRE(transaction);
        REQUIRE(transaction->writes.size() == jobs.size());
    }
}

TEST_CASE("A job row is not removed before the row that stands for the finished job exists")
{
    // Guards against a late copy of a submission that finds neither row: it is accepted as a new
    // job, which a successor runs again (TWICE).
    SchedulerFixture fixture;
    for (unsigned number = 0; number < 40; ++number) { // more than one transaction takes
        fixture.submit(jobId(number));
        fixture.scheduler.cancelJob(fixture.now, jobId(number));
    }
    fixture.planAndCommit();
    std::set<std::string> finished;
    unsigned removed = 0;
    for (fixture.now += 2s; const auto cleanup = fixture.scheduler.takeCleanup(fixture.now);
         fixture.now += 2s) {
        for (const RowWrite &write : cleanup->writes) {
            if (write.value)
                finished.insert(write.key);
        }
        for (unsigned number = 0; number < 40; ++number) {
            const bool removesJob = std::any_of(
                cleanup->writes.begin(), cleanup->writes.end(),
                [&](const auto &write) { return write.key == jobKey(jobId(number)); });
            removed += removesJob ? 1 : 0;
            CHECK((!removesJob || finished.contains(finishedKey(jobId(number)))));
        }
        CommitResult result;
        result.status = CommitStatus::Committed;
        fixture.scheduler.cleanupFinished(fixture.now, result);
    }
    REQUIRE(removed == 40);
}

TEST_CASE("A partition with many finished jobs does not keep the others from being cleaned up")
{
    SchedulerFixture fixture;
    const std::string other = "1000000000000000";
    std::vector<std::string> jobs{other};
    for (unsigned number = 0; number < 40; ++number) // more than one transaction takes
        jobs.push_back(jobId(number));
    for (const std::string &job : jobs) {
        fixture.submit(job);
        fixture.scheduler.cancelJob(fixture.now, job);
    }
    fixture.planAndCommit();
    fixture.now += 2s;
    REQUIRE(fixture.scheduler.takeCleanup(fixture.now));
    CommitResult result;
    result.status = CommitStatus::Committed;
    fixture.scheduler.cleanupFinished(fixture.now, result);
    const auto second = fixture.scheduler.takeCleanup(fixture.now);
    REQUIRE(second);
    REQUIRE(second->writes.front().key == finishedKey(other));
}

TEST_CASE("A tombstone is removed after its retention")
{
    // Guards against rows for cancellations of unknown jobs that stay for good.
    SchedulerFixture fixture;
    const std::string id = "0000000000000001";
    fixture.scheduler.addTombstone(fixture.now, id);
    fixture.now += tombstoneRetention - 1s;
    CHECK_FALSE(fixture.scheduler.takeCleanup(fixture.now));
    fixture.now += 2s;
    fixture.scheduler.takeCleanup(fixture.now);
    fixture.now += 2s; // writes are collected for a while
    const auto cleanup = fixture.scheduler.takeCleanup(fixture.now);
    REQUIRE(cleanup);
    REQUIRE(cleanup->writes.size() == 1);
    CHECK(cleanup->writes.front().key == tombstoneKey(id));
    CHECK_FALSE(cleanup->writes.front().value);
}

TEST_CASE("A transaction builder adds only what fits")
{
    TransactionBuilder builder("operation", {5, 10'000});
    REQUIRE(builder.add({{"epoch", 1}}, {}));
    REQUIRE(builder.add({{"a", 1}}, {{"a", "value"}}));

    SECTION("checks, writes and removals count together")
    {
        REQUIRE(builder.add({}, {{"b", std::nullopt}}));
        REQUIRE_FALSE(builder.add({{"c", 1}}, {{"c", "value"}}));
        REQUIRE(builder.add({}, {{"c", "value"}}));
        const Transaction transaction = builder.take();
        REQUIRE(transaction.operationId == "operation");
        REQUIRE(transaction.checks.size() == 2);
        REQUIRE(transaction.writes.size() == 3);
    }
    SECTION("values count in their encoded size")
    {
        REQUIRE_FALSE(builder.add({}, {{"b", std::string(7'500, 'x')}}));
        REQUIRE(builder.add({}, {{"b", std::string(6'000, 'x')}}));
        REQUIRE_FALSE(builder.add({}, {{"c", std::string(6'000, 'x')}}));
    }
}
