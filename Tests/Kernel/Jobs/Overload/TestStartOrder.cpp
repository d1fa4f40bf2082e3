// The order of starts under loads that ask for more than the pool holds.

#include "PoolModel.h"
#include <LibBase/Random.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <tuple>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

namespace {

constexpr std::int64_t poolMilliProcessors = 1'000'000;

/// Earliest deadline first; jobs whose deadline has passed come last.
void earliestDeadlineFirst(TimePoint now, Duration, std::vector<WaitingJob> &jobs)
{
    const auto rank = [now](const WaitingJob &job) {
        const Duration objective = (job.latestUsefulStart - job.latestStart) / 2;
        const TimePoint deadline = job.waitingSince + objective;
        return std::make_tuple(job.priority, now > deadline, deadline);
    };
    std::sort(jobs.begin(), jobs.end(),
              [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
}

/// A peak of \a duration that asks for \a load times the pool. The work of the jobs differs by a
/// factor of up to \a spread.
std::vector<ModelJob> peak(double load, Duration duration, int spread, std::uint64_t seed = 7)
{
    RandomSource random(seed);
    std::vector<ModelJob> jobs;
    double work = 0;
    while (work < load * toSeconds(duration) * poolMilliProcessors / 1000) {
        ModelJob job;
        job.tasks = 8 * static_cast<unsigned>(1 + random.below(static_cast<unsigned>(spread)));
        job.milliProcessors = 3000;
        job.runtime = 600ms;
        job.objective = 1560ms;
        work += job.work();
        jobs.push_back(job);
    }
    for (std::size_t index = 0; index < jobs.size(); ++index)
        jobs[index].arrivesAt = duration * static_cast<Duration::rep>(index)
                                / static_cast<Duration::rep>(jobs.size());
    return jobs;
}

std::size_t inTime(const std::vector<ModelResult> &results)
{
    return static_cast<std::size_t>(
        std::count_if(results.begin(), results.end(), [](const auto &r) { return r.isInTime; }));
}

} // namespace

TEST_CASE("A load that fits is in time, as with earliest deadline first")
{
    const auto jobs = peak(0.9, 8s, 20);
    CHECK(inTime(PoolModel(poolMilliProcessors).run(jobs, sortForStart)) == jobs.size());
}

TEST_CASE("A peak that asks for more than the pool holds")
{
    // Guards against the collapse of earliest deadline first: each job is started when it can just
    // no longer be in time.
    PoolModel pool(poolMilliProcessors);
    const auto compare = [&pool](const std::vector<ModelJob> &jobs, double factor) {
        const auto before = static_cast<double>(inTime(pool.run(jobs, earliestDeadlineFirst)));
        const auto after = static_cast<double>(inTime(pool.run(jobs, sortForStart)));
        INFO("in time " << before << " and " << after << " of " << jobs.size());
        CHECK(after >= factor * before);
    };
    SECTION("1.3 times for 4 s, by jobs whose work differs by a factor of up to 20")
    {
        compare(peak(1.3, 4s, 20), 1.5);
    }
    SECTION("1.3 times for 4 s, by equal jobs, so that none makes two others late")
    {
        compare(peak(1.3, 4s, 1), 1);
    }
    SECTION("twice for 4 s")
    {
        compare(peak(2, 4s, 1), 1.5);
        compare(peak(2, 4s, 20), 1.5);
    }
    SECTION("1.3 times while the scheduler is behind and plans five times a second")
    {
        const auto jobs = peak(1.3, 4s, 20);
        const auto before = inTime(pool.run(jobs, earliestDeadlineFirst, 200ms));
        CHECK(inTime(pool.run(jobs, sortForStart, 200ms)) >= before);
    }
    SECTION("a load that fits until the pool loses a third of its workers")
    {
        pool.setCapacityAt(1s, poolMilliProcessors * 2 / 3);
        compare(peak(0.95, 6s, 5), 1);
    }
}

TEST_CASE("Jobs of an organisation beyond its rate wait, and the others see nothing of it")
{
    auto jobs = peak(0.6, 4s, 1);
    const std::size_t others = jobs.size();
    ModelJob excess = jobs.front();
    excess.isInProfile = false;
    excess.kind = "excess";
    for (std::size_t index = 0; index < others; ++index) {
        excess.arrivesAt = jobs[index].arrivesAt;
        jobs.insert(jobs.end(), 7, excess);
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto &left, const auto &right) {
        return left.arrivesAt < right.arrivesAt;
    });
    const auto results = PoolModel(poolMilliProcessors).run(jobs, sortForStart);
    std::size_t othersInTime = 0;
    std::size_t excessInTime = 0;
    for (std::size_t index = 0; index < jobs.size(); ++index) {
        if (results[index].isInTime)
            ++(jobs[index].isInProfile ? othersInTime : excessInTime);
    }
    CHECK(othersInTime == others);
    SECTION("while the rest of the pool is lent to it")
    {
        CHECK(excessInTime >= others / 3);
    }
}

TEST_CASE("No job waits for ever while more than the pool holds is asked for")
{
    // Guards against starvation of large jobs and of those whose result is of no use any more.
    const auto jobs = peak(1.3, 60s, 20);
    const auto results = PoolModel(poolMilliProcessors).run(jobs, sortForStart);
    for (std::size_t index = 0; index < jobs.size(); ++index)
        CHECK(results[index].endedAt < jobs[index].arrivesAt + 40s);
}

TEST_CASE("A higher priority goes first, unless its result is of no use any more")
{
    const TimePoint now{std::chrono::hours(1)};
    WaitingJob urgent;
    urgent.priority = 0;
    urgent.waitingSince = now;
    urgent.latestStart = now + 2s;
    urgent.latestUsefulStart = now + 6s;
    WaitingJob ordinary = urgent;
    ordinary.priority = 1;
    ordinary.latestStart = now + 1s;
    std::vector<WaitingJob> jobs = {ordinary, urgent};
    sortForStart(now, 0s, jobs);
    CHECK(jobs.front().priority == 0);
    SECTION("also when it is late")
    {
        jobs[0].latestStart = now - 1s;
        sortForStart(now, 0s, jobs);
        CHECK(jobs.front().priority == 0);
    }
    SECTION("but not when it is of no use")
    {
        jobs[0].latestStart = now - 10s;
        jobs[0].latestUsefulStart = now - 1s;
        sortForStart(now, 0s, jobs);
        CHECK(jobs.front().priority == 1);
    }
}

TEST_CASE("Jobs of lower priority are planned after those that were put back")
{
    // Guards against jobs that count as in time although work of a higher priority starts first.
    const TimePoint now{std::chrono::hours(1)};
    const auto job = [&](unsigned priority, Duration poolTime, Duration slack) {
        WaitingJob waiting;
        waiting.priority = priority;
        waiting.waitingSince = now;
        waiting.poolTime = poolTime;
        waiting.latestStart = now + slack;
        waiting.latestUsefulStart = now + 10s;
        return waiting;
    };
    std::vector<WaitingJob> jobs
        = {job(0, 1s, 200ms), job(0, 1s, 300ms), job(1, 500ms, 1200ms), job(1, 100ms, 1800ms)};
    sortForStart(now, 0s, jobs);
    // Neither of the last two can be in time, so that the smaller one goes first.
    CHECK(jobs[2].poolTime == 100ms);
    CHECK(jobs[3].poolTime == 500ms);
}
