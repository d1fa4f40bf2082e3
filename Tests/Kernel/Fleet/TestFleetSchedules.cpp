#include "BrokenVariants.h"
#include "FleetSimulation.h"

#include <EventDigest.h>
#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

constexpr unsigned disturbedSteps = 150;
constexpr Duration recoveryLimit = 30min;
constexpr std::size_t processCount = 3;
constexpr std::size_t jobLimit = 6;
constexpr std::array jobPools{"a", "b"};
constexpr std::string_view notRecovered = "work or hosts do not recover";

/// One random schedule: commands of operators and faults for some minutes, then none until waves
/// are complete and all work runs.
class FleetSchedule
{
public:
    explicit FleetSchedule(std::uint64_t seed,
                           const FleetSimulation::DriverModifier &breakage = {});
    /// Empty, or the violation with seed and step.
    std::string run();
    std::string state() const { return m_simulation.state(); }
    /// Of the commands and faults so far. They depend on the fleet too, because each transaction
    /// draws whether it meets a fault.
    std::uint64_t digest() const { return m_digest.value(); }

private:
    static Manifest initialManifest();
    void recordEvent(const std::string &event);
    void command();
    void changeManifest();
    void addJob(Manifest &manifest, const std::string &pool);
    void changeJob(Manifest &manifest);
    void startWaveWithJob();
    void commandDrain(const std::string &host);
    void commandUndrain(const std::string &host);
    void operate(const std::function<Result<Transaction>(const OperatorCommand &)> &plan);
    void commandWave(WaveCommand wave, const std::string &pool);
    void injectFault();
    void endFaults();
    void endDisturbances();

    template <typename List>
    auto &any(List &list)
    {
        return list[m_random.below(std::size(list))];
    }

    std::uint64_t m_seed;
    RandomSource m_random;
    EventDigest m_digest;
    FleetSimulation m_simulation;
    std::map<std::string, TimePoint> m_faultyHosts; ///< end of the fault
    TimePoint m_storeDownUntil;
    unsigned m_jobs = 0;
    bool m_finiteJobs;
};

Manifest FleetSchedule::initialManifest()
{
    FixtureOptions options;
    options.pools = {"a", "b", "spare"};
    options.sparePool = "spare";
    options.hosts = 12;
    options.hostsPerRack = 3;
    options.backendServersPerHost = 1;
    auto manifest = makeManifest(options);
    manifest.maintenance.drainTimeout = 30s;
    manifest.maintenance.rebootTimeout = 60s;
    manifest.jobs.push_back(makeJob("service-a", "a", 3, {1, 2, 0}));
    manifest.jobs.push_back(makeJob("service-b", "b", 2, {2, 4, 0}, Urgency::Urgent));
    return manifest;
}

FleetSchedule::FleetSchedule(std::uint64_t seed, const FleetSimulation::DriverModifier &breakage)
    : m_seed(seed), m_random(seed), m_simulation(initialManifest(), processCount, breakage),
      m_finiteJobs(m_random.below(2) == 0)
{
    m_simulation.fleet().behaviourOf = [](const std::string &job) {
        TaskBehaviour behaviour;
        behaviour.usage = {0.5, 1, 0};
        if (job.starts_with("batch"))
            behaviour.runTime = 20s;
        return behaviour;
    };
    m_simulation.nextCommitFault = [this] {
        if (m_simulation.now() < m_storeDownUntil || m_random.below(60) == 0) {
            recordEvent("commit refused");
            return CommitFault::Refused;
        }
        if (m_random.below(30) != 0)
            return CommitFault::None;
        recordEvent("answer lost");
        return CommitFault::AnswerLost;
    };
}

void FleetSchedule::recordEvent(const std::string &event)
{
    m_digest.add(fmt::format("{} {}", toUnixMilliseconds(m_simulation.now()), event));
}

void FleetSchedule::operate(const std::function<Result<Transaction>(const OperatorCommand &)> &plan)
{
    const OperatorCommand command{"operator", "operator", "test", m_simulation.now()};
    valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(transaction, plan(command));
            m_simulation.table().commit(transaction);
            return 0;
        },
        [](const Error &) { return 0; });
}

void FleetSchedule::commandDrain(const std::string &host)
{
    recordEvent("drain " + host);
    operate([&](const OperatorCommand &command) {
        return planOperatorDrain(m_simulation.view(), host, command);
    });
}

void FleetSchedule::commandUndrain(const std::string &host)
{
    recordEvent("undrain " + host);
    operate([&](const OperatorCommand &command) {
        return planOperatorUndrain(m_simulation.view(), host, command);
    });
}

void FleetSchedule::commandWave(WaveCommand wave, const std::string &pool)
{
    recordEvent(fmt::format("wave {} {}", static_cast<int>(wave), pool));
    operate([&](const OperatorCommand &command) {
        return planWaveCommand(m_simulation.view(), pool, wave, command);
    });
}

// The order in which the arguments of a call are evaluated is unspecified, and compilers choose it
// by target. Each draw is therefore a statement of its own.
void FleetSchedule::addJob(Manifest &manifest, const std::string &pool)
{
    const auto tasks = 1 + static_cast<unsigned>(m_random.below(3));
    const auto halfProcessors = 1 + m_random.below(3);
    const auto urgency = static_cast<Urgency>(m_random.below(urgencyCount));
    const auto name = fmt::format("{}-{}", m_finiteJobs ? "batch" : "work", ++m_jobs);
    recordEvent(fmt::format("job {} pool={} tasks={} half-processors={} urgency={}", name, pool,
                            tasks, halfProcessors, urgencyNames.nameOf(urgency)));
    manifest.jobs.push_back(
        makeJob(name, pool, tasks, {0.5 * static_cast<double>(halfProcessors), 2, 0}, urgency));
}

void FleetSchedule::changeJob(Manifest &manifest)
{
    auto &jobs = manifest.jobs;
    const auto choice = m_random.below(3);
    if (jobs.size() < jobLimit && (choice == 0 || jobs.empty())) {
        addJob(manifest, any(jobPools));
    } else if (choice == 1 && !jobs.empty()) {
        const auto position = m_random.below(jobs.size());
        recordEvent("withdraw " + jobs[position].name);
        jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(position));
    } else if (!jobs.empty() && !m_finiteJobs) {
        // A finished task that is withdrawn and declared anew is a new task and runs again.
        auto &job = any(jobs);
        job.tasks = 1 + static_cast<unsigned>(m_random.below(3));
        recordEvent(fmt::format("resize {} tasks={}", job.name, job.tasks));
    }
}

void FleetSchedule::changeManifest()
{
    auto manifest = m_simulation.manifest();
    switch (m_random.below(4)) {
    case 0: {
        auto &first = any(manifest.hosts);
        auto &second = any(manifest.hosts);
        recordEvent(fmt::format("swap {} {}", first.name, second.name));
        std::swap(first.pool, second.pool);
        break;
    }
    case 1:
        manifest.maintenance.generation = 1 + m_random.below(2);
        recordEvent(fmt::format("generation {}", manifest.maintenance.generation));
        break;
    default:
        changeJob(manifest);
    }
    m_simulation.apply(manifest);
}

/// A wave starts in the interval in which a job is declared. All hosts of the pool are due for
/// maintenance then, so that one pass drains hosts and places tasks on hosts that it drains; only
/// the versions of the host rows keep one from undoing the other. Later in a wave, tasks go to
/// hosts that it has done, and separate commands rarely meet in one pass.
void FleetSchedule::startWaveWithJob()
{
    auto manifest = m_simulation.manifest();
    const std::string pool = any(jobPools);
    manifest.maintenance.generation = 1 + m_random.below(2);
    recordEvent(fmt::format("generation {}", manifest.maintenance.generation));
    if (manifest.jobs.size() < jobLimit)
        addJob(manifest, pool);
    m_simulation.apply(manifest);
    commandWave(WaveCommand::Start, pool);
}

void FleetSchedule::command()
{
    const auto &manifest = m_simulation.manifest();
    const auto &host = any(manifest.hosts).name;
    switch (m_random.below(7)) {
    case 0:
        return commandDrain(host);
    case 1:
        return commandUndrain(host);
    case 2: {
        const auto wave = any(waveCommandNames.entries).first;
        return commandWave(wave, any(manifest.pools).name);
    }
    case 3:
        return startWaveWithJob();
    default:
        return changeManifest();
    }
}

void FleetSchedule::injectFault()
{
    const auto process = m_random.below(processCount);
    const auto length = std::chrono::seconds(1 + m_random.below(40));
    const auto &first = any(m_simulation.manifest().hosts);
    const auto kind = m_random.below(9);
    recordEvent(fmt::format("fault {} process={} seconds={} host={}", kind, process, length.count(),
                            first.name));
    switch (kind) {
    case 0:
        return m_simulation.restart(process);
    case 1:
        return m_simulation.pause(process, length);
    case 2:
        return m_simulation.useStaleRows(process, length / 4);
    case 3:
        m_storeDownUntil = m_simulation.now() + length / 2;
        return;
    default:
        break;
    }
    for (const auto &host : m_simulation.manifest().hosts) {
        const bool isRack = kind == 4 && host.rack == first.rack;
        if ((host.name != first.name && !isRack) || m_faultyHosts.contains(host.name))
            continue;
        auto end = m_simulation.now() + length;
        auto &worker = m_simulation.worker(host.name);
        if (kind == 5)
            worker.setBroken(true);
        else if (kind == 6)
            worker.isolate(true);
        else
            worker.fail(m_simulation.now());
        // Longer than a task lease. A finished task whose worker is never heard again within its
        // lease has to run again, so that this is not combined with tasks that finish.
        if (kind == 6 && !m_finiteJobs && m_random.below(3) == 0)
            end += 400s;
        recordEvent(fmt::format("host {} until {}", host.name, toUnixMilliseconds(end)));
        m_faultyHosts[host.name] = end;
    }
}

void FleetSchedule::endFaults()
{
    std::erase_if(m_faultyHosts, [&](const auto &entry) {
        if (m_simulation.now() < entry.second)
            return false;
        auto &worker = m_simulation.worker(entry.first);
        worker.setBroken(false);
        worker.isolate(false);
        worker.recover();
        return true;
    });
}

void FleetSchedule::endDisturbances()
{
    m_simulation.nextCommitFault = {};
    // Hosts that are silent for longer than a task lease stay so.
    while (!m_faultyHosts.empty() && m_simulation.violation().empty()) {
        m_simulation.step();
        endFaults();
    }
    for (const auto &row : m_simulation.table().scan(std::string(drainRequestPrefix)))
        m_simulation.table().commit({{}, {}, {{row.key, std::nullopt}}});
    for (const auto &pool : m_simulation.manifest().pools)
        commandWave(WaveCommand::Resume, pool.name);
    // A start is refused while the wave of the former generation is running.
    for (unsigned count = 0; count < 4; ++count) {
        m_simulation.run(60s);
        for (const auto &pool : m_simulation.manifest().pools)
            commandWave(WaveCommand::Start, pool.name);
    }
}

std::string FleetSchedule::run()
{
    m_simulation.run(std::chrono::seconds(m_random.below(30)));
    for (unsigned count = 0; count < disturbedSteps && m_simulation.violation().empty(); ++count) {
        if (m_random.below(8) == 0)
            command();
        if (m_random.below(12) == 0)
            injectFault();
        m_simulation.step();
        endFaults();
    }
    endDisturbances();
    const bool recovered = m_simulation.runUntil(
        [&] { return m_simulation.jobsMatchManifest() && m_simulation.hostsMatchManifest(); },
        recoveryLimit);
    if (recovered)
        return {};
    const auto violation
        = m_simulation.violation().empty() ? std::string(notRecovered) : m_simulation.violation();
    return fmt::format("{} (seed={})", violation, m_seed);
}

} // namespace

TEST_CASE("Random commands and faults keep the invariants, and all work runs when they end")
{
    // RC_PARAMS="seed=N max_success=M" selects other schedules and their number;
    // PERIDOT_FLEET_SCHEDULE=N runs the one schedule that a failure named.
    if (const char *chosen = std::getenv("PERIDOT_FLEET_SCHEDULE")) {
        FleetSchedule schedule(std::strtoull(chosen, nullptr, 10));
        const auto violation = schedule.run();
        INFO(schedule.state());
        REQUIRE_THAT(violation, Catch::Equals(""));
        return;
    }
    CHECK(rc::check([] {
        const auto seed = *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(1, 1U << 30));
        FleetSchedule schedule(seed);
        const auto violation = schedule.run();
        if (!violation.empty())
            RC_FAIL(violation);
    }));
}

TEST_CASE("A seed gives one schedule of the fleet on every machine")
{
    // Recorded. A change of the schedules, or of what the fleet commits, gives another value, and
    // the same on each kind of machine.
    FleetSchedule schedule(2);
    CHECK_THAT(schedule.run(), Catch::Equals(""));
    CHECK(schedule.digest() == 0xb68c29da008f8244);
}

TEST_CASE("Random schedules detect broken variants")
{
    constexpr std::uint64_t schedulesForEach = 150;
    for (const auto &variant : brokenVariants()) {
        if (!variant.foundBySchedules)
            continue;
        std::string violation;
        for (std::uint64_t seed = 1; seed <= schedulesForEach && violation.empty(); ++seed) {
            violation = FleetSchedule(seed, variant.injectDefect).run();
            // An invariant must be seen broken; that work does not recover proves less.
            if (violation.starts_with(notRecovered))
                violation.clear();
        }
        INFO(variant.name << ": " << violation);
        CHECK_FALSE(violation.empty());
    }
}
