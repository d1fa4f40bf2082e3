#include <Kernel/Jobs/PeakForecast.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

constexpr unsigned fleetHosts = 350;
constexpr double peak = 150;
constexpr double trough = 2;

/// A forecast for the pools a, b, c and d, whose loads the test sets.
class Pools
{
public:
    /// Lets the pools in \a high have their peaks, and the others the load between peaks.
    void run(Duration time, const std::string &high)
    {
        for (const TimePoint end = now + time; now < end; now += 100ms) {
            std::map<std::string, double> loads;
            for (const char pool : std::string("abcd"))
                loads[std::string(1, pool)] = high.find(pool) != std::string::npos ? peak : trough;
            forecast.observe(now, loads, fleetHosts);
        }
    }

    /// The pools with expected peaks.
    std::string expected() const
    {
        std::string pools;
        for (const auto &[pool, hosts] : forecast.expectedHosts(now)) {
            if (hosts > trough)
                pools += pool;
        }
        return pools;
    }

    unsigned events(std::string_view kind) const
    {
        return static_cast<unsigned>(
            std::count(m_events.begin(), m_events.end(), std::string(kind)));
    }

    TimePoint now{std::chrono::hours(1)};
    std::vector<std::string> m_events;
    PeakForecast forecast{[this](std::string_view kind, const std::string &) {
        m_events.emplace_back(kind);
    }};
};

} // namespace

TEST_CASE("Peaks that follow each other are expected from the second round on")
{
    Pools pools;
    pools.run(2s, "");
    pools.run(4s, "a");
    CHECK(pools.expected().empty()); // one peak tells nothing of the next one
    SECTION("when the order is known in part, the pools without a peak share the hosts")
    {
        pools.run(2500ms, "b");
        CHECK(pools.expected() == "cd");
        CHECK(pools.forecast.expectedHosts(pools.now).at("c") == 75);
        return;
    }
    pools.run(4s, "b");
    pools.run(4s, "c");
    pools.run(4s, "d");
    pools.run(1500ms, "a");
    CHECK(pools.expected().empty()); // too early for b
    pools.run(1s, "a");
    CHECK(pools.expected() == "b");
    CHECK(pools.forecast.expectedHosts(pools.now).at("b") == 150);
    CHECK(pools.events("peak-missed") == 0);
    SECTION("a peak that comes later is still expected for a while")
    {
        pools.run(2500ms, "a");
        CHECK(pools.expected() == "b");
        pools.run(500ms, "b");
        CHECK(pools.expected() == "b"); // until the load shows the need
        pools.run(1s, "b");
        CHECK(pools.expected().empty());
    }
    SECTION("a peak that does not come is expected for a second only, and not in the next round")
    {
        pools.run(5s, "");
        CHECK(pools.expected().empty());
        CHECK(pools.events("peak-missed") == 1);
        pools.run(4s, "c");
        pools.run(4s, "d");
        pools.run(3s, "a");
        CHECK(pools.expected().empty());
    }
    SECTION("a new order is trusted when it has been seen twice")
    {
        pools.run(1500ms, "a");
        for (const bool isTrusted : {false, true}) {
            pools.run(4s, "d");
            pools.run(4s, "b");
            pools.run(4s, "c");
            pools.run(2500ms, "a");
            CHECK(pools.expected() == (isTrusted ? "d" : ""));
            pools.run(1500ms, "a");
        }
    }
    SECTION("a successor knows them")
    {
        const auto plain = [](TimePoint time) {
            return toUnixMilliseconds(time);
        };
        const std::string row = encodePeakHistory(pools.forecast.history(), plain);
        Pools successor;
        successor.now = pools.now;
        successor.forecast.restore(
            pools.now, valueOrElse([&] { return parsePeakHistory(row, fromUnixMilliseconds); },
                                   [](const Error &) { return PeakHistory{}; }));
        CHECK(successor.forecast.history() == pools.forecast.history());
        CHECK(successor.expected() == "b");
        successor.run(1500ms, "a"); // the rate of arrivals is not known at first
        successor.run(2500ms, "b");
        CHECK(successor.expected() == "c");
        CHECK(successor.events("peak-missed") == 0);
    }
}

TEST_CASE("A single pool with a period expects its peaks")
{
    Pools pools;
    pools.run(5s, "");
    for (int round = 0; round < 2; ++round) {
        pools.run(4s, "a");
        pools.run(13s, "");
    }
    CHECK(pools.expected() == "a");
}

TEST_CASE("A load that is no peak leads to no expectation")
{
    // Guards against hosts that move for the chance of few arrivals, or for a load that has grown.
    Pools pools;
    SECTION("a load that stays high")
    {
        pools.run(5s, "");
        pools.run(60s, "ab");
        CHECK(pools.events("peak-begun") == 2);
        CHECK(pools.expected().empty());
    }
    SECTION("a short pause within a peak")
    {
        pools.run(5s, "");
        pools.run(2s, "a");
        pools.run(500ms, "");
        pools.run(2s, "a");
        CHECK(pools.events("peak-begun") == 1);
    }
    SECTION("a few hosts more or less")
    {
        std::map<std::string, double> loads;
        for (int pass = 0; pass < 600; ++pass) {
            for (const char pool : std::string("abcd"))
                loads[std::string(1, pool)] = (pass / 10 + pool) % 5 == 0 ? 13 : trough;
            pools.forecast.observe(pools.now += 100ms, loads, fleetHosts);
            CHECK(pools.expected().empty());
        }
        CHECK(pools.events("peak-begun") == 0);
    }
}
