#include <Kernel/Jobs/CallLimiter.h>
#include <catch2/catch.hpp>
#include <vector>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

constexpr Duration expected = 100ms;

/// Sends as many calls as the limiter allows. Returns their numbers.
std::vector<IssuedCall> sendAll(CallLimiter &limiter, TimePoint now)
{
    std::vector<IssuedCall> calls;
    while (limiter.mayCall(now))
        calls.push_back(limiter.begin(now, expected));
    return calls;
}

/// Answers rounds of calls that each take \a duration, all at the same time.
void answerRounds(CallLimiter &limiter, TimePoint &now, unsigned rounds, Duration duration)
{
    for (unsigned round = 0; round < rounds; ++round) {
        const auto calls = sendAll(limiter, now);
        now += duration;
        for (const IssuedCall &call : calls)
            limiter.end(now, call.number, CallEnd::Answered);
    }
}

} // namespace

TEST_CASE("The calls in flight follow how a server handles them")
{
    CallLimiter limiter;
    TimePoint now(1h);
    REQUIRE(sendAll(limiter, now).size() == 2);
    SECTION("a server that handles them in turn gets few")
    {
        for (std::uint64_t number = 1; number < 100; ++number) {
            now += expected;
            limiter.end(now, number, CallEnd::Answered);
            sendAll(limiter, now);
            CHECK(limiter.inFlight() >= 1);
            CHECK(limiter.inFlight() <= 4);
        }
    }
    SECTION("a server that handles them at the same time gets more")
    {
        now += expected;
        limiter.end(now, 1, CallEnd::Answered);
        limiter.end(now, 2, CallEnd::Answered);
        answerRounds(limiter, now, 10, expected);
        CHECK(limiter.limit() >= 20);
        SECTION("fewer again once it handles them in turn")
        {
            for (unsigned round = 0; round < 3; ++round) {
                for (const IssuedCall &call : sendAll(limiter, now)) {
                    now += expected;
                    limiter.end(now, call.number, CallEnd::Answered);
                }
            }
            CHECK(limiter.limit() <= 4);
        }
    }
}

TEST_CASE("A call is not given up before its turn")
{
    CallLimiter limiter;
    TimePoint now(1h);
    SECTION("the timeout covers the calls before it")
    {
        limiter.begin(now, 4s);
        CHECK(limiter.begin(now, 4s).timeout >= 8s);
    }
    SECTION("it follows the time that answers take")
    {
        const IssuedCall first = limiter.begin(now, expected);
        limiter.end(now + 2900ms, first.number, CallEnd::Answered);
        CHECK(limiter.begin(now + 3s, expected).timeout > 5s);
    }
    SECTION("calls without an answer are followed by single ones with longer timeouts")
    {
        Duration timeout{0};
        for (unsigned failure = 0; failure < 4; ++failure) {
            const auto calls = sendAll(limiter, now);
            REQUIRE_FALSE(calls.empty());
            CHECK((failure == 0 || calls.size() == 1));
            CHECK(calls.front().timeout > timeout);
            timeout = calls.front().timeout;
            now += timeout;
            for (const IssuedCall &call : calls)
                limiter.end(now, call.number, CallEnd::NoAnswer);
            CHECK_FALSE(limiter.mayCall(now));
            now += 2s;
        }
        CHECK(limiter.isFailing());
        SECTION("until one is answered")
        {
            limiter.end(now + 1s, limiter.begin(now, expected).number, CallEnd::Answered);
            CHECK_FALSE(limiter.isFailing());
            CHECK(sendAll(limiter, now + 1s).size() == 2);
        }
    }
}

TEST_CASE("A server that refuses calls gets fewer after a pause")
{
    CallLimiter limiter;
    TimePoint now(1h);
    answerRounds(limiter, now, 10, expected);
    const std::size_t before = limiter.limit();
    const auto calls = sendAll(limiter, now);
    SECTION("those that were sent together count once")
    {
        for (const IssuedCall &call : calls)
            limiter.end(now, call.number, CallEnd::Refused);
        CHECK(limiter.limit() == before / 2);
        CHECK_FALSE(limiter.mayCall(now));
        CHECK(limiter.mayCall(now + 100ms));
    }
    SECTION("a call that alone was lost does not count, because a later one was answered")
    {
        limiter.end(now + expected, calls.back().number, CallEnd::Answered);
        const IssuedCall later = limiter.begin(now + expected, expected);
        limiter.end(now + 2 * expected, later.number, CallEnd::Answered);
        limiter.end(now + 3s, calls.front().number, CallEnd::NoAnswer);
        CHECK(limiter.limit() >= before);
        CHECK_FALSE(limiter.isFailing());
    }
}
