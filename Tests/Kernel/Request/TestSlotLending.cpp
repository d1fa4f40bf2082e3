#include "RequestSimulation.h"

#include <EventDigest.h>
#include <Kernel/Request/SlotMessage.h>
#include <LibBase/Json.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

SimulationSettings smallSettings(std::uint64_t seed, const std::string &routing)
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.routingPolicy = routing;
    settings.entryProcesses = 4;
    settings.backendServers = 3;
    settings.slots = 5;
    settings.leaseTime = 10s;
    settings.firstProcessPart = 0.6;
    settings.warmUp = 0s;
    settings.measured = 40s;
    // Long requests occupy slots across changes of the membership view. Short ones cause frequent
    // lending.
    settings.services = {{"short", 60ms, 70}, {"long", 6s, 1}};
    settings.services[1].deadline = 25s;
    return settings;
}

/// Checks that after the end of the faults and the load no slot stays lent or borrowed, and no peer
/// unconfirmed.
void checkRecovery(RequestSimulation &simulation, std::uint64_t seed)
{
    simulation.peerLink = [] {
        return std::vector<Duration>{1ms};
    };
    simulation.runUntil(simulation.now() + 30s);
    simulation.changeView();
    simulation.runUntil(simulation.now() + 30s);
    for (unsigned entry = 0; entry < simulation.entryCount(); ++entry) {
        if (!simulation.running(entry) || simulation.lapsed(entry))
            continue;
        const auto state = parseJson(simulation.kernel(entry).dumpState(simulation.now())).value();
        for (const char *name : {"lent", "borrowed", "unconfirmed_peers"}) {
            if (state["slots"][name].asUInt() != 0)
                RC_FAIL(fmt::format("slots not given back: seed={} entry={} {}={}", seed, entry,
                                    name, state["slots"][name].asUInt()));
        }
    }
}

/// Runs a random schedule of message losses, delays and duplicates, and of crashes, freezes, joins
/// and stops of entry processes. Checks after each event that no backend server has more attempts
/// in flight than slots. Returns a digest of these events.
std::uint64_t runSchedule(std::uint64_t seed, const std::string &routing)
{
    RequestSimulation simulation(smallSettings(seed, routing));
    RandomSource random(seed);
    EventDigest digest;
    const double loss = random.unit() * 0.6;
    const double duplication = random.unit() * 0.5;
    const double slow = random.unit() * 0.3;
    simulation.peerLink = [&] {
        std::vector<Duration> delays;
        for (unsigned copy = 0; copy < (random.unit() < duplication ? 2 : 1); ++copy) {
            const double limit = random.unit() < slow ? 3e9 : 5e6;
            if (random.unit() >= loss)
                delays.emplace_back(static_cast<Duration::rep>(random.unit() * limit));
        }
        return delays;
    };
    simulation.afterEvent = [&] {
        if (simulation.largestOverbooking() > 0)
            RC_FAIL(fmt::format("overbooked: seed={} step={} routing={}", seed, simulation.events(),
                                routing));
    };
    TimePoint time = simulation.start();
    while (time < simulation.start() + 40s) {
        time += Duration(static_cast<Duration::rep>(random.exponential(4e9)));
        simulation.runUntil(time);
        const auto entry = static_cast<unsigned>(random.below(simulation.entryCount()));
        if (!simulation.running(entry))
            continue;
        const auto kind = random.below(6);
        digest.add(fmt::format("{} {} {}", toUnixMilliseconds(time), entry, kind));
        switch (kind) {
        case 0:
            simulation.crash(entry);
            // The lease of the process ends before the others divide its slots.
            time = simulation.leaseEnd(entry);
            simulation.runUntil(time);
            simulation.changeView();
            break;
        case 1:
            simulation.freeze(entry, 3s);
            break;
        case 2:
            simulation.freeze(entry, 15s);
            simulation.runUntil(time += 11s);
            simulation.changeView();
            break;
        case 3:
            simulation.join();
            simulation.changeView();
            break;
        case 4:
            simulation.stop(entry);
            break;
        default:
            break;
        }
    }
    checkRecovery(simulation, seed);
    return digest.value();
}

} // namespace

TEST_CASE("No schedule of message and process faults overbooks a backend server")
{
    for (const char *routing : {"lent-slots", "divided-slots"}) {
        DYNAMIC_SECTION(routing)
        {
            CHECK(rc::check(
                [&] { runSchedule(*rc::gen::inRange<std::uint64_t>(1, 1U << 30), routing); }));
        }
    }
}

TEST_CASE("A seed gives the same schedule of slot lending on every machine")
{
    // Guards against a seed that gives one schedule on x86-64 and another on arm64, so that a
    // recorded seed cannot be replayed, for example because random numbers are drawn in an
    // unspecified order of evaluation. An intended change of the schedules or of the messages
    // between kernels changes the recorded digest.
    CHECK(runSchedule(1, "lent-slots") == 0x77064689de555d4c);
}

TEST_CASE("With lending, a loaded process also uses the slots of idle ones")
{
    auto settings = smallSettings(7, "lent-slots");
    settings.firstProcessPart = 1;
    settings.services = {{"short", 30ms, 300}};
    settings.measured = 5s;
    RequestSimulation lent(settings);
    lent.run();
    CHECK(lent.results[0].answered == lent.results[0].arrived);
    settings.routingPolicy = "divided-slots";
    RequestSimulation divided(settings);
    divided.run();
    CHECK(divided.results[0].answered < divided.results[0].arrived);
}

TEST_CASE("A malformed slot message is rejected")
{
    const auto text = GENERATE(
        as<std::string>(), "", "[]", "{}", R"({"type":"state"})",
        R"({"type":"state","epoch":1,"number":1,"slots":[],"wanted":{},"window_ms":0,"idle":0})",
        R"({"type":"state","epoch":1,"number":-1,"slots":{},"wanted":{},"window_ms":0,"idle":0})",
        R"({"type":"state","epoch":1,"number":1,"slots":{"a":["x"]},"wanted":{},"window_ms":0,"idle":0})",
        R"({"type":"take","epoch":1,"number":1,"slots":{},"wanted":{},"window_ms":0,"idle":0})");
    const bool decoded = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(decodeSlotMessage(text));
            return true;
        },
        [](const Error &) { return false; });
    CHECK_FALSE(decoded);
}
