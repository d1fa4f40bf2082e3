#include "../SchedulerFixture.h"
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

/// A worker that runs a long-running task, and a process that handles the answers of workers late.
class LateAnswers : public Test::SchedulerFixture
{
public:
    LateAnswers()
    {
        scheduler.setWorkers(now, {worker("w")});
        answerPoll("w");
        StepSpecification step;
        step.longRunning = true;
        submit("job", step);
        planAndCommit();
        acceptStarts();
        polls.clear();
        now += 50ms;
        answerPoll("w", 1000, running());
    }

    static std::vector<ActiveRun> running() { return {{{{"job", 0, 0, 0}, 1}, {}, 100, {}}}; }

    /// Timers run, but no answer is handled. Returns the longest time without an extension of the
    /// lease.
    Duration longestGap(Duration duration)
    {
        Duration longest{0};
        TimePoint extendedAt = now;
        const TimePoint end = now + duration;
        for (; now < end; now += 50ms) {
            polls.clear();
            scheduler.sendDuePolls(now);
            if (!polls.empty() && polls.back().leaseEnd)
                extendedAt = now;
            longest = std::max(longest, now - extendedAt);
        }
        return longest;
    }
};

} // namespace

TEST_CASE("The lease of a worker is extended although the answer to its poll waits")
{
    // Guards against leases of workers that answer, which expire while their answers wait behind
    // other work of the process (LOST).
    LateAnswers fixture;

    SECTION("for longer than the lease")
    {
        CHECK(fixture.longestGap(9s) <= 3s);
    }
    SECTION("but not after a poll that was not answered: the end of the lease is awaited")
    {
        fixture.scheduler.sendDuePolls(fixture.now);
        REQUIRE_FALSE(fixture.polls.empty());
        fixture.now += 2200ms;
        fixture.scheduler.pollFinished(fixture.now, fixture.polls.back(), PollReply{});
        CHECK(fixture.longestGap(9s) >= 8s);
    }
}
