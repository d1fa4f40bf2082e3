#include <Services/Jobs/StoreClock.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

TEST_CASE("The estimated time of the store is never ahead, and an answer handled late does not set "
          "it back")
{
    // Guards against an order of a host that is stored with an earlier time than it was sent at, so
    // that a successor orders the same host too soon (ONE).
    StoreClock clock;
    const TimePoint start(1h);
    CHECK(clock.at(start) == 0);
    clock.update(5000, start);
    clock.update(0, start);
    REQUIRE(clock.at(start) == 5000);
    SECTION("an answer that waited in this process")
    {
        clock.update(5010, start + 400ms);
        CHECK(clock.at(start + 400ms) >= 5399);
    }
    SECTION("a local clock that runs faster than that of the store")
    {
        for (int second = 1; second <= 3600; ++second) {
            const TimePoint now = start + second * 1000400us;
            clock.update(5000 + second * 1000, now);
            REQUIRE(clock.at(now) <= 5000 + second * 1000);
        }
        CHECK(clock.at(start + 3600 * 1000400us) >= 5000 + 3600 * 1000 - 10);
    }
}
