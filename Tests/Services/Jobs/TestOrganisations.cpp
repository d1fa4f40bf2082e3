// Calls of several organisations, and keys that are removed while calls are pending.

#include <Kernel/Jobs/JobRows.h>
#include <LibStore/MemoryStore.h>
#include <Services/Jobs/JobFrontend.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

const std::string id = "0123456789abcdef";

class OrganisationsFixture
{
public:
    OrganisationsFixture()
        : frontend(context, store,
                   {[this] { return store.now(); },
                    [this] {
                        return std::make_shared<JobConfiguration>(configuration);
                    }})
    {
        store.advanceTo(TimePoint(std::chrono::hours(1)));
        QueueSettings queue;
        queue.name = "checks";
        queue.hostName = "host";
        queue.pathPrefix = "/checks/";
        queue.pool = "pool";
        QueueSettings open = queue;
        open.name = "open";
        open.pathPrefix = "/open/";
        open.isPublic = true;
        configuration.queues = {queue, open};
        configuration.requiresKeys = true;
        configuration.organisations = {{"north", {"key-n"}}, {"south", {"key-s"}}};
    }

    /// Calls the queue with \a key; \a beforeAnswer runs once the call has been passed on.
    CallOutcome call(
        CallKind kind, const std::string &key, const std::string &queue = "checks",
        const std::function<void()> &beforeAnswer = [] {})
    {
        JobCall call;
        call.kind = kind;
        call.hostName = "host";
        call.path = '/' + queue + '/' + id;
        call.queue = queue;
        call.id = id;
        call.key = key;
        call.specification.steps.resize(1);
        call.timeout = 1s;
        std::optional<CallAnswer> result;
        frontend.handle(call, [&](const CallAnswer &answer) { result = answer; });
        beforeAnswer();
        for (int round = 0; round < 200 && !result; ++round) {
            store.run();
            context.restart();
            context.run_for(1ms);
            store.advanceTo(store.now() + 20ms);
        }
        REQUIRE(result);
        return result->outcome;
    }

    void writeProgress(const std::string &organisation)
    {
        JobProgress progress;
        progress.phase = JobPhase::Running;
        progress.organisation = organisation;
        Transaction transaction;
        transaction.operationId = "test/progress";
        transaction.writes = {{progressKey(id), encodeJobProgress(progress)}};
        store.commit(transaction, [](const CommitResult &) {});
        store.run();
    }

    asio::io_context context;
    MemoryStore store;
    JobConfiguration configuration;
    JobFrontend frontend;
};

} // namespace

TEST_CASE("A job belongs to the organisation whose key submitted it")
{
    // Guards against callers that see or end jobs of others.
    OrganisationsFixture fixture;
    REQUIRE(fixture.call(CallKind::Submit, "key-n") == CallOutcome::Accepted);
    const auto stored
        = valueOrElse([&] { return parseSubmittedJob(fixture.store.row(jobKey(id)).value); },
                      [](const Error &) { return SubmittedJob{}; });
    CHECK(stored.organisation == "north");
    SECTION("and a submission of another organisation with its id is refused")
    {
        // Guards against an answer that a job was accepted of which nothing is stored.
        CHECK(fixture.call(CallKind::Submit, "key-s") == CallOutcome::WrongOrganisation);
        CHECK(fixture.call(CallKind::Submit, "key-n") == CallOutcome::Accepted);
    }
    SECTION("before the job has started")
    {
        CHECK(fixture.call(CallKind::Query, "key-n") == CallOutcome::Found);
        CHECK(fixture.call(CallKind::Query, "key-s") == CallOutcome::WrongOrganisation);
        CHECK(fixture.call(CallKind::Cancel, "key-s") == CallOutcome::WrongOrganisation);
        CHECK(fixture.store.row(cancellationKey(id)).version == absentVersion);
        CHECK(fixture.call(CallKind::Cancel, "key-n") == CallOutcome::Cancelled);
    }
    SECTION("while it runs, from the progress row")
    {
        fixture.writeProgress("north");
        CHECK(fixture.call(CallKind::Query, "key-n") == CallOutcome::Found);
        CHECK(fixture.call(CallKind::Query, "key-s") == CallOutcome::WrongOrganisation);
    }
    SECTION("also through a public queue, which leads to the rows of all jobs")
    {
        // Guards against a caller without a key that cancels jobs of others by their ids.
        CHECK(fixture.call(CallKind::Query, "", "open") == CallOutcome::WrongOrganisation);
        CHECK(fixture.call(CallKind::Cancel, "key-s", "open") == CallOutcome::WrongOrganisation);
        CHECK(fixture.store.row(cancellationKey(id)).version == absentVersion);
        fixture.writeProgress("north");
        CHECK(fixture.call(CallKind::Query, "", "open") == CallOutcome::WrongOrganisation);
    }
    SECTION("and is served as before where the configuration has no organisations")
    {
        fixture.configuration.requiresKeys = false;
        CHECK(fixture.call(CallKind::Query, "") == CallOutcome::Found);
    }
}

TEST_CASE("A call without a valid key has no effect")
{
    OrganisationsFixture fixture;
    for (const CallKind kind :
         {CallKind::Submit, CallKind::Query, CallKind::Cancel, CallKind::Count}) {
        CHECK(fixture.call(kind, "") == CallOutcome::Unauthorized);
        CHECK(fixture.call(kind, "key-x") == CallOutcome::Unauthorized);
    }
    CHECK(fixture.store.row(jobKey(id)).version == absentVersion);
    SECTION("unless the queue is public")
    {
        CHECK(fixture.call(CallKind::Submit, "", "open") == CallOutcome::Accepted);
        CHECK(fixture.call(CallKind::Query, "key-x", "open") == CallOutcome::Found);
        CHECK(fixture.call(CallKind::Cancel, "", "open") == CallOutcome::Cancelled);
    }
}

TEST_CASE("Whoever may call a public queue may see its jobs, also those submitted with a key")
{
    OrganisationsFixture fixture;
    REQUIRE(fixture.call(CallKind::Submit, "key-n", "open") == CallOutcome::Accepted);
    CHECK(fixture.call(CallKind::Query, "", "open") == CallOutcome::Found);
    CHECK(fixture.call(CallKind::Query, "key-s", "open") == CallOutcome::Found);
    CHECK(fixture.call(CallKind::Cancel, "", "open") == CallOutcome::Cancelled);
}

TEST_CASE("A call to a queue that was removed after its arrival is answered as such")
{
    // Guards against a call that goes on without a check of its key.
    OrganisationsFixture fixture;
    for (const CallKind kind : {CallKind::Query, CallKind::Cancel, CallKind::Count})
        CHECK(fixture.call(kind, "key-n", "gone") == CallOutcome::UnknownQueue);
}

TEST_CASE("A key that is removed while the submission waits for a retry is not used any more")
{
    // Guards against a job that is written by the configuration at the arrival of the call.
    OrganisationsFixture fixture;
    fixture.store.setDown(fixture.store.now(), fixture.store.now() + 100ms);
    const auto removeKey = [&] {
        fixture.store.run();
        fixture.configuration.organisations[0].keys.clear();
    };
    CHECK(fixture.call(CallKind::Submit, "key-n", "checks", removeKey)
          == CallOutcome::Unauthorized);
    CHECK(fixture.store.row(jobKey(id)).version == absentVersion);
}
