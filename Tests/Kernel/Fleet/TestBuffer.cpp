#include <FleetFake/FleetDriver.h>
#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <numeric>

using namespace Peridot;

namespace {

constexpr unsigned tasksOfPool = 200;
constexpr double bufferTarget = 1.1; // times the lower bound

// Share of the declared size that tasks use: what they reserve shrinks to 0.95 of it at the third
// sample, which leaves a sliver on each host.
constexpr double usedShare = 0.75;

// Until the placement is at rest, before any usage is learnt. Each pass commits one transaction of
// bounded size a pool.
constexpr auto settleTime = std::chrono::seconds(8);
constexpr auto settleInterval = std::chrono::milliseconds(100);

// The leases of the tasks end first, because nobody can tell that they stopped.
constexpr auto failureTime = std::chrono::minutes(6);
constexpr auto failureInterval = std::chrono::seconds(1);

FixtureOptions optionsOf(const Resources &capacity, unsigned dataCentres)
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

/// Fleet with, by default, more normal work than it can hold.
class FullFleet
{
public:
    /// Each task has one of these shares of a host, drawn with the seed. Pools have \a tasks each.
    FullFleet(const FixtureOptions &options, const std::vector<double> &shares, std::uint64_t seed,
              unsigned tasks = tasksOfPool)
        : m_options(options), m_shares(shares), m_random(seed),
          m_manifest(std::make_shared<Manifest>(makeManifest(options))), m_fleet(*m_manifest),
          m_driver("test", m_table, m_fleet, FleetDriver::standardReconcilers()),
          m_now(TimePoint(std::chrono::hours(1000)))
    {
        m_fleet.behaviourOf = [this](const std::string &job) {
            TaskBehaviour behaviour;
            behaviour.usage = {m_sizes.at(job).processors * usedShare,
                               m_sizes.at(job).memoryGigabytes * usedShare, 0};
            return behaviour;
        };
        m_driver.setManifest(m_manifest, m_version);
        m_driver.acquireLeases(m_now);
        run(settleTime, settleInterval);
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

    double freeHosts() const
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

    /// Loans of the spare pool: host by task.
    const std::map<std::string, std::string> &loans() const
    {
        return m_driver.view().pool("spare")->placement.loans;
    }

    void drain(const std::string &host)
    {
        const OperatorCommand command{"drain", "test", "test", m_now};
        m_driver.commit(planOperatorDrain(m_driver.view(), host, command).value(), m_now);
    }

    std::size_t starts(const std::vector<std::string> &tasks) const
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

void checkFailureOf(FullFleet &fleet, std::size_t rackIndex)
{
    fleet.run(settleTime, settleInterval);
    const auto racks = fleet.racks();
    const double bound = 4; // hosts of the largest rack; the budget is smaller
    CHECK(fleet.freeHosts() <= bound * bufferTarget);
    const auto tasks = fleet.failRack(racks[rackIndex % racks.size()]);
    REQUIRE_FALSE(tasks.empty());
    fleet.run(failureTime, failureInterval);
    const auto missing = fleet.notExecuting(tasks);
    CAPTURE(missing);
    CHECK(missing.empty());
}

} // namespace

// Guards against a buffer that is the sum of slivers too small for any task: new tasks then fill
// whole hosts that the tasks of a failed rack need.
TEST_CASE("Every task of a failed rack runs again", "[buffer]")
{
    const auto options = GENERATE(optionsOf({32, 128, 0}, 3), optionsOf({16, 32, 0}, 4));
    CAPTURE(options.capacity.processors);
    const std::size_t rack = GENERATE(0, 3, 4);
    CAPTURE(rack);

    SECTION("tasks of one size")
    {
        FullFleet fleet(options, {1.0 / 8}, 1);
        checkFailureOf(fleet, rack);
    }
    SECTION("tasks of mixed sizes")
    {
        const std::uint64_t seed = GENERATE(1, 2, 3);
        CAPTURE(seed);
        FullFleet fleet(options, {1.0 / 16, 1.0 / 8, 1.0 / 4}, seed);
        checkFailureOf(fleet, rack);
    }
}

// Guards against counting the hosts of a failed rack as free for new tasks while their former tasks
// run on borrowed hosts: the buffer is then used up for good, and the next failure finds none.
TEST_CASE("A second rack may fail after the first one has returned", "[buffer]")
{
    FullFleet fleet(optionsOf({32, 128, 0}, 3), {1.0 / 8}, 1);
    fleet.run(settleTime, settleInterval);
    const auto racks = fleet.racks();
    const auto first = fleet.failRack(racks[0]);
    fleet.run(failureTime, failureInterval);
    CHECK(fleet.notExecuting(first).empty());
    fleet.recoverRack(racks[0]);
    fleet.run(failureTime, failureInterval);

    // It has hosts of the same pools.
    const auto second = fleet.failRack(racks[5]);
    REQUIRE_FALSE(second.empty());
    fleet.run(failureTime, failureInterval);
    const auto missing = fleet.notExecuting(second);
    CAPTURE(missing);
    CHECK(missing.empty());
}

TEST_CASE("Tasks on borrowed hosts", "[buffer]")
{
    // Guards against a common buffer that stays in use after the failed rack has returned: a rack
    // with hosts of other pools, here of the spare pool, could then not fail.
    SECTION("return when the spare pool needs the room")
    {
        FullFleet fleet(optionsOf({32, 128, 0}, 3), {1.0 / 8}, 1);
        fleet.run(settleTime, settleInterval);
        const auto racks = fleet.racks();
        const auto tasks = fleet.failRack(racks[0]);
        fleet.run(failureTime, failureInterval);
        REQUIRE(fleet.loans().size() == tasks.size());
        fleet.recoverRack(racks[0]);
        const auto starts = fleet.starts(tasks);
        fleet.run(failureTime, failureInterval);
        CHECK(fleet.loans().empty());
        CHECK(fleet.starts(tasks) - starts == tasks.size());

        const auto second = std::find_if(racks.begin(), racks.end(), [&](const auto &rack) {
            return fleet.poolsOfRack(rack).contains("spare")
                   && fleet.tasksOfRack(rack).size() == tasks.size();
        });
        REQUIRE(second != racks.end());
        const auto displaced = fleet.failRack(*second);
        fleet.run(failureTime, failureInterval);
        const auto missing = fleet.notExecuting(displaced);
        CAPTURE(missing);
        CHECK(missing.empty());
    }

    // The pools are full and the spare pool has no tasks: its buffer is free beside the loans.
    // Guards against moves that restore nothing.
    SECTION("stay while nobody needs the room")
    {
        constexpr unsigned tasksOfFullPool = 80;
        FullFleet fleet(optionsOf({32, 128, 0}, 3), {1.0 / 8}, 1, 0);
        for (const auto *pool : {"a", "b", "c", "d"})
            fleet.add(pool, tasksOfFullPool, Urgency::Normal);
        fleet.run(settleTime, settleInterval);
        const auto racks = fleet.racks();
        const auto tasks = fleet.failRack(racks[0]);
        fleet.run(failureTime, failureInterval);
        REQUIRE(fleet.loans().size() == tasks.size());
        fleet.recoverRack(racks[0]);
        const auto starts = fleet.starts(tasks);
        fleet.run(failureTime, failureInterval);
        CHECK(fleet.loans().size() == tasks.size());
        CHECK(fleet.starts(tasks) == starts);

        SECTION("and return home when they have to move anyway")
        {
            const auto host = fleet.loans().begin()->second;
            const auto here = static_cast<std::size_t>(
                std::count_if(fleet.loans().begin(), fleet.loans().end(),
                              [&](const auto &loan) { return loan.second == host; }));
            fleet.drain(host);
            fleet.run(failureTime, failureInterval);
            CHECK(fleet.loans().size() == tasks.size() - here);
            CHECK(fleet.starts(tasks) == starts + here);
        }
    }
}
