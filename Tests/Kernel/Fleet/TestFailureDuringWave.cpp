#include <FleetFake/FleetDriver.h>
#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace Peridot;

namespace {

constexpr auto passInterval = std::chrono::milliseconds(250);
constexpr auto settleTime = std::chrono::seconds(10);

// Longer than a reboot, so that the wave's reboots under way have ended when the host recovers, and
// the failed host and the permits together fit into the availability budget.
constexpr auto hostOutage = std::chrono::seconds(90);
constexpr auto waveTimeout = std::chrono::minutes(30);

/// Simulates a wave over a pool of eight hosts in two racks, with a task on each host.
class WaveSimulation
{
public:
    WaveSimulation()
        : m_manifest(std::make_shared<Manifest>(makeManifest(poolOptions()))), m_fleet(*m_manifest),
          m_driver("test", m_table, m_fleet, FleetDriver::standardReconcilers()),
          m_now(TimePoint(std::chrono::hours(1000)))
    {
        const auto size = m_manifest->hosts.front().capacity;
        for (unsigned index = 0; index < m_manifest->hosts.size(); ++index)
            m_manifest->jobs.push_back(makeJob(fmt::format("job-{}", index), "a", 1,
                                               {size.processors / 4, size.memoryGigabytes / 4, 0}));
        m_manifest->jobs.back().tasks = 2;
        m_manifest->maintenance.generation = 1;
        m_driver.setManifest(m_manifest, 1);
        m_driver.acquireLeases(m_now);
        runFor(settleTime);
        const OperatorCommand command{"start", "test", "wave", m_now};
        m_driver.commit(planWaveCommand(m_driver.view(), "a", WaveCommand::Start, command).value(),
                        m_now);
        runFor(std::chrono::seconds(1));
    }

    void tick()
    {
        m_now += passInterval;
        m_fleet.advance(m_now);
        m_driver.pass(m_now);
    }

    void runFor(Duration duration)
    {
        const auto end = m_now + duration;
        while (m_now < end)
            tick();
    }

    /// Returns an active host that executes tasks and has not been maintained by the wave yet.
    std::string hostAwaitingMaintenance() const
    {
        for (const auto &[name, host] : m_driver.view().hosts()) {
            if (host.record->state == HostState::Active && host.record->generation == 0
                && !host.tasks.empty())
                return name;
        }
        return {};
    }

    HostState stateOf(const std::string &host) const
    {
        return m_driver.view().host(host)->record->state;
    }

    bool isComplete() const
    {
        const auto &ledger = *m_driver.view().pool("a")->record;
        return ledger.wave.state == WaveState::Complete && ledger.permits.empty();
    }

    FakeWorker &worker(const std::string &host) { return m_fleet.workers.at(host); }
    const FleetDriver &driver() const { return m_driver; }
    TimePoint now() const { return m_now; }

private:
    static FixtureOptions poolOptions()
    {
        FixtureOptions options;
        options.pools = {"a"};
        return options;
    }

    std::shared_ptr<Manifest> m_manifest;
    FakeTable m_table;
    FakeFleet m_fleet;
    FleetDriver m_driver;
    TimePoint m_now;
};

} // namespace

TEST_CASE("A host that failed during a wave", "[wave]")
{
    WaveSimulation simulation;
    const auto host = simulation.hostAwaitingMaintenance();
    REQUIRE_FALSE(host.empty());

    // Guards against a host that returns before its maintenance, which could happen because the
    // rows of its lost tasks are released only a few passes after the host is reachable again. It
    // would need a permit for a drain later, and new tasks placed on it would move twice.
    SECTION("is maintained before it returns when its tasks were lost")
    {
        simulation.worker(host).fail(simulation.now());
        simulation.runFor(hostOutage);
        REQUIRE(simulation.stateOf(host) == HostState::Failed);
        simulation.worker(host).recover();
        std::vector<HostState> states;
        while (simulation.stateOf(host) != HostState::Active) {
            simulation.tick();
            if (states.empty() || states.back() != simulation.stateOf(host))
                states.push_back(simulation.stateOf(host));
        }
        CHECK(states
              == std::vector<HostState>{HostState::Failed, HostState::Rebooting,
                                        HostState::Returning, HostState::Active});
        CHECK(simulation.driver().view().host(host)->record->generation == 1);
        CHECK(simulation.worker(host).commandedReboots() == 1);
    }
    // Guards against a reboot that interrupts tasks, and against a host that never returns.
    SECTION("returns before its maintenance when it was only unreachable and still executes tasks")
    {
        simulation.worker(host).isolate(true);
        simulation.runFor(hostOutage);
        REQUIRE(simulation.stateOf(host) == HostState::Failed);
        simulation.worker(host).isolate(false);
        const auto limit = simulation.now() + waveTimeout;
        while (!simulation.isComplete() && simulation.now() < limit)
            simulation.tick();
        CHECK(simulation.isComplete());
        CHECK(simulation.driver().view().host(host)->record->generation == 1);
        CHECK(simulation.worker(host).cutTasks() == 0);
    }
}
