#include "SchedulerFixture.h"

#include <Kernel/Jobs/TakeoverLeases.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/core.h>
#include <map>
#include <utility>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

class TakeoverFixture
{
public:
    TakeoverFixture()
        : leases(7, 6s, 10s,
                 {[this](const PollOrder &order) { polls.push_back(order); },
                  [this] {
                      fenced = true;
                  }})
    {
    }

    static WorkerDescription worker(const std::string &id)
    {
        WorkerDescription description;
        description.id = id;
        description.startedAt = 1000;
        return description;
    }
    /// Answers all polls that were sent.
    void answer(OrderOutcome outcome, bool hasRuns)
    {
        for (const PollOrder &order : std::exchange(polls, {})) {
            PollReply reply{outcome, WorkerClock{500}, 1000, {}, {}};
            if (hasRuns)
                reply.active = {{{{"job", 0, 0, 0}, 1}, {}, 100, {}}};
            leases.pollFinished(now, order, reply);
        }
    }

    TimePoint now{std::chrono::hours(1)};
    std::vector<PollOrder> polls;
    bool fenced = false;
    TakeoverLeases leases;
};

} // namespace

TEST_CASE("The leases of workers are extended before the rows of the jobs are loaded")
{
    // Guards against leases that expire while a new scheduler reads many rows (LOST).
    TakeoverFixture fixture;
    fixture.leases.setWorkers({TakeoverFixture::worker("w")});
    fixture.leases.sendDuePolls(fixture.now);
    REQUIRE(fixture.polls.size() == 1);
    CHECK(fixture.polls.front().fencingEpoch == 7);
    CHECK(fixture.polls.front().acknowledgedEnds == 0);
    CHECK_FALSE(fixture.polls.front().leaseEnd); // the clock of the worker is not known yet

    SECTION("of a worker that runs something, again and again")
    {
        fixture.answer(OrderOutcome::Accepted, true);
        REQUIRE(fixture.polls.size() == 1);
        CHECK(fixture.polls.front().leaseEnd == WorkerClock{6500});
        fixture.answer(OrderOutcome::Accepted, true);
        CHECK(fixture.polls.empty());
        fixture.now += 1500ms;
        fixture.leases.sendDuePolls(fixture.now);
        REQUIRE(fixture.polls.size() == 1);
        CHECK(fixture.polls.front().leaseEnd == WorkerClock{8000});
    }
    SECTION("not of an idle worker")
    {
        fixture.answer(OrderOutcome::Accepted, false);
        fixture.now += 10s;
        fixture.leases.sendDuePolls(fixture.now);
        CHECK(fixture.polls.empty());
        CHECK(fixture.leases.answered() == 1);
    }
    SECTION("of a worker whose first poll was lost")
    {
        fixture.answer(OrderOutcome::Unknown, false);
        fixture.now += 300ms;
        fixture.leases.sendDuePolls(fixture.now);
        CHECK(fixture.polls.size() == 1);
    }
    SECTION("not by a scheduler that another one has succeeded")
    {
        fixture.answer(OrderOutcome::Fenced, false);
        CHECK(fixture.fenced);
    }
}

TEST_CASE("A takeover reaches all workers although few polls are in flight at the same time")
{
    TakeoverFixture fixture;
    std::vector<WorkerDescription> workers;
    for (unsigned number = 0; number < 350; ++number)
        workers.push_back(TakeoverFixture::worker(fmt::format("w{}", number)));
    fixture.leases.setWorkers(workers);
    fixture.leases.sendDuePolls(fixture.now);
    CHECK(fixture.polls.size() < 100);
    while (!fixture.polls.empty())
        fixture.answer(OrderOutcome::Accepted, false);
    CHECK(fixture.leases.answered() == 350);
}

TEST_CASE("A takeover leaves no worker out although the others answer slowly")
{
    // Guards against polls that always begin with the same workers: the leases of the others
    // expire.
    TakeoverFixture fixture;
    std::vector<WorkerDescription> workers;
    for (unsigned number = 0; number < 350; ++number)
        workers.push_back(TakeoverFixture::worker(fmt::format("w{}", number)));
    fixture.leases.setWorkers(workers);
    std::map<std::string, unsigned> extensions;
    for (unsigned round = 0; round < 20; ++round) {
        fixture.leases.sendDuePolls(fixture.now);
        for (const PollOrder &order : fixture.polls)
            extensions[order.worker] += order.leaseEnd ? 1 : 0;
        fixture.now += 250ms;
        fixture.answer(OrderOutcome::Accepted, true);
        // What the answers have sent counts as well.
        for (const PollOrder &order : fixture.polls)
            extensions[order.worker] += order.leaseEnd ? 1 : 0;
        fixture.now += 250ms;
        fixture.answer(OrderOutcome::Accepted, true);
    }
    CHECK(extensions.size() == 350);
    CHECK(std::all_of(extensions.begin(), extensions.end(),
                      [](const auto &entry) { return entry.second > 0; }));
}

TEST_CASE("A scheduler that begins extends leases with its first polls")
{
    // Guards against leases that expire while a new scheduler learns the clocks of the workers once
    // more (LOST).
    TakeoverFixture takeover;
    takeover.leases.setWorkers({TakeoverFixture::worker("w")});
    takeover.leases.sendDuePolls(takeover.now);
    takeover.answer(OrderOutcome::Accepted, true);

    Test::SchedulerFixture fixture;
    const auto firstPoll = [&](std::int64_t startedAt) {
        fixture.scheduler.setWorkers(fixture.now, {Test::SchedulerFixture::worker("w", startedAt)});
        takeover.leases.forEachWorker(
            [&](const Worker &worker) { fixture.scheduler.takeClock(worker); });
        fixture.scheduler.sendDuePolls(fixture.now);
        REQUIRE(fixture.polls.size() == 1);
        return fixture.polls.front();
    };
    SECTION("when it knows the clock from the polls of the takeover")
    {
        CHECK(firstPoll(1000).leaseEnd == WorkerClock{6500});
    }
    SECTION("but not of a worker that has started again since")
    {
        CHECK_FALSE(firstPoll(2000).leaseEnd);
    }
}
