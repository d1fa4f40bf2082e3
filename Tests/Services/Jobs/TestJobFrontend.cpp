#include <Kernel/Jobs/JobRows.h>
#include <LibStore/MemoryStore.h>
#include <Services/Jobs/JobFrontend.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

constexpr const char *configurationKey = "op/config";

/// A frontend on a store in memory. The frontend's pauses pass by its context, and its clock is
/// that of the store.
class Frontend
{
public:
    Frontend()
        : frontend(context, store,
                   {[this] { return store.now(); }, [this] { return state; },
                    [this](const Row &row) {
                        shown.push_back(row);
                    }})
    {
        store.advanceTo(TimePoint(std::chrono::hours(1)));
        write(configurationKey, "1");
        auto configuration = std::make_shared<JobConfiguration>();
        configuration->queues = {{"checks", "host", "/checks/", "pool", 0, 3, 1.6, 600ms}};
        state.configuration = configuration;
        state.row = {configurationKey, store.row(configurationKey).version};
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
        // Each turn lets time pass for the limits, and the timers of the context expire.
        for (int turn = 0; turn < 200 && !result; ++turn) {
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
    ConfigurationState state;
    std::vector<Row> shown;
    JobFrontend frontend;

private:
    unsigned m_writes = 0;
};

const std::string id = "0123456789abcdef";

} // namespace

TEST_CASE("A job is accepted once, whatever happens to the answers of the store")
{
    Frontend caller;
    SECTION("a second submission is the same job")
    {
        CHECK(caller.call(CallKind::Submit).outcome == CallOutcome::Accepted);
        const Version first = caller.store.row(jobKey(id)).version;
        CHECK(caller.call(CallKind::Submit).outcome == CallOutcome::Accepted);
        CHECK(caller.store.row(jobKey(id)).version == first);
    }
    SECTION("a late copy of a finished job does not run it again")
    {
        caller.write(progressKey(id), encodeJobProgress({JobPhase::Completed, {}, {}, {}}));
        CHECK(caller.call(CallKind::Submit).outcome == CallOutcome::Accepted);
        CHECK(caller.store.row(jobKey(id)).version == absentVersion);
    }
    SECTION("a lost answer is resolved by the rows")
    {
        caller.store.scriptFault(StoreCallKind::Commit,
                                 {StoreFaultKind::LoseAnswerAfterEffect, {}});
        CHECK(caller.call(CallKind::Submit).outcome == CallOutcome::Accepted);
    }
    SECTION("a store that refuses leads to a refusal that is true")
    {
        caller.store.setDown(caller.store.now(), caller.store.now() + 10s);
        const CallAnswer answer = caller.call(CallKind::Submit);
        CHECK(answer.outcome == CallOutcome::Unavailable);
        CHECK(answer.retryAfter == 1s);
        CHECK(caller.store.row(jobKey(id)).version == absentVersion);
    }
    SECTION("a write that may have taken effect is never called a refusal")
    {
        caller.store.scriptFault(StoreCallKind::Commit,
                                 {StoreFaultKind::LoseAnswerBeforeEffect, {}});
        caller.store.setDown(caller.store.now() + 1ms, caller.store.now() + 10s);
        CHECK(caller.call(CallKind::Submit).outcome == CallOutcome::Undetermined);
    }
    SECTION("a store that says nothing does not keep the caller to its deadline")
    {
        // Guards against calls that ended without any answer, because the attempt under way
        // outlasted the caller. The store is never run here, so that it answers nothing.
        const auto answered = [&](CallKind kind) {
            JobCall call;
            call.kind = kind;
            call.hostName = "host";
            call.path = "/checks/" + id;
            call.id = id;
            call.specification.steps.resize(1);
            call.timeout = 50ms;
            std::optional<CallAnswer> result;
            caller.frontend.handle(call, [&](const CallAnswer &answer) { result = answer; });
            while (!result) {
                caller.context.restart();
                caller.context.run_one();
            }
            return result->outcome;
        };
        CHECK(answered(CallKind::Submit) == CallOutcome::Undetermined);
        CHECK(answered(CallKind::Query) == CallOutcome::Unavailable);
    }
    SECTION("a configuration that is not the newest accepts nothing")
    {
        caller.write(configurationKey, "2");
        CHECK(caller.call(CallKind::Submit).outcome == CallOutcome::Unavailable);
        CHECK(caller.store.row(jobKey(id)).version == absentVersion);
        REQUIRE_FALSE(caller.shown.empty());
        CHECK(caller.shown.front().key == configurationKey);
    }
}

TEST_CASE("The state of a job comes from its rows")
{
    Frontend caller;
    CHECK(caller.call(CallKind::Query).outcome == CallOutcome::UnknownJob);
    CHECK(caller.call(CallKind::Cancel).outcome == CallOutcome::UnknownJob);
    caller.call(CallKind::Submit);
    CHECK(caller.call(CallKind::Query).phase == JobPhase::Queued);
    SECTION("a running job")
    {
        caller.write(progressKey(id), encodeJobProgress({JobPhase::Running, {}, {}, {}}));
        CHECK(caller.call(CallKind::Query).phase == JobPhase::Running);
    }
    SECTION("a cancelled one, before the scheduler has seen it")
    {
        CHECK(caller.call(CallKind::Cancel).outcome == CallOutcome::Cancelled);
        CHECK(caller.call(CallKind::Query).phase == JobPhase::Cancelled);
        CHECK(caller.call(CallKind::Cancel).outcome == CallOutcome::Cancelled);
    }
    SECTION("an unreadable row is not guessed at")
    {
        caller.write(progressKey(id), "x");
        CHECK(caller.call(CallKind::Query).outcome == CallOutcome::Unavailable);
    }
    SECTION("the count of waiting jobs")
    {
        caller.write(std::string(pendingJobsKey), R"({"store_ms":0,"queues":{"checks":4}})");
        CHECK(caller.call(CallKind::Count).pending == 4);
    }
}
