#include <Kernel/Jobs/StepAdvice.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

TEST_CASE("Tickets of the placement advice are used until they expire")
{
    StepAdvice advice;
    TimePoint now(1h);
    const std::vector<std::string> usable = {"w0", "w1"};
    REQUIRE(advice.workersToQuery(usable, now) == usable);
    advice.requestSent();
    CHECK(advice.workersToQuery(usable, now).empty());
    const AdviceRequest request{{"job", 0, 0, 0}, usable};
    SECTION("a worker without a ticket in the reply is not queried again")
    {
        advice.requestFinished(now, request, {CallEnd::Answered, {{"w1", "ticket"}}}, 3s);
        CHECK(advice.ticket("w1", now) == "ticket");
        CHECK_FALSE(advice.ticket("w0", now));
        CHECK(advice.workersToQuery(usable, now).empty());
        SECTION("an expired ticket is requested again")
        {
            CHECK(advice.workersToQuery(usable, now + 3s) == std::vector<std::string>{"w1"});
        }
        SECTION("a ticket that a worker rejected is requested again")
        {
            advice.ticketRejected("w1");
            CHECK(advice.workersToQuery(usable, now) == std::vector<std::string>{"w1"});
        }
    }
    SECTION("an entry that can't be read denies no worker")
    {
        // Guards against a step that never starts because of one odd entry in a list.
        AdviceReply reply{CallEnd::Answered, {{"w1", "ticket"}}};
        reply.unreadableEntries = 1;
        advice.requestFinished(now, request, reply, 3s);
        CHECK(advice.ticket("w1", now) == "ticket");
        CHECK(advice.workersToQuery(usable, now).empty());
        CHECK(advice.workersToQuery(usable, now + 2s) == std::vector<std::string>{"w0"});
    }
    SECTION("a request without an answer is repeated after a delay")
    {
        advice.requestFinished(now, request, {}, 3s);
        CHECK(advice.workersToQuery(usable, now).empty());
        CHECK(advice.workersToQuery(usable, now + 1s) == usable);
    }
}

TEST_CASE("Each worker is asked about although the advice answers slowly")
{
    // Guards against requests that name the same first workers each time.
    StepAdvice advice;
    TimePoint now(1h);
    std::vector<std::string> usable;
    for (char name = 'a'; name <= 'z'; ++name) {
        usable.push_back(std::string(1, name) + "0");
        usable.push_back(std::string(1, name) + "1");
    }
    std::set<std::string> asked;
    for (unsigned request = 0; request < 3; ++request) {
        const std::vector<std::string> workers = advice.workersToQuery(usable, now);
        asked.insert(workers.begin(), workers.end());
        advice.requestSent();
        advice.requestFinished(now, {{"job", 0, 0, 0}, workers}, {}, 3s);
        now += 1s;
    }
    CHECK(asked.size() == usable.size());
}
