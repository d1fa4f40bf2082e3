#include <Kernel/Jobs/LeaseTakeoverPolicy.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

TEST_CASE("A slow host acquires a free lease only when no fast host does")
{
    // Guards against a scheduler on a slow host whose processor is too small for the fleet.
    const TimePoint now{1h};
    LeaseTakeoverPolicy fast(0.5, 1s);
    LeaseTakeoverPolicy slow(0.12, 1s);

    SECTION("a fast host may acquire it immediately, and a slow one must wait")
    {
        fast.observe(now, true, 0.5);
        slow.observe(now, true, 0.5);
        REQUIRE(fast.mayAcquire(now));
        REQUIRE_FALSE(slow.mayAcquire(now));
        SECTION("the slow host may acquire it after it stayed free for the delay")
        {
            slow.observe(now + 500ms, true, 0.5);
            REQUIRE_FALSE(slow.mayAcquire(now + 500ms));
            slow.observe(now + 1s, true, 0.5);
            REQUIRE(slow.mayAcquire(now + 1s));
        }
        SECTION("the wait starts again when the lease was held in between")
        {
            slow.observe(now + 500ms, false, 0.5);
            slow.observe(now + 1s, true, 0.5);
            REQUIRE_FALSE(slow.mayAcquire(now + 1s));
        }
    }
    SECTION("hosts of similar capacity do not wait for each other")
    {
        LeaseTakeoverPolicy similar(0.45, 1s);
        similar.observe(now, true, 0.5);
        REQUIRE(similar.mayAcquire(now));
    }
    SECTION("while the fastest host is unknown, each host waits and counts itself as the fastest")
    {
        slow.observe(now, true, std::nullopt);
        REQUIRE_FALSE(slow.mayAcquire(now));
        REQUIRE(slow.isFastest());
        slow.observe(now, true, 0.5);
        REQUIRE_FALSE(slow.isFastest());
    }
    SECTION("a host must not acquire the lease before it has observed it")
    {
        REQUIRE_FALSE(fast.mayAcquire(now));
    }
}
