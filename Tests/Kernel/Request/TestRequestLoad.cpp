#include "KernelDriver.h"
#include "Quantile.h"
#include "RequestSimulation.h"

#include <LibBase/Json.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

/// Two services that together use 70% of 24 slots. The test overloads the first one.
SimulationSettings floodSettings()
{
    SimulationSettings settings;
    settings.entryProcesses = 3;
    settings.backendServers = 3;
    settings.warmUp = 1s;
    settings.measured = 4s;
    settings.services = {{"intake", 20ms, 380}, {"renewals", 20ms, 380}};
    return settings;
}

Json::Value stateOf(const KernelDriver &entry)
{
    return parseJson(entry.kernel->dumpState(entry.now)).value();
}

} // namespace

TEST_CASE("While one service is overloaded, the others keep their goodput and latency")
{
    const auto urgency = GENERATE(Urgency::Deferrable, Urgency::Urgent);
    auto settings = floodSettings();
    RequestSimulation base(settings);
    base.run();
    settings.services[0].floodRate = 1900;
    settings.services[0].floodUrgency = urgency;
    RequestSimulation flood(settings);
    flood.run();
    CHECK(static_cast<double>(flood.results[1].answered)
          >= 0.99 * static_cast<double>(base.results[1].answered));
    CHECK(quantile(flood.results[1].seconds, 0.99) <= 2 * quantile(base.results[1].seconds, 0.99));
    CHECK(flood.busySlots() >= 0.95);
}

TEST_CASE("A total outage does not multiply the load")
{
    MemoryTable table;
    KernelDriver entry(table, "entry-a");
    entry.configure(makeTable(10, 8, {"treasury"}), {"entry-a"});
    constexpr unsigned requests = 5000;
    for (unsigned count = 0; count < requests; ++count) {
        entry.arrive(entry.describe("treasury", true));
        entry.advance(2ms);
        while (!entry.attempts.empty())
            entry.finish(AttemptStatus::NotSent);
    }
    entry.advance(20s);
    CHECK(entry.answerCount == requests);
    // The retry budget allows 10% of the requests, plus 10 per second over a window of 10 s.
    CHECK(entry.started <= requests * 11 / 10 + 110);
}

TEST_CASE("A backend server that fails quickly does not attract load")
{
    MemoryTable table;
    KernelDriver entry(table, "entry-a");
    entry.configure(makeTable(4, 2, {"treasury"}), {"entry-a"});
    unsigned failures = 0;
    for (unsigned count = 0; count < 3000; ++count) {
        entry.arrive(entry.describe("treasury", true));
        entry.advance(10ms);
        while (!entry.attempts.empty()) {
            const bool failing = entry.attempts.front().backendServer == "backend-2";
            failures += failing ? 1 : 0;
            entry.finish(AttemptStatus::Answered, failing ? 500 : 200);
        }
    }
    // Five failures cause the ejection. Then there are single probes with backoff during 30 s.
    CHECK(failures <= 5 + 10);
    CHECK(failures >= 5 + 2);

    SECTION("it is used again after a successful probe")
    {
        unsigned answers = 0;
        for (unsigned count = 0; count < 4000; ++count) {
            entry.arrive(entry.describe("treasury", true));
            entry.advance(10ms);
            while (!entry.attempts.empty()) {
                answers += entry.attempts.front().backendServer == "backend-2" ? 1 : 0;
                entry.finish();
            }
        }
        CHECK(answers > 100);
        CHECK_FALSE(stateOf(entry)["backend_servers"]["backend-2"]["ejected"].asBool());
    }
}

TEST_CASE("A backend server that is leaving receives no further requests")
{
    MemoryTable table;
    KernelDriver entry(table, "entry-a");
    const auto routes = makeTable(2, 1, {"treasury"});
    entry.configure(routes, {"entry-a"});
    const auto leave = [&] {
        if (GENERATE(true, false)) {
            entry.kernel->backendServerLeaving(entry.now, "backend-0", true);
        } else {
            auto drained = std::make_shared<RoutingTable>(*routes);
            drained->version = 2;
            drained->backendServers[0].leaving = true;
            entry.kernel->routingTableChanged(entry.now, drained);
        }
        entry.collect();
    };

    SECTION("waiting requests are sent to other servers")
    {
        for (int count = 0; count < 4; ++count)
            entry.arrive(entry.describe("treasury", true));
        REQUIRE(entry.started == 2);
        leave();
        while (!entry.attempts.empty()) {
            entry.finish();
            for (std::size_t index = entry.started == 2 ? 1 : 0; index < entry.attempts.size();
                 ++index)
                CHECK(entry.attempts[index].backendServer == "backend-1");
        }
        CHECK(entry.answerCount == 4);
    }
    SECTION("a request whose claim is written later is dispatched to another server")
    {
        entry.arrive(entry.describe("treasury", false));
        entry.arrive(entry.describe("treasury", false));
        leave();
        entry.serveStore();
        REQUIRE(entry.attempts.size() == 1);
        CHECK(entry.attempts.front().backendServer == "backend-1");
        entry.finish();
        REQUIRE(entry.attempts.size() == 1);
        CHECK(entry.attempts.front().backendServer == "backend-1");
    }
    SECTION("when no server is left, waiting requests are refused at once")
    {
        entry.arrive(entry.describe("treasury", true));
        entry.arrive(entry.describe("treasury", true));
        const auto waiting = entry.arrive(entry.describe("treasury", true));
        leave();
        entry.kernel->backendServerLeaving(entry.now, "backend-1", true);
        entry.collect();
        CHECK(entry.answers[waiting].reason == RefusalReason::NoBackendServer);
        CHECK(entry.answers[waiting].outcome == Outcome::NotRun);
    }
}

// Guards against a service without any server for up to 30 s after all of its servers have failed.
// This happens if the limit on ejections also counts the servers of other services.
TEST_CASE("At most half of the servers of one service are ejected")
{
    MemoryTable table;
    KernelDriver entry(table, "entry-a");
    const auto routes = makeTable(12, 2, {"treasury", "intake"});
    for (unsigned index = 0; index < 12; ++index)
        routes->backendServers[index].services = {index < 4 ? "treasury" : "intake"};
    entry.configure(routes, {"entry-a"});
    for (int count = 0; count < 200; ++count) {
        entry.arrive(entry.describe("treasury", true));
        while (!entry.attempts.empty())
            entry.finish(AttemptStatus::ConnectionLost);
        entry.advance(5ms);
    }
    int ejected = 0;
    for (int index = 0; index < 12; ++index) {
        const auto state = stateOf(entry)["backend_servers"][fmt::format("backend-{}", index)];
        ejected += state["ejected"].asBool() ? 1 : 0;
    }
    CHECK(ejected == 2);
}

TEST_CASE("A graceful stop finishes accepted requests and refuses new ones")
{
    MemoryTable table;
    KernelDriver entry(table, "entry-a");
    entry.configure(makeTable(1, 1, {"treasury"}), {"entry-a"});
    const auto running = entry.arrive(entry.describe("treasury", false));
    entry.serveStore();
    const auto queued = entry.arrive(entry.describe("treasury", true));
    entry.kernel->stopRequested(entry.now);
    entry.collect();
    const auto late = entry.arrive(entry.describe("treasury", true));
    CHECK(entry.answers[late].reason == RefusalReason::Stopping);
    CHECK(entry.answers[late].outcome == Outcome::NotRun);
    auto repeat = entry.describe("treasury", false);
    repeat.callerAttempt = 2;
    CHECK(entry.answers[entry.arrive(repeat)].outcome == Outcome::Unknown);
    entry.finish();
    entry.finish();
    CHECK(entry.answers[running].outcome == Outcome::Answer);
    CHECK(entry.answers[queued].outcome == Outcome::Answer);
    // The outcome of the claimed request is not recorded yet.
    CHECK(entry.kernel->openRequests() == 1);

    SECTION("the stop is complete once the store has recorded it")
    {
        entry.serveStore();
        CHECK(entry.kernel->openRequests() == 0);
    }
    SECTION("the store stays unavailable: the stop ends without the record")
    {
        entry.serveCommit(StoreFault::Refused);
        entry.advance(25s);
        CHECK(entry.kernel->openRequests() == 0);
        CHECK(stateOf(entry)["claims"]["unrecorded"].asUInt() == 1);
    }
}

TEST_CASE("Less urgent requests of a service wait longer but are not starved")
{
    MemoryTable table;
    KernelDriver entry(table, "entry-a");
    entry.configure(makeTable(1, 1, {"treasury"}), {"entry-a"});
    entry.arrive(entry.describe("treasury", true));
    auto request = entry.describe("treasury", true);
    request.urgency = Urgency::Deferrable;
    const auto deferrable = entry.arrive(request);
    unsigned served = 0;
    while (!entry.answered(deferrable) && served < 100) {
        request = entry.describe("treasury", true);
        request.urgency = Urgency::Urgent;
        entry.arrive(request);
        entry.finish();
        ++served;
    }
    CHECK(served > 3);
    CHECK(served < 20);
}
