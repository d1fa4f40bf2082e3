#include <Kernel/Jobs/StepAdvice.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

TEST_CASE("Permissions of the placement advice are used while they last")
{
    StepAdvice advice;
    TimePoint now(1h);
    const std::vector<std::string> usable = {"w0", "w1"};
    REQUIRE(advice.toAsk(usable, now) == usable);
    advice.asked();
    CHECK(advice.toAsk(usable, now).empty());
    const AdviceRequest request{{"job", 0, 0, 0}, usable};
    SECTION("a worker that was not granted is not asked about again")
    {
        advice.finished(now, request, {true, {{"w1", "ticket"}}}, 3s);
        CHECK(advice.ticket("w1", now) == "ticket");
        CHECK_FALSE(advice.ticket("w0", now));
        CHECK(advice.toAsk(usable, now).empty());
        SECTION("a ticket that is over is renewed")
        {
            CHECK(advice.toAsk(usable, now + 3s) == std::vector<std::string>{"w1"});
        }
        SECTION("a ticket that a worker rejected is renewed")
        {
            advice.rejected("w1");
            CHECK(advice.toAsk(usable, now) == std::vector<std::string>{"w1"});
        }
    }
    SECTION("a call without an answer is repeated after a pause")
    {
        advice.finished(now, request, {}, 3s);
        CHECK(advice.toAsk(usable, now).empty());
        CHECK(advice.toAsk(usable, now + 1s) == usable);
    }
}
