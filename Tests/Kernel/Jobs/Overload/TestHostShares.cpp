// Hosts for pools whose peaks overlap.

#include <Kernel/Jobs/HostShares.h>
#include <Kernel/Jobs/PoolDemand.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;

TEST_CASE("Pools get what they need when there are enough hosts")
{
    const auto shares = shareHosts({{"a", {10, 30}}, {"b", {20, 20}}}, 50);
    CHECK(shares.at("a") == 30);
    CHECK(shares.at("b") == 20);
}

TEST_CASE("A pool with a backlog of late jobs leaves hosts to one whose jobs can be in time")
{
    // Guards against hosts that work on late jobs while jobs of another pool become late.
    const auto shares = shareHosts({{"backlog", {40, 700}}, {"peak", {110, 110}}}, 300);
    CHECK(shares.at("peak") == 110);
    CHECK(shares.at("backlog") == 190);
    SECTION("and the smaller need is met first when not even all of these can be met")
    {
        const auto scarce = shareHosts({{"large", {700, 700}}, {"small", {60, 90}}}, 300);
        CHECK(scarce.at("small") == 60);
        CHECK(scarce.at("large") == 240);
    }
    SECTION("and an expected peak takes hosts from late jobs, but not from those in time")
    {
        const auto ahead = shareHosts(
            {{"backlog", {40, 700}}, {"peak", {110, 110}}, {"next", {2, 2, 200}}}, 300);
        CHECK(ahead.at("peak") == 110);
        CHECK(ahead.at("next") == 150);
        CHECK(ahead.at("backlog") == 40);
    }
    SECTION("and no pool is left without hosts")
    {
        // Guards against late jobs that wait as long as others ask for all hosts.
        const auto late = shareHosts({{"late", {0, 20}}, {"peak", {500, 500}}}, 300);
        CHECK(late.at("late") == 1);
        CHECK(late.at("peak") == 299);
        const auto equal = shareHosts({{"a", {500, 500}}, {"b", {400, 400}}, {"c", {0, 0}}}, 301);
        CHECK(equal.at("a") + equal.at("b") == 301);
        CHECK(equal.at("b") == 150);
    }
}

TEST_CASE("A pool that has left the configuration takes no share of the hosts")
{
    PoolDemand demand;
    PoolLoad load;
    load.waitingMilliProcessorSeconds = 1e6;
    const TimePoint now{std::chrono::hours(1)};
    for (const char *pool : {"kept", "removed"})
        demand.observe(now, pool, load, {32'000, 100'000, 0});
    demand.share(10);
    CHECK(demand.neededHosts("kept") == 5);
    demand.observe(now + std::chrono::seconds(1), "kept", load, {32'000, 100'000, 0});
    demand.share(10);
    CHECK(demand.neededHosts("kept") == 10);
}
