#include <Services/Jobs/LeaseTakeoverPolicy.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

TEST_CASE("A free lease goes to a fast host, and to a slow one when there is no other")
{
    // Guards against a slow host that schedules a fleet which needs more than its processor.
    const TimePoint now{1h};
    LeaseTakeoverPolicy fast(0.5, 1s);
    LeaseTakeoverPolicy slow(0.12, 1s);

    SECTION("the fast host takes it at once, and the slow one waits")
    {
        fast.observe(now, true, 0.5);
        slow.observe(now, true, 0.5);
        REQUIRE(fast.mayAcquire(now));
        REQUIRE_FALSE(slow.mayAcquire(now));
        SECTION("the slow host takes a lease that stays free")
        {
            slow.observe(now + 500ms, true, 0.5);
            REQUIRE_FALSE(slow.mayAcquire(now + 500ms));
            slow.observe(now + 1s, true, 0.5);
            REQUIRE(slow.mayAcquire(now + 1s));
        }
        SECTION("a lease that was held meanwhile begins a new wait")
        {
            slow.observe(now + 500ms, false, 0.5);
            slow.observe(now + 1s, true, 0.5);
            REQUIRE_FALSE(slow.mayAcquire(now + 1s));
        }
    }
    SECTION("hosts of about the same speed do not wait for each other")
    {
        LeaseTakeoverPolicy similar(0.45, 1s);
        similar.observe(now, true, 0.5);
        REQUIRE(similar.mayAcquire(now));
    }
    SECTION("while no host is known, every one waits and makes itself known")
    {
        slow.observe(now, true, std::nullopt);
        REQUIRE_FALSE(slow.mayAcquire(now));
        REQUIRE(slow.isFastest());
        slow.observe(now, true, 0.5);
        REQUIRE_FALSE(slow.isFastest());
    }
    SECTION("nothing is taken before the lease was seen")
    {
        REQUIRE_FALSE(fast.mayAcquire(now));
    }
}
