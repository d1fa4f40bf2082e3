// What entry processes report of the submissions to them, and what the scheduler reads.

#include "OverloadFixture.h"
#include "ServiceFixture.h"

#include <Services/Jobs/OfferedFollower.h>
#include <Services/Jobs/OfferedReporter.h>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

TEST_CASE("A process reports what is submitted to it while limits are in force")
{
    asio::io_context context;
    LimitedStore store;
    store.advanceTo(TimePoint(std::chrono::hours(1)));
    bool isNeeded = true;
    OfferedCounts counts{{"checks", {{"large", {7, 3}}}}};
    OfferedReporter::Hooks hooks;
    hooks.clock = [&] {
        return store.now();
    };
    hooks.isNeeded = [&] {
        return isNeeded;
    };
    hooks.counts = [&]() -> const OfferedCounts & {
        return counts;
    };
    OfferedReporter reporter(context, store, "host", "host-1", hooks);
    const auto second = [&] {
        store.advanceTo(store.now() + 1s);
        reporter.start();
        store.run();
    };
    second();
    const OfferedReport expected{"host-1", 3601000, counts};
    CHECK(store.row("offered/host").value == encodeOfferedReport(expected));

    SECTION("once, as long as nothing changes")
    {
        second();
        CHECK(store.writeAttempts == 1);
        counts["checks"]["large"] = {9, 5};
        second();
        CHECK(store.writeAttempts == 2);
    }
    SECTION("and not without limits")
    {
        // Guards against writes of all hosts while there is no overload.
        isNeeded = false;
        counts["checks"]["large"] = {9, 5};
        second();
        CHECK(store.writeAttempts == 1);
    }
    SECTION("a write that the store refuses is not repeated before the next second")
    {
        store.writesLeft = 0;
        counts["checks"]["large"] = {9, 5};
        second();
        store.run();
        CHECK(store.writeAttempts == 2);
        store.writesLeft = 1;
        counts["checks"]["large"] = {11, 5};
        second();
        CHECK(store.row("offered/host").value == encodeOfferedReport({"host-1", 3603000, counts}));
    }
}

TEST_CASE("The scheduler ignores a malformed report")
{
    // Guards against a row that stops the joining of the others, or floods the log.
    asio::io_context context;
    ClockedStore store;
    MemoryFeed feed(context, store);
    PlatformPorts ports;
    ports.store = &store;
    ports.feed = &feed;
    JobMetrics metrics;
    TimePoint now{std::chrono::hours(1)};
    OfferedFollower follower(context, ports, metrics, [&] { return now; });
    unsigned writes = 0;
    const auto write = [&](const std::string &host, const std::string &value) {
        Transaction transaction;
        transaction.operationId = std::to_string(++writes);
        transaction.writes = {{offeredKey(host), value}};
        store.commit(transaction, [](const CommitResult &) {});
        store.run();
        for (int round = 0; round < 40; ++round) {
            store.run();
            context.restart();
            context.run_for(10ms);
        }
    };
    const auto report = [](std::int64_t milliseconds, std::uint64_t offered) {
        return encodeOfferedReport({"life", milliseconds, {{"checks", {{"large", {offered, 0}}}}}});
    };
    write("a", report(1000, 10));
    write("b", R"({"instance": 1})");
    now += 1s;
    write("a", report(2000, 30));

    SchedulerDemand demand;
    demand.queues["checks"];
    follower.load().addTo(demand, now);
    CHECK(demand.queues["checks"].organisations["large"].reportedOffered == Approx(20));
    CHECK(metrics.serialize().find(R"({event="row-unreadable"} 1)") != std::string::npos);
}

TEST_CASE("A service reports its submissions, and reads the reports while it schedules")
{
    // Guards against counts that are taken, and nobody writes or reads.
    ServiceFixture fixture;
    JobConfiguration known;
    known.queues = {{"checks", "host", "/checks/", "pool", 0, 3, 1.6, 600ms}};
    known.organisations = {{"large", {"key"}, 0, 5}};
    known.requiresKeys = true;
    fixture.configuration = std::make_shared<JobConfiguration>(known);
    fixture.write({"op/config", "{}"});
    REQUIRE(fixture.runUntil(10s, [&] { return fixture.service->configuration() != nullptr; }));

    AdmissionLimit limit{500, 1s};
    limit.othersPermille = 1000;
    limit.organisations["large"] = {1, 7s};
    unsigned submitted = 0;
    const auto isReported = [&] {
        // The scheduler of the fixture lifts limits that its load does not need, which may come
        // before the first report.
        fixture.write({std::string(admissionKey), encodeAdmissionLimits({{"checks", limit}})});
        JobCall call;
        call.kind = CallKind::Submit;
        call.hostName = "host";
        call.id = fmt::format("{:016x}", ++submitted);
        call.path = "/checks/" + call.id;
        call.queue = "checks";
        call.key = "key";
        call.specification.steps.resize(1);
        call.timeout = 1s;
        fixture.service->handle(call, [](const CallAnswer &) {});
        const Row row = fixture.store.row("offered/host");
        return row.value.find(R"("large":{"offered":)") != std::string::npos;
    };
    REQUIRE(fixture.runUntil(5s, isReported));

    fixture.write({"offered/other", "malformed"});
    CHECK(fixture.runUntil(10s, [&] {
        return fixture.service->metrics().find(R"({event="row-unreadable"} 1)")
               != std::string::npos;
    }));
}
