#include <LibStore/StorePacer.h>

#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

// Writes granted while the caller asks every millisecond.
unsigned grantedWrites(StorePacer &pacer, TimePoint from, Duration length)
{
    unsigned granted = 0;
    for (TimePoint now = from; now < from + length; now += 1ms)
        granted += pacer.tryWrite(now) ? 1 : 0;
    return granted;
}

} // namespace

TEST_CASE("Seven processes together stay within the limit of the store")
{
    // An overrun makes the store refuse calls of all processes.
    unsigned granted = 0;
    for (std::uint64_t seed = 0; seed < 7; ++seed) {
        StorePacer pacer({}, seed);
        pacer.setProcesses(TimePoint(0s), 7);
        granted += grantedWrites(pacer, TimePoint(0s), 10s);
    }
    const unsigned burst = 30;
    REQUIRE(granted <= 3000 + burst);
    REQUIRE(granted >= 2900);
}

TEST_CASE("A token bucket")
{
    TokenBucket bucket(10, 5);
    SECTION("grants the burst, then the rate")
    {
        for (int index = 0; index < 5; ++index)
            REQUIRE(bucket.tryTake(TimePoint(1s)));
        REQUIRE_FALSE(bucket.tryTake(TimePoint(1s)));
        REQUIRE_FALSE(bucket.tryTake(TimePoint(1099ms)));
        REQUIRE(bucket.tryTake(TimePoint(1100ms)));
    }
    SECTION("grants a token at the time that it names, so that a waiting caller does not spin")
    {
        REQUIRE(bucket.tryTake(TimePoint(1s), 5));
        const Duration wait = bucket.timeUntil(TimePoint(1s), 3);
        REQUIRE(wait > 299ms);
        REQUIRE(bucket.tryTake(TimePoint(1s) + wait, 3));
    }
    SECTION("grants a call larger than the burst once it is full and then makes up for it")
    {
        REQUIRE(bucket.tryTake(TimePoint(1s), 15));
        REQUIRE_FALSE(bucket.tryTake(TimePoint(2s)));
        REQUIRE(bucket.tryTake(TimePoint(2100ms)));
    }
    SECTION("gives no token twice to callers whose times differ slightly")
    {
        REQUIRE(bucket.tryTake(TimePoint(2s), 5));
        REQUIRE_FALSE(bucket.tryTake(TimePoint(1900ms)));
        REQUIRE_FALSE(bucket.tryTake(TimePoint(2s)));
    }
    SECTION("does not stop when the clock is set back")
    {
        REQUIRE(bucket.tryTake(TimePoint(2h), 5));
        REQUIRE_FALSE(bucket.tryTake(TimePoint(1h)));
        REQUIRE(bucket.tryTake(TimePoint(1h) + 100ms));
    }
}

TEST_CASE("Failures of the store pause all calls of the process")
{
    StorePacer pacer({}, 1);
    SECTION("reads and writes wait for the end of the backoff")
    {
        pacer.failed(TimePoint(1s));
        REQUIRE(pacer.pausedUntil() >= TimePoint(1s) + 20ms);
        REQUIRE_FALSE(pacer.tryWrite(TimePoint(1s)));
        REQUIRE_FALSE(pacer.tryRead(TimePoint(1s)));
        REQUIRE(pacer.timeUntilRead(TimePoint(1s)) == pacer.pausedUntil() - TimePoint(1s));
        REQUIRE(pacer.tryRead(pacer.pausedUntil()));
    }
    SECTION("calls that fail together lengthen the pause once")
    {
        pacer.failed(TimePoint(1s));
        const TimePoint end = pacer.pausedUntil();
        pacer.failed(TimePoint(1s));
        REQUIRE(pacer.pausedUntil() == end);
    }
    SECTION("the pause stays within base and limit, varies, and ends with a success")
    {
        TimePoint now(1s);
        Duration longest{0};
        for (int index = 0; index < 200; ++index) {
            pacer.failed(now);
            const Duration pause = pacer.pausedUntil() - now;
            REQUIRE(pause >= 20ms);
            REQUIRE(pause <= 2s);
            longest = std::max(longest, pause);
            now = pacer.pausedUntil();
        }
        REQUIRE(longest > 1s);
        pacer.succeeded();
        pacer.failed(now);
        REQUIRE(pacer.pausedUntil() - now <= 60ms);
    }
    SECTION("two processes do not retry in step, which would keep the store overloaded")
    {
        StorePacer other({}, 2);
        pacer.failed(TimePoint(1s));
        other.failed(TimePoint(1s));
        REQUIRE(pacer.pausedUntil() != other.pausedUntil());
    }
    SECTION("a clock that is set back does not prolong the pause")
    {
        pacer.failed(TimePoint(1h));
        REQUIRE(pacer.tryRead(TimePoint(1s)));
    }
    SECTION("a retry takes a token like a first attempt")
    {
        StorePacer slow({1, 1, 1s, {}}, 1);
        REQUIRE(slow.tryWrite(TimePoint(1s)));
        slow.failed(TimePoint(1s));
        REQUIRE_FALSE(slow.tryWrite(slow.pausedUntil()));
        REQUIRE(slow.tryWrite(TimePoint(2s)));
    }
}
