#include <FleetFake/FleetDriver.h>
#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace Peridot;

namespace {

constexpr auto passInterval = std::chrono::milliseconds(250);
constexpr auto settleTime = std::chrono::seconds(10);

// Longer than a reboot, so that the failed host and the permits fit into the budget at its end.
constexpr auto outage = std::chrono::seconds(90);
constexpr auto longestWave = std::chrono::minutes(30);

/// One pool of eight hosts in two racks with a task on each, and a wave over all of them.
class WaveRun
{
public:
    WaveRun()
        : m_manifest(std::make_shared<Manifest>(makeManifest(optionsOfPool()))),
          m_fleet(*m_manifest),
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

    /// Active host with a task that the wave has not reached.
    std::string waitingHost() const
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
    static FixtureOptions optionsOfPool()
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
    WaveRun run;
    const auto host = run.waitingHost();
    REQUIRE_FALSE(host.empty());

    // Guards against returning the host because the rows of its lost tasks are released a few
    // passes after it is seen again: it would take a permit for a drain later, and new tasks placed
    // on it would move twice.
    SECTION("is maintained before it returns when it has lost its tasks")
    {
        run.worker(host).fail(run.now());
        run.runFor(outage);
        REQUIRE(run.stateOf(host) == HostState::Failed);
        run.worker(host).recover();
        std::vector<HostState> states;
        while (run.stateOf(host) != HostState::Active) {
            run.tick();
            if (states.empty() || states.back() != run.stateOf(host))
                states.push_back(run.stateOf(host));
        }
        CHECK(states
              == std::vector<HostState>{HostState::Failed, HostState::Rebooting,
                                        HostState::Returning, HostState::Active});
        CHECK(run.driver().view().host(host)->record->generation == 1);
        CHECK(run.worker(host).commandedReboots() == 1);
    }
    // Guards against a reboot that cuts tasks, and against a host that never returns.
    SECTION("returns first when it was only unreachable and still executes tasks")
    {
        run.worker(host).isolate(true);
        run.runFor(outage);
        REQUIRE(run.stateOf(host) == HostState::Failed);
        run.worker(host).isolate(false);
        const auto limit = run.now() + longestWave;
        while (!run.isComplete() && run.now() < limit)
            run.tick();
        CHECK(run.isComplete());
        CHECK(run.driver().view().host(host)->record->generation == 1);
        CHECK(run.worker(host).cutTasks() == 0);
    }
}
