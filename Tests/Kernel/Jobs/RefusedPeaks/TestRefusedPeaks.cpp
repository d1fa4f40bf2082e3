// Peaks in turn, where submissions beyond the capacity are refused.

#include "../Overload/FleetModel.h"
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

TEST_CASE(
    "Peaks of the second round are accepted where submissions beyond the capacity are refused")
{
    // Guards against refusals at the begin of each peak, which kept the pool from growing.
    FleetModel fleet;
    fleet.acceptedWait = 1s;
    fleet.runQuietly(200, 2s);
    fleet.runPeaks(200, 0, 4);
    for (const auto &turn : fleet.runPeaks(200, 4, 8))
        CHECK(turn.inTime >= 0.9);
}
