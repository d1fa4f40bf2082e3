#include <Services/Jobs/PlanPause.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

// Guards against planning that takes a fixed share of the processor time of a small host under
// every load, and against starts that wait long for the next pass.
TEST_CASE("The pause after a planning pass limits the share of planning")
{
    SECTION("Events that follow a short pass are handled together")
    {
        CHECK(planPauseAfter(0ms) == 5ms);
        CHECK(planPauseAfter(200us) == 5ms);
    }
    SECTION("A longer pass takes at most a quarter of the time")
    {
        CHECK(planPauseAfter(4ms) == 12ms);
    }
    SECTION("Starts rather wait no longer than 20 ms")
    {
        CHECK(planPauseAfter(10ms) == 20ms);
        CHECK(planPauseAfter(20ms) == 20ms);
    }
    SECTION("Very long passes leave half of the time to the orders that they give")
    {
        CHECK(planPauseAfter(80ms) == 80ms);
    }
    SECTION("A process that was suspended during a pass goes on soon")
    {
        CHECK(planPauseAfter(5s) == 100ms);
    }
}
