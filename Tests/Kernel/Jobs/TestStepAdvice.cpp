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
    REQUIRE(advice.workersToQuery(usable, now) == usable);
    advice.requestSent();
    CHECK(advice.workersToQuery(usable, now).empty());
    const AdviceRequest request{{"job", 0, 0, 0}, usable};
    SECTION("a worker that was not granted is not asked about again")
    {
        advice.requestFinished(now, request, {true, {{"w1", "ticket"}}}, 3s);
        CHECK(advice.ticket("w1", now) == "ticket");
        CHECK_FALSE(advice.ticket("w0", now));
        CHECK(advice.workersToQuery(usable, now).empty());
        SECTION("a ticket that is over is renewed")
        {
            CHECK(advice.workersToQuery(usable, now + 3s) == std::vector<std::string>{"w1"});
        }
        SECTION("a ticket that a worker rejected is renewed")
        {
            advice.ticketRejected("w1");
            CHECK(advice.workersToQuery(usable, now) == std::vector<std::string>{"w1"});
        }
    }
    SECTION("a call without an answer is repeated after a pause")
    {
        advice.requestFinished(now, request, {}, 3s);
        CHECK(advice.workersToQuery(usable, now).empty());
        CHECK(advice.workersToQuery(usable, now + 1s) == usable);
    }
}
