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
    SECTION("Starts never wait longer than the maximum")
    {
        CHECK(planPauseAfter(100ms) == 20ms);
    }
}
