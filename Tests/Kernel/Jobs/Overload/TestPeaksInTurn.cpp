#include "FleetModel.h"

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

namespace {

/// Observes a pool at which one job arrives in each \a interval for \a time. Each keeps a host busy
/// for the tenth of a second.
void observeArrivals(PoolDemand &demand, TimePoint &now, Duration interval, Duration time)
{
    for (const TimePoint end = now + time; now < end;) {
        PoolLoad load;
        for (const TimePoint next = now + 100ms; now < next;) {
            now += interval;
            load.arrivals.push_back({now, 32'000 * 0.9 / 10, 0});
        }
        demand.observe(now, "pool", load, FleetModel::hostSize);
    }
}

} // namespace

TEST_CASE("A steep rise of the arrivals shows in the demand before the window of the rate is full")
{
    // Guards against peaks that are answered in small steps: the rate was an average over 0.7 s, so
    // that it showed less than a third of a rise after 0.2 s.
    TimePoint now{std::chrono::hours(1)};
    PoolDemand demand;
    observeArrivals(demand, now, 50ms, 3s);
    CHECK(demand.neededHosts("pool") <= 3);
    observeArrivals(demand, now, 1ms, 200ms); // 100 hosts
    CHECK(demand.neededHosts("pool") >= 80);
    SECTION("and a steady load needs no more hosts than before")
    {
        observeArrivals(demand, now, 1ms, 2s);
        CHECK(demand.neededHosts("pool") <= 101);
    }
    SECTION("and few arrivals at a time are not taken for a rise")
    {
        // Two jobs at once, as chance brings them, in a load of three hosts.
        PoolDemand small;
        observeArrivals(small, now, 40ms, 3s);
        observeArrivals(small, now, 20ms, 100ms);
        observeArrivals(small, now, 40ms, 100ms);
        CHECK(small.neededHosts("pool") <= 4);
    }
}

TEST_CASE("A first peak gets its hosts as soon as they can move")
{
    // A move takes 1.5 s, and the list that shows it is 0.3 s apart from the one before; the rest
    // is for two planning passes, the first poll and the observation of the load.
    FleetModel fleet;
    fleet.runQuietly(150, 2s);
    for (const FleetModel::Turn &turn : fleet.runPeaks(150, 0, 4))
        CHECK(turn.hostsUpAfter <= 2500ms);
}

TEST_CASE("Peaks of the second round find their hosts in place")
{
    // Guards against peaks whose first two seconds are late each time, although the order of the
    // queues is fixed. The hosts of the fleet are not enough for two peaks of 200 hosts.
    struct Load
    {
        unsigned hosts;
        double hostSecondsBefore; ///< of this model without a forecast
        Duration longestWait; ///< for nine tenths of the hosts
        double inTime;
    };
    const auto load = GENERATE(Load{75, 8349, 500ms, 0.99}, Load{150, 15270, 2s, 0.99},
                               Load{200, 18262, 3s, 0.95});
    FleetModel fleet;
    fleet.runQuietly(load.hosts, 2s);
    double hostSeconds = 0;
    double inTime = 0;
    for (const auto &turn : fleet.runPeaks(load.hosts, 0, 4))
        hostSeconds += turn.hostSeconds;
    for (const auto &turn : fleet.runPeaks(load.hosts, 4, 8)) {
        CHECK(turn.hostsUpAfter <= load.longestWait);
        hostSeconds += turn.hostSeconds;
        inTime += turn.inTime / 8;
    }
    CHECK(inTime >= load.inTime);
    CHECK(hostSeconds <= load.hostSecondsBefore * 1.1);
    CHECK(fleet.events["peak-missed"] == 0);
}
