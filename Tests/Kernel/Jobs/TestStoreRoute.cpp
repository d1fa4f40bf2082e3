// The scheduling host when the store refuses it, or is cut off from it, and serves the others.

#include <Kernel/Jobs/StoreRoute.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

class RouteFixture
{
public:
    RouteFixture()
    {
        route.setRelaysAllowed(true);
        route.setPeer("slow", StorePeer{"10.0.0.1:7000", 0.1});
        route.setPeer("fast", StorePeer{"10.0.0.2:7000", 0.5});
    }

    /// Sends a call at the current time, which ends after \a duration. Returns its peer.
    std::string call(StoreCallEnd end, Duration duration = 5ms)
    {
        const auto choice = route.choose(now, false);
        now += duration;
        route.ended(now, choice, end);
        return choice.peer.value_or("");
    }

    void refuseDirectCalls()
    {
        for (int attempt = 0; attempt < 10; ++attempt) {
            if (!call(StoreCallEnd::Refused, 50ms).empty())
                return;
        }
    }

    TimePoint now{std::chrono::hours(1)};
    std::vector<std::string> events;
    StoreRoute route{[this](std::string_view kind, const std::string &detail) {
        events.push_back(std::string(kind) + ' ' + detail);
    }};
};

} // namespace

TEST_CASE("Calls go to the store itself while it answers")
{
    RouteFixture fixture;
    for (int attempt = 0; attempt < 20; ++attempt)
        CHECK(fixture.call(attempt % 3 == 0 ? StoreCallEnd::Answered : StoreCallEnd::Refused)
                  .empty());
    SECTION("also when it refuses all calls, while this process doesn't schedule")
    {
        fixture.route.setRelaysAllowed(false);
        fixture.refuseDirectCalls();
        CHECK(fixture.call(StoreCallEnd::Refused).empty());
    }
}

TEST_CASE("The fastest peer is used while the store refuses this host")
{
    // Guards against two seconds without a scheduler until the lease has expired.
    RouteFixture fixture;
    fixture.call(StoreCallEnd::Answered);
    const TimePoint begin = fixture.now;
    fixture.refuseDirectCalls();
    CHECK(fixture.now <= begin + 500ms);
    CHECK(fixture.call(StoreCallEnd::Answered) == "10.0.0.2:7000");
    SECTION("until a probe is answered")
    {
        fixture.now += 300ms;
        const auto probe = fixture.route.takeProbe(fixture.now);
        REQUIRE(probe);
        CHECK_FALSE(fixture.route.takeProbe(fixture.now));
        fixture.route.ended(fixture.now, *probe, StoreCallEnd::Answered);
        CHECK(fixture.call(StoreCallEnd::Answered).empty());
    }
    SECTION("and the next one when the store refuses that peer, too")
    {
        fixture.call(StoreCallEnd::Refused);
        fixture.call(StoreCallEnd::Refused);
        CHECK(fixture.call(StoreCallEnd::Answered) == "10.0.0.1:7000");
    }
    SECTION("and none for a while when it refuses all")
    {
        // Guards against doubling the calls during an outage.
        for (int attempt = 0; attempt < 8; ++attempt)
            fixture.call(StoreCallEnd::Refused);
        CHECK(fixture.call(StoreCallEnd::Refused).empty());
        CHECK(fixture.events.back() == "store-relay-ended peers-refused");
    }
    SECTION("a peer that has left is not used again")
    {
        fixture.route.setPeer("fast", std::nullopt);
        fixture.call(StoreCallEnd::Refused);
        fixture.call(StoreCallEnd::Refused);
        CHECK(fixture.call(StoreCallEnd::Answered) == "10.0.0.1:7000");
    }
}

TEST_CASE("A peer is used while the store doesn't answer this host")
{
    RouteFixture fixture;
    fixture.call(StoreCallEnd::Answered);
    const auto silent = fixture.route.choose(fixture.now, false);
    const auto feed = fixture.route.choose(fixture.now, true);
    CHECK_FALSE(feed.peer);
    fixture.now += 400ms;
    CHECK(fixture.call(StoreCallEnd::Answered) == "10.0.0.2:7000");
    SECTION("also after the silent call has been given up")
    {
        fixture.now += 500ms;
        fixture.route.ended(fixture.now, silent, StoreCallEnd::NoAnswer);
        CHECK(fixture.call(StoreCallEnd::Answered) == "10.0.0.2:7000");
    }
    SECTION("calls of change feeds may wait, and say nothing")
    {
        fixture.route.ended(fixture.now, silent, StoreCallEnd::Answered);
        CHECK(fixture.call(StoreCallEnd::Answered).empty());
    }
}
