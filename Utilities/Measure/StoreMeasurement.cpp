#include "ClaimLoad.h"
#include "Measurement.h"

#include <FleetFake/FleetDriver.h>
#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <VirtualMembers/VirtualMembers.h>
#include <algorithm>
#include <cstdio>

namespace Peridot {

namespace {

constexpr std::size_t poolCount = 5;
constexpr Duration settlingTime = std::chrono::seconds(30);
constexpr Duration measuredTime = std::chrono::seconds(60);
constexpr Duration waveLimit = std::chrono::hours(2);
constexpr Duration planPeriod = std::chrono::milliseconds(500);

/// Reads a second of one planner: a full scan of six prefixes every 5 s, and a scan of two prefixes
/// in each of the other seconds (see Services/Fleet/FleetPlanner.h).
constexpr double plannerReads = (6 + 4 * 2) / 5.0;

void printMembership(const char *state, VirtualMembers &members)
{
    double reads = 0;
    double writes = 0;
    double mostWrites = 0;
    for (const auto &member : members.members()) {
        const double own = static_cast<double>(member.writes) / toSeconds(measuredTime);
        reads += static_cast<double>(member.reads) / toSeconds(measuredTime);
        writes += own;
        mostWrites = std::max(mostWrites, own);
    }
    const auto count = static_cast<double>(members.members().size());
    std::printf("measure=store part=membership state=%s processes=%zu pools=%zu "
                "reads_per_s_per_process=%.2f writes_per_s_per_process=%.2f "
                "writes_per_s_most=%.2f reads_per_s_all=%.1f writes_per_s_all=%.1f\n",
                state, members.members().size(), poolCount, reads / count, writes / count,
                mostWrites, reads, writes);
}

void resetCounters(VirtualMembers &members)
{
    for (auto &member : members.members())
        member.reads = member.writes = 0;
}

void measureMembership()
{
    VirtualMembersSettings settings;
    settings.seed = 20261204;
    settings.tick = std::chrono::milliseconds(50);
    VirtualMembers members(settings);
    std::vector<std::string> pools;
    for (std::size_t pool = 0; pool < poolCount; ++pool)
        pools.push_back("pool-" + std::to_string(pool));
    for (std::size_t index = 0; index < settings.fleetMembers; ++index)
        members.members()[members.fleetIndex(index)].node->setSharedLeases(pools);
    members.run(settlingTime);
    resetCounters(members);
    members.run(measuredTime);
    printMembership("rest", members);

    // One configuration change every 9 s is 9,600 a day.
    resetCounters(members);
    for (int round = 0; round < 6; ++round) {
        auto *holder = members.holderOf(configurationLeaseName);
        if (holder != nullptr)
            holder->node->propose(
                {1, "operator", "", holder->node->configuration().head().version});
        members.run(std::chrono::seconds(10));
    }
    printMembership("configuration-changes", members);
}

/// One wave over 50 hosts, planned by one process that holds all pools.
void measureWave()
{
    FixtureOptions options;
    options.pools = {"intake", "premises", "renewals", "treasury", "notices"};
    options.sparePool = "notices";
    options.hosts = 50;
    Manifest manifest = makeManifest(options);
    manifest.maintenance.generation = 1;
    for (const auto &pool : options.pools)
        manifest.jobs.push_back(makeJob("job-" + pool, pool, 5, {1, 4, 0}));
    FakeTable table;
    FakeFleet fleet(manifest);
    FleetDriver driver("fleet-1", table, fleet, FleetDriver::standardReconcilers());
    driver.setManifest(std::make_shared<const Manifest>(manifest), 1);
    TimePoint now(std::chrono::seconds(1'700'000'000));
    const auto passUntil = [&](TimePoint end, const auto &done) {
        for (; now < end && !done(); now += planPeriod) {
            fleet.advance(now);
            driver.pass(now);
        }
    };
    driver.acquireLeases(now);
    passUntil(now + settlingTime, [] { return false; });
    driver.acquireLeases(now);
    const std::uint64_t beforeRest = table.commits();
    passUntil(now + measuredTime, [] { return false; });
    const double restWrites
        = static_cast<double>(table.commits() - beforeRest) / toSeconds(measuredTime);
    for (const auto &pool : options.pools) {
        const auto transaction = planWaveCommand(driver.view(), pool, WaveCommand::Start,
                                                 {"wave-" + pool, "operator", "measure", now});
        driver.commit(transaction.value(), now);
    }
    const TimePoint start = now;
    const std::uint64_t beforeWave = table.commits();
    std::uint64_t most = 0;
    std::uint64_t last = beforeWave;
    const auto complete = [&] {
        most = std::max(most, table.commits() - last);
        last = table.commits();
        return std::all_of(options.pools.begin(), options.pools.end(), [&](const auto &pool) {
            return driver.view().pool(pool)->record->wave.state == WaveState::Complete;
        });
    };
    passUntil(start + waveLimit, complete);
    const double seconds = toSeconds(now - start);
    std::printf("measure=store part=planner state=rest processes=1 hosts=50 pools=5 "
                "reads_per_s=%.2f writes_per_s=%.2f\n",
                plannerReads, restWrites);
    std::printf("measure=store part=planner state=wave processes=1 hosts=50 pools=5 complete=%s "
                "wave_s=%.0f reads_per_s=%.2f writes_per_s=%.2f writes_most_in_a_pass=%llu "
                "writes_total=%llu\n",
                complete() ? "yes" : "no", seconds, plannerReads,
                static_cast<double>(table.commits() - beforeWave) / seconds,
                static_cast<unsigned long long>(most),
                static_cast<unsigned long long>(table.commits() - beforeWave));
}

class StoreMeasurement : public Measurement
{
public:
    int run(const std::vector<std::string> &) override
    {
        measureMembership();
        measureWave();
        for (const double rate : {500.0, 1000.0, 2000.0, 4000.0, 8000.0, 12000.0, 16000.0})
            ClaimLoad(rate).run();
        return 0;
    }
};

const PluginRegistrar<MeasurementRegistry> registrar("store", [] {
    return std::make_unique<StoreMeasurement>();
});

} // namespace

} // namespace Peridot
