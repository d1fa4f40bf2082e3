#include <FleetFake/FleetDriver.h>
#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <numeric>

using namespace Peridot;

namespace {

constexpr unsigned tasksPerPool = 200;
constexpr double maximumBufferRatio = 1.1; // Largest buffer as a multiple of its lower bound.

// Ratio of used to declared resources. The reservations shrink to 0.95 of the declared size at the
// third usage sample, which leaves a small fraction of each host free.
constexpr double usageRatio = 0.75;

// Long enough for the placement to settle, and too short for usage samples to change reservations.
// The passes are short because each one commits one transaction of bounded size per pool.
constexpr auto settleDuration = std::chrono::seconds(8);
constexpr auto settleInterval = std::chrono::milliseconds(100);

// Includes the time until the task leases end: tasks of failed hosts start elsewhere only then,
// because nothing else proves that they stopped.
constexpr auto recoveryDuration = std::chrono::minutes(6);
constexpr auto failureInterval = std::chrono::seconds(1);

FixtureOptions fixtureOptions(const Resources &capacity, unsigned dataCentres)
{
    FixtureOptions options;
    options.pools = {"a", "b", "c", "d", "spare"};
    options.sparePool = "spare";
    options.hosts = 50;
    options.dataCentres = dataCentres;
    options.capacity = capacity;
    options.nameSeed = 11;
    return options;
}

/// Fleet with, by default, more tasks of normal urgency than it has capacity for.
class OverloadedFleet
{
public:
    /// Draws the size of each task from \a shares, which are fractions of a host, with \a seed.
    /// Each pool has \a tasks tasks.
    OverloadedFleet(const FixtureOptions &options, const std::vector<double> &shares,
                    std::uint64_t seed, unsigned tasks = tasksPerPool)
        : m_options(options), m_shares(shares), m_random(seed),
          m_manifest(std::make_shared<Manifest>(makeManifest(options))), m_fleet(*m_manifest),
          m_driver("test", m_table, m_fleet, FleetDriver::standardReconcilers()),
          m_now(TimePoint(std::chrono::hours(1000)))
    {
        m_fleet.behaviourOf = [this](const std::string &job) {
            TaskBehaviour behaviour;
            behaviour.usage = {m_sizes.at(job).processors * usageRatio,
                               m_sizes.at(job).memoryGigabytes * usageRatio, 0};
            return behaviour;
        };
        m_driver.setManifest(m_manifest, m_version);
        m_driver.acquireLeases(m_now);
        run(settleDuration, settleInterval);
        for (const auto &pool : m_options.pools)
            add(pool, tasks, Urgency::Normal);
    }

    void add(const std::string &pool, unsigned count, Urgency urgency)
    {
        m_manifest = std::make_shared<Manifest>(*m_manifest);
        for (unsigned index = 0; index < count; ++index) {
            const double share = m_shares[m_random.below(m_shares.size())];
            const auto name = fmt::format("job-{:05}", m_manifest->jobs.size());
            m_sizes[name] = {m_options.capacity.processors * share,
                             m_options.capacity.memoryGigabytes * share, 0};
            m_manifest->jobs.push_back(makeJob(name, pool, 1, m_sizes[name], urgency));
        }
        m_driver.setManifest(m_manifest, ++m_version);
    }

    void run(Duration duration, Duration passInterval)
    {
        const auto end = m_now + duration;
        while (m_now < end) {
            m_now += passInterval;
            m_fleet.advance(m_now);
            m_driver.pass(m_now);
            for (auto &[name, worker] : m_fleet.workers) {
                for (const auto &[task, time] : worker.takeStarted())
                    ++m_starts[task];
            }
        }
    }

    /// Returns the sum of the unreserved fractions of all hosts, by processors.
    double freeHostEquivalents() const
    {
        double free = 0;
        for (const auto &[name, host] : m_driver.view().hosts())
            free += 1 - host.reserved.processors / m_options.capacity.processors;
        return free;
    }

    std::vector<std::string> racks() const
    {
        std::set<std::string> names;
        for (const auto &host : m_manifest->hosts)
            names.insert(host.rack);
        return {names.begin(), names.end()};
    }

    /// Fails all hosts of \a rack and returns the tasks that they executed.
    std::vector<std::string> failRack(const std::string &rack)
    {
        auto tasks = tasksOfRack(rack);
        for (const auto &host : m_manifest->hosts) {
            if (host.rack == rack)
                m_fleet.workers.at(host.name).fail(m_now);
        }
        return tasks;
    }

    std::vector<std::string> tasksOfRack(const std::string &rack) const
    {
        std::vector<std::string> tasks;
        for (const auto &host : m_manifest->hosts) {
            if (host.rack != rack)
                continue;
            const auto executing = m_fleet.workers.at(host.name).executingTasks();
            tasks.insert(tasks.end(), executing.begin(), executing.end());
        }
        return tasks;
    }

    std::set<std::string> poolsOfRack(const std::string &rack) const
    {
        std::set<std::string> pools;
        for (const auto &host : m_manifest->hosts) {
            if (host.rack == rack)
                pools.insert(host.pool);
        }
        return pools;
    }

    /// Loans of the spare pool: the borrowed host by task.
    const std::map<std::string, std::string> &loans() const
    {
        return m_driver.view().pool("spare")->placement.loans;
    }

    void drain(const std::string &host)
    {
        const OperatorCommand command{"drain", "test", "test", m_now};
        m_driver.commit(planOperatorDrain(m_driver.view(), host, command).value(), m_now);
    }

    /// Returns how often \a tasks were started in total.
    std::size_t startCount(const std::vector<std::string> &tasks) const
    {
        return std::accumulate(
            tasks.begin(), tasks.end(), std::size_t(0),
            [&](std::size_t sum, const std::string &task) { return sum + m_starts.at(task); });
    }

    void recoverRack(const std::string &rack)
    {
        for (const auto &host : m_manifest->hosts) {
            if (host.rack == rack)
                m_fleet.workers.at(host.name).recover();
        }
    }

    std::vector<std::string> notExecuting(const std::vector<std::string> &tasks) const
    {
        std::vector<std::string> missing;
        for (const auto &task : tasks) {
            if (std::none_of(m_fleet.workers.begin(), m_fleet.workers.end(),
                             [&](const auto &entry) { return entry.second.isExecuting(task); }))
                missing.push_back(task);
        }
        return missing;
    }

private:
    FixtureOptions m_options;
    std::vector<double> m_shares;
    RandomSource m_random;
    std::shared_ptr<Manifest> m_manifest;
    FakeTable m_table;
    FakeFleet m_fleet;
    FleetDriver m_driver;
    TimePoint m_now;
    std::uint64_t m_version = 1;
    std::map<std::string, Resources> m_sizes;
    std::map<std::string, std::size_t> m_starts;
};

void checkRackFailure(OverloadedFleet &fleet, std::size_t rackIndex)
{
    fleet.run(settleDuration, settleInterval);
    const auto racks = fleet.racks();
    // Lower bound of the buffer. The availability budget is smaller.
    const double largestRackHosts = 4;
    CHECK(fleet.freeHostEquivalents() <= largestRackHosts * maximumBufferRatio);
    const auto tasks = fleet.failRack(racks[rackIndex % racks.size()]);
    REQUIRE_FALSE(tasks.empty());
    fleet.run(recoveryDuration, failureInterval);
    const auto missing = fleet.notExecuting(tasks);
    CAPTURE(missing);
    CHECK(missing.empty());
}

} // namespace

// Guards against counting free fractions of hosts that are too small for any task as buffer: new
// tasks then fill whole hosts that the tasks of a failed rack need.
TEST_CASE("Every task of a failed rack runs again", "[buffer]")
{
    const auto options = GENERATE(fixtureOptions({32, 128, 0}, 3), fixtureOptions({16, 32, 0}, 4));
    CAPTURE(options.capacity.processors);
    const std::size_t rack = GENERATE(0, 3, 4);
    CAPTURE(rack);

    SECTION("tasks of one size")
    {
        OverloadedFleet fleet(options, {1.0 / 8}, 1);
        checkRackFailure(fleet, rack);
    }
    SECTION("tasks of mixed sizes")
    {
        const std::uint64_t seed = GENERATE(1, 2, 3);
        CAPTURE(seed);
        OverloadedFleet fleet(options, {1.0 / 16, 1.0 / 8, 1.0 / 4}, seed);
        checkRackFailure(fleet, rack);
    }
}

// Guards against counting the hosts of a rack that has returned as free for new tasks while their
// former tasks still run on borrowed hosts: the buffer would stay used up, and a second failure
// would find none.
TEST_CASE("A second rack may fail after the first one has returned", "[buffer]")
{
    OverloadedFleet fleet(fixtureOptions({32, 128, 0}, 3), {1.0 / 8}, 1);
    fleet.run(settleDuration, settleInterval);
    const auto racks = fleet.racks();
    const auto first = fleet.failRack(racks[0]);
    fleet.run(recoveryDuration, failureInterval);
    CHECK(fleet.notExecuting(first).empty());
    fleet.recoverRack(racks[0]);
    fleet.run(recoveryDuration, failureInterval);

    // The second rack has hosts of the same pools as the first one.
    const auto second = fleet.failRack(racks[5]);
    REQUIRE_FALSE(second.empty());
    fleet.run(recoveryDuration, failureInterval);
    const auto missing = fleet.notExecuting(second);
    CAPTURE(missing);
    CHECK(missing.empty());
}

TEST_CASE("Tasks on borrowed hosts", "[buffer]")
{
    // Guards against a shared buffer that stays in use after the failed rack has returned: the
    // tasks of a rack with hosts of other pools, here of the spare pool, would then find no
    // capacity.
    SECTION("return when the spare pool needs the capacity")
    {
        OverloadedFleet fleet(fixtureOptions({32, 128, 0}, 3), {1.0 / 8}, 1);
        fleet.run(settleDuration, settleInterval);
        const auto racks = fleet.racks();
        const auto tasks = fleet.failRack(racks[0]);
        fleet.run(recoveryDuration, failureInterval);
        REQUIRE(fleet.loans().size() == tasks.size());
        fleet.recoverRack(racks[0]);
        const auto startsBefore = fleet.startCount(tasks);
        fleet.run(recoveryDuration, failureInterval);
        CHECK(fleet.loans().empty());
        CHECK(fleet.startCount(tasks) - startsBefore == tasks.size());

        const auto second = std::find_if(racks.begin(), racks.end(), [&](const auto &rack) {
            return fleet.poolsOfRack(rack).contains("spare")
                   && fleet.tasksOfRack(rack).size() == tasks.size();
        });
        REQUIRE(second != racks.end());
        const auto displaced = fleet.failRack(*second);
        fleet.run(recoveryDuration, failureInterval);
        const auto missing = fleet.notExecuting(displaced);
        CAPTURE(missing);
        CHECK(missing.empty());
    }

    // Guards against moving tasks back without need: the spare pool has no tasks, so that its
    // buffer is still free beside the loans.
    SECTION("stay while the spare pool does not need the capacity")
    {
        constexpr unsigned tasksPerFullPool = 80;
        OverloadedFleet fleet(fixtureOptions({32, 128, 0}, 3), {1.0 / 8}, 1, 0);
        for (const auto *pool : {"a", "b", "c", "d"})
            fleet.add(pool, tasksPerFullPool, Urgency::Normal);
        fleet.run(settleDuration, settleInterval);
        const auto racks = fleet.racks();
        const auto tasks = fleet.failRack(racks[0]);
        fleet.run(recoveryDuration, failureInterval);
        REQUIRE(fleet.loans().size() == tasks.size());
        fleet.recoverRack(racks[0]);
        const auto startsBefore = fleet.startCount(tasks);
        fleet.run(recoveryDuration, failureInterval);
        CHECK(fleet.loans().size() == tasks.size());
        CHECK(fleet.startCount(tasks) == startsBefore);

        SECTION("and return to their own pool when a drain moves them anyway")
        {
            const auto host = fleet.loans().begin()->second;
            const auto loansOnHost = static_cast<std::size_t>(
                std::count_if(fleet.loans().begin(), fleet.loans().end(),
                              [&](const auto &loan) { return loan.second == host; }));
            fleet.drain(host);
            fleet.run(recoveryDuration, failureInterval);
            CHECK(fleet.loans().size() == tasks.size() - loansOnHost);
            CHECK(fleet.startCount(tasks) == startsBefore + loansOnHost);
        }
    }
}
