#include <Kernel/Jobs/JobRows.h>
#include <LibStore/MemoryStore.h>
#include <Services/Jobs/JobFrontend.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

/// Frontend on a MemoryStore. Its timers run on the context in real time; its clock is that of the
/// store.
class FrontendFixture
{
public:
    FrontendFixture()
        : frontend(context, store,
                   {[this] { return store.now(); },
                    [this] {
                        return configuration;
                    }})
    {
        store.advanceTo(TimePoint(std::chrono::hours(1)));
        JobConfiguration known;
        known.queues = {{"checks", "host", "/checks/", "pool", 0, 3, 1.6, 600ms}};
        configuration = std::make_shared<JobConfiguration>(known);
    }

    void write(const std::string &key, std::optional<std::string> value)
    {
        Transaction transaction;
        transaction.operationId = "test/" + key + std::to_string(++m_writes);
        transaction.writes = {{key, std::move(value)}};
        store.commit(transaction, [](const CommitResult &) {});
        store.run();
    }

    CallAnswer call(CallKind kind, const std::string &id = "0123456789abcdef")
    {
        JobCall call;
        call.kind = kind;
        call.hostName = "host";
        call.path = "/checks/" + id;
        call.queue = "checks";
        call.id = id;
        call.specification.steps.resize(1);
        call.timeout = 1s;
        std::optional<CallAnswer> result;
        frontend.handle(call, [&](const CallAnswer &answer) { result = answer; });
        // Each round advances the clock for the time limits and runs expired timers of the context.
        for (int round = 0; round < 200 && !result; ++round) {
            store.run();
            context.restart();
            context.run_for(std::chrono::milliseconds(1));
            store.advanceTo(store.now() + 20ms);
        }
        REQUIRE(result);
        return *result;
    }

    asio::io_context context;
    MemoryStore store;
    std::shared_ptr<const JobConfiguration> configuration;
    JobFrontend frontend;

private:
    unsigned m_writes = 0;
};

const std::string id = "0123456789abcdef";

} // namespace

TEST_CASE("A submission that the store refuses is not repeated")
{
    // Guards against "try later" for a job that the store will never take.
    FrontendFixture fixture;
    fixture.store.setLimits(100, 50);
    CHECK(fixture.call(CallKind::Submit).outcome == CallOutcome::TooLarge);
    CHECK(fixture.store.calls(StoreCallKind::Commit) == 1);
}

TEST_CASE("A submitted job is accepted at most once")
{
    FrontendFixture fixture;
    SECTION("a repeated submission leaves the job row unchanged")
    {
        CHECK(fixture.call(CallKind::Submit).outcome == CallOutcome::Accepted);
        const Version first = fixture.store.row(jobKey(id)).version;
        CHECK(fixture.call(CallKind::Submit).outcome == CallOutcome::Accepted);
        CHECK(fixture.store.row(jobKey(id)).version == first);
    }
    SECTION("a late copy of the submission of a finished job writes no job row")
    {
        fixture.write(progressKey(id), encodeJobProgress({JobPhase::Completed, {}, {}, {}}));
        fixture.write(finishedKey(id), "{}");
        CHECK(fixture.call(CallKind::Submit).outcome == CallOutcome::Accepted);
        CHECK(fixture.store.row(jobKey(id)).version == absentVersion);
    }
    SECTION("a submission whose commit answer was lost is answered as accepted")
    {
        fixture.store.scriptFault(StoreCallKind::Commit,
                                  {StoreFaultKind::LoseAnswerAfterEffect, {}});
        CHECK(fixture.call(CallKind::Submit).outcome == CallOutcome::Accepted);
    }
    SECTION("an unavailable store leads to the answer unavailable, and nothing is written")
    {
        fixture.store.setDown(fixture.store.now(), fixture.store.now() + 10s);
        const CallAnswer answer = fixture.call(CallKind::Submit);
        CHECK(answer.outcome == CallOutcome::Unavailable);
        CHECK(answer.retryAfter == 1s);
        CHECK(fixture.store.row(jobKey(id)).version == absentVersion);
    }
    SECTION("a write that may have been applied leads to the answer undetermined")
    {
        fixture.store.scriptFault(StoreCallKind::Commit,
                                  {StoreFaultKind::LoseAnswerBeforeEffect, {}});
        fixture.store.setDown(fixture.store.now() + 1ms, fixture.store.now() + 10s);
        CHECK(fixture.call(CallKind::Submit).outcome == CallOutcome::Undetermined);
    }
    SECTION("a call is answered before the caller's timeout even if the store never answers")
    {
        // Guards against calls without any answer, which came about when a store call in progress
        // took longer than the caller's timeout. The store is never run here, so it never answers.
        const auto outcomeWithoutStoreAnswer = [&](CallKind kind) {
            JobCall call;
            call.kind = kind;
            call.hostName = "host";
            call.path = "/checks/" + id;
            call.id = id;
            call.specification.steps.resize(1);
            call.timeout = 50ms;
            std::optional<CallAnswer> result;
            fixture.frontend.handle(call, [&](const CallAnswer &answer) { result = answer; });
            while (!result) {
                fixture.context.restart();
                fixture.context.run_one();
            }
            return result->outcome;
        };
        CHECK(outcomeWithoutStoreAnswer(CallKind::Submit) == CallOutcome::Undetermined);
        CHECK(outcomeWithoutStoreAnswer(CallKind::Query) == CallOutcome::Unavailable);
    }
    SECTION("an outdated configuration leads to the answer unavailable")
    {
        fixture.configuration.reset();
        const CallAnswer answer = fixture.call(CallKind::Submit);
        CHECK(answer.outcome == CallOutcome::Unavailable);
        CHECK(answer.retryAfter == 1s);
        CHECK(fixture.store.row(jobKey(id)).version == absentVersion);
        CHECK(fixture.store.calls(StoreCallKind::Commit) == 0);
    }
}

TEST_CASE("The state of a job is read from its rows")
{
    FrontendFixture fixture;
    CHECK(fixture.call(CallKind::Query).outcome == CallOutcome::UnknownJob);
    CHECK(fixture.call(CallKind::Cancel, "fedcba9876543210").outcome == CallOutcome::UnknownJob);
    fixture.call(CallKind::Submit);
    CHECK(fixture.call(CallKind::Query).phase == JobPhase::Queued);
    SECTION("a running job")
    {
        fixture.write(progressKey(id), encodeJobProgress({JobPhase::Running, {}, {}, {}}));
        CHECK(fixture.call(CallKind::Query).phase == JobPhase::Running);
    }
    SECTION("a job cancelled before the scheduler has read the cancellation")
    {
        CHECK(fixture.call(CallKind::Cancel).outcome == CallOutcome::Cancelled);
        CHECK(fixture.call(CallKind::Query).phase == JobPhase::Cancelled);
        CHECK(fixture.call(CallKind::Cancel).outcome == CallOutcome::Cancelled);
    }
    SECTION("a malformed row leads to the answer unavailable")
    {
        fixture.write(progressKey(id), "x");
        CHECK(fixture.call(CallKind::Query).outcome == CallOutcome::Unavailable);
    }
    SECTION("the number of waiting jobs of a queue")
    {
        fixture.write(std::string(pendingJobsKey), R"({"store_ms":0,"queues":{"checks":4}})");
        CHECK(fixture.call(CallKind::Count).pending == 4);
    }
}

TEST_CASE("A submission has no effect after the cancellation of its job was answered")
{
    // Guards against a job that runs although its caller was told that it does not exist: the store
    // applied the submission late, or another process held it (UNASKED).
    FrontendFixture fixture;
    bool late = true;
    fixture.store.setFaultHook([&](StoreCallKind kind, std::uint64_t) {
        return late && kind == StoreCallKind::Commit ? StoreFault{StoreFaultKind::LateEffect, 6s}
                                                     : StoreFault{};
    });
    SECTION("when all its writes are applied late")
    {
        CHECK(fixture.call(CallKind::Submit).outcome == CallOutcome::Undetermined);
        late = false;
        CHECK(fixture.call(CallKind::Cancel).outcome == CallOutcome::UnknownJob);
    }
    SECTION("when the first write of the cancellation is applied late, too")
    {
        CHECK(fixture.call(CallKind::Cancel).outcome == CallOutcome::Undetermined);
        late = false;
        CHECK(fixture.call(CallKind::Cancel).outcome == CallOutcome::UnknownJob);
    }
    SECTION("when it arrives afterwards, and it is refused for as long as the tombstone lasts")
    {
        late = false;
        CHECK(fixture.call(CallKind::Cancel).outcome == CallOutcome::UnknownJob);
        const CallAnswer answer = fixture.call(CallKind::Submit);
        CHECK(answer.outcome == CallOutcome::AlreadyCancelled);
        CHECK(answer.retryAfter == tombstoneRetention);
    }
    fixture.store.advanceTo(fixture.store.now() + 10s);
    CHECK(fixture.store.row(jobKey(id)).version == absentVersion);
    CHECK(fixture.call(CallKind::Query).outcome == CallOutcome::UnknownJob);
}

TEST_CASE("Cancellations of unknown jobs leave the writes of the store to submissions")
{
    FrontendFixture fixture;
    SECTION("the same one writes once")
    {
        for (int count = 0; count < 50; ++count)
            CHECK(fixture.call(CallKind::Cancel).outcome == CallOutcome::UnknownJob);
        CHECK(fixture.store.calls(StoreCallKind::Commit) == 1);
    }
    SECTION("of many, ten a second write, and the others are answered that they had no effect")
    {
        const TimePoint begin = fixture.store.now();
        unsigned refused = 0;
        for (int number = 0; number < 200; ++number) {
            const std::string suffix = std::to_string(100 + number);
            const auto answer = fixture.call(CallKind::Cancel, "0000000000000" + suffix);
            refused += answer.outcome == CallOutcome::Unavailable ? 1 : 0;
        }
        const double seconds = toSeconds(fixture.store.now() - begin);
        const std::uint64_t writes = fixture.store.calls(StoreCallKind::Commit);
        CHECK(static_cast<double>(writes) <= 20 + 10 * seconds);
        CHECK(refused + writes == 200);
        CHECK(refused > 0);
    }
}
