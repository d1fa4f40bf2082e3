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

/// Number of steps in which commands are issued and faults injected.
constexpr unsigned disturbedSteps = 150;
/// Virtual time in which all jobs and hosts must recover after the commands and faults.
constexpr Duration recoveryLimit = 30min;
constexpr std::size_t processCount = 3;
constexpr std::size_t jobLimit = 6;
constexpr std::array jobPools{"a", "b"};
constexpr std::string_view notRecoveredMessage
    = "jobs or hosts did not recover after the last fault";

/// One random schedule of a fleet simulation. Operator commands and faults occur at random for some
/// minutes; then they cease, and the simulation continues until all waves are complete and all jobs
/// execute.
class FleetSchedule
{
public:
    explicit FleetSchedule(std::uint64_t seed,
                           const FleetSimulation::DriverModifier &modifyDriver = {});
    /// Runs the schedule. Returns an empty text, or the seed with the violated invariant or with
    /// notRecoveredMessage.
    std::string run();
    std::string state() const { return m_simulation.state(); }
    /// Returns the digest of the commands and faults so far. It also depends on the decisions of
    /// the fleet processes, because a random number is drawn for each transaction to decide whether
    /// its commit fails.
    std::uint64_t digest() const { return m_digest.value(); }

private:
    static Manifest initialManifest();
    void recordEvent(const std::string &event);
    void issueRandomCommand();
    void applyRandomManifestChange();
    void addJob(Manifest &manifest, const std::string &pool);
    void changeRandomJob(Manifest &manifest);
    void startWaveAndDeclareJob();
    void requestDrain(const std::string &host);
    void requestUndrain(const std::string &host);
    void
    commitOperatorCommand(const std::function<Result<Transaction>(const OperatorCommand &)> &plan);
    void issueWaveCommand(WaveCommand wave, const std::string &pool);
    void injectRandomFault();
    void endExpiredFaults();
    void endDisturbances();

    template <typename List>
    auto &randomElement(List &list)
    {
        return list[m_random.below(std::size(list))];
    }

    std::uint64_t m_seed;
    RandomSource m_random;
    EventDigest m_digest;
    FleetSimulation m_simulation;
    std::map<std::string, TimePoint> m_faultyHosts; ///< End of the fault by host.
    TimePoint m_storeUnavailableUntil;
    unsigned m_addedJobCount = 0;
    bool m_finiteJobs; ///< Whether the tasks of added jobs finish (batch jobs).
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

FleetSchedule::FleetSchedule(std::uint64_t seed,
                             const FleetSimulation::DriverModifier &modifyDriver)
    : m_seed(seed), m_random(seed), m_simulation(initialManifest(), processCount, modifyDriver),
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
        if (m_simulation.now() < m_storeUnavailableUntil || m_random.below(60) == 0) {
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

void FleetSchedule::commitOperatorCommand(
    const std::function<Result<Transaction>(const OperatorCommand &)> &plan)
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

void FleetSchedule::requestDrain(const std::string &host)
{
    recordEvent("drain " + host);
    commitOperatorCommand([&](const OperatorCommand &command) {
        return planOperatorDrain(m_simulation.view(), host, command);
    });
}

void FleetSchedule::requestUndrain(const std::string &host)
{
    recordEvent("undrain " + host);
    commitOperatorCommand([&](const OperatorCommand &command) {
        return planOperatorUndrain(m_simulation.view(), host, command);
    });
}

void FleetSchedule::issueWaveCommand(WaveCommand wave, const std::string &pool)
{
    recordEvent(fmt::format("wave {} {}", static_cast<int>(wave), pool));
    commitOperatorCommand([&](const OperatorCommand &command) {
        return planWaveCommand(m_simulation.view(), pool, wave, command);
    });
}

// Each random number is drawn in a statement of its own: the order in which the arguments of a call
// are evaluated is unspecified and differs between compilers and targets, so that a seed would give
// different schedules.
void FleetSchedule::addJob(Manifest &manifest, const std::string &pool)
{
    const auto tasks = 1 + static_cast<unsigned>(m_random.below(3));
    const auto halfProcessors = 1 + m_random.below(3);
    const auto urgency = static_cast<Urgency>(m_random.below(urgencyCount));
    const auto name = fmt::format("{}-{}", m_finiteJobs ? "batch" : "work", ++m_addedJobCount);
    recordEvent(fmt::format("job {} pool={} tasks={} half-processors={} urgency={}", name, pool,
                            tasks, halfProcessors, urgencyNames.nameOf(urgency)));
    manifest.jobs.push_back(
        makeJob(name, pool, tasks, {0.5 * static_cast<double>(halfProcessors), 2, 0}, urgency));
}

void FleetSchedule::changeRandomJob(Manifest &manifest)
{
    auto &jobs = manifest.jobs;
    const auto choice = m_random.below(3);
    if (jobs.size() < jobLimit && (choice == 0 || jobs.empty())) {
        addJob(manifest, randomElement(jobPools));
    } else if (choice == 1 && !jobs.empty()) {
        const auto position = m_random.below(jobs.size());
        recordEvent("withdraw " + jobs[position].name);
        jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(position));
    } else if (!jobs.empty() && !m_finiteJobs) {
        // Finite jobs are not resized: a finished task that is withdrawn and declared again is a
        // new task and runs again.
        auto &job = randomElement(jobs);
        job.tasks = 1 + static_cast<unsigned>(m_random.below(3));
        recordEvent(fmt::format("resize {} tasks={}", job.name, job.tasks));
    }
}

void FleetSchedule::applyRandomManifestChange()
{
    auto manifest = m_simulation.manifest();
    switch (m_random.below(4)) {
    case 0: {
        auto &first = randomElement(manifest.hosts);
        auto &second = randomElement(manifest.hosts);
        recordEvent(fmt::format("swap {} {}", first.name, second.name));
        std::swap(first.pool, second.pool);
        break;
    }
    case 1:
        manifest.maintenance.generation = 1 + m_random.below(2);
        recordEvent(fmt::format("generation {}", manifest.maintenance.generation));
        break;
    default:
        changeRandomJob(manifest);
    }
    m_simulation.apply(manifest);
}

/// Starts a wave in the same step in which a job is declared. All hosts of the pool are due for
/// maintenance then, so that one planning pass drains hosts and also places tasks on them; only the
/// check of the host row versions prevents one transaction from undoing the other. Later in a wave,
/// tasks are placed on hosts whose maintenance is done, and separate commands rarely take effect in
/// the same pass.
void FleetSchedule::startWaveAndDeclareJob()
{
    auto manifest = m_simulation.manifest();
    const std::string pool = randomElement(jobPools);
    manifest.maintenance.generation = 1 + m_random.below(2);
    recordEvent(fmt::format("generation {}", manifest.maintenance.generation));
    if (manifest.jobs.size() < jobLimit)
        addJob(manifest, pool);
    m_simulation.apply(manifest);
    issueWaveCommand(WaveCommand::Start, pool);
}

void FleetSchedule::issueRandomCommand()
{
    const auto &manifest = m_simulation.manifest();
    const auto &host = randomElement(manifest.hosts).name;
    switch (m_random.below(7)) {
    case 0:
        return requestDrain(host);
    case 1:
        return requestUndrain(host);
    case 2: {
        const auto wave = randomElement(waveCommandNames.entries).first;
        return issueWaveCommand(wave, randomElement(manifest.pools).name);
    }
    case 3:
        return startWaveAndDeclareJob();
    default:
        return applyRandomManifestChange();
    }
}

void FleetSchedule::injectRandomFault()
{
    const auto process = m_random.below(processCount);
    const auto length = std::chrono::seconds(1 + m_random.below(40));
    const auto &target = randomElement(m_simulation.manifest().hosts);
    const auto kind = m_random.below(9);
    recordEvent(fmt::format("fault {} process={} seconds={} host={}", kind, process, length.count(),
                            target.name));
    switch (kind) {
    case 0:
        return m_simulation.restart(process);
    case 1:
        return m_simulation.pause(process, length);
    case 2:
        return m_simulation.useStaleRows(process, length / 4);
    case 3:
        m_storeUnavailableUntil = m_simulation.now() + length / 2;
        return;
    default:
        break;
    }
    for (const auto &host : m_simulation.manifest().hosts) {
        const bool failsWithRack = kind == 4 && host.rack == target.rack;
        if ((host.name != target.name && !failsWithRack) || m_faultyHosts.contains(host.name))
            continue;
        auto end = m_simulation.now() + length;
        auto &worker = m_simulation.worker(host.name);
        if (kind == 5)
            worker.setBroken(true);
        else if (kind == 6)
            worker.isolate(true);
        else
            worker.fail(m_simulation.now());
        // Isolates some workers for longer than a task lease. This is not combined with finite
        // jobs: a finished task must run again when its worker does not report within the lease.
        if (kind == 6 && !m_finiteJobs && m_random.below(3) == 0)
            end += 400s;
        recordEvent(fmt::format("host {} until {}", host.name, toUnixMilliseconds(end)));
        m_faultyHosts[host.name] = end;
    }
}

void FleetSchedule::endExpiredFaults()
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
    // Waits for the end of each fault instead of ending it early, so that workers that are isolated
    // for longer than a task lease remain isolated for that time.
    while (!m_faultyHosts.empty() && m_simulation.violation().empty()) {
        m_simulation.step();
        endExpiredFaults();
    }
    for (const auto &row : m_simulation.table().scan(std::string(drainRequestPrefix)))
        m_simulation.table().commit({{}, {}, {{row.key, std::nullopt}}});
    for (const auto &pool : m_simulation.manifest().pools)
        issueWaveCommand(WaveCommand::Resume, pool.name);
    // Repeats the command, because a start is refused while the wave of the previous generation is
    // in progress.
    for (unsigned count = 0; count < 4; ++count) {
        m_simulation.run(60s);
        for (const auto &pool : m_simulation.manifest().pools)
            issueWaveCommand(WaveCommand::Start, pool.name);
    }
}

std::string FleetSchedule::run()
{
    m_simulation.run(std::chrono::seconds(m_random.below(30)));
    for (unsigned count = 0; count < disturbedSteps && m_simulation.violation().empty(); ++count) {
        if (m_random.below(8) == 0)
            issueRandomCommand();
        if (m_random.below(12) == 0)
            injectRandomFault();
        m_simulation.step();
        endExpiredFaults();
    }
    endDisturbances();
    const bool recovered = m_simulation.runUntil(
        [&] { return m_simulation.jobsMatchManifest() && m_simulation.hostsMatchManifest(); },
        recoveryLimit);
    if (recovered)
        return {};
    const auto violation = m_simulation.violation().empty() ? std::string(notRecoveredMessage)
                                                            : m_simulation.violation();
    return fmt::format("{} (seed={})", violation, m_seed);
}

} // namespace

TEST_CASE(
    "Invariants hold under random commands and faults, and all jobs execute after the last one")
{
    // RC_PARAMS="seed=N max_success=M" selects other schedules and their number;
    // PERIDOT_FLEET_SCHEDULE=N runs only the schedule of seed N, as printed by a failure.
    if (const char *chosenSeed = std::getenv("PERIDOT_FLEET_SCHEDULE")) {
        FleetSchedule schedule(std::strtoull(chosenSeed, nullptr, 10));
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

TEST_CASE("A seed gives the same schedule of fleet commands and faults on every machine")
{
    // Guards against a seed that gives one schedule on x86-64 and another on arm64, so that a
    // recorded seed cannot be replayed, for example because random numbers are drawn in an
    // unspecified order of evaluation. An intended change of the schedules or of the transactions
    // that the fleet commits changes the recorded digest.
    FleetSchedule schedule(2);
    CHECK_THAT(schedule.run(), Catch::Equals(""));
    CHECK(schedule.digest() == 0xb68c29da008f8244);
}

TEST_CASE("Random schedules detect broken variants")
{
    constexpr std::uint64_t schedulesPerVariant = 150;
    for (const auto &variant : brokenVariants()) {
        if (!variant.foundBySchedules)
            continue;
        std::string violation;
        for (std::uint64_t seed = 1; seed <= schedulesPerVariant && violation.empty(); ++seed) {
            violation = FleetSchedule(seed, variant.injectDefect).run();
            // The checker must report a violated invariant. A fleet that does not recover does not
            // show that the checker detects the defect.
            if (violation.starts_with(notRecoveredMessage))
                violation.clear();
        }
        INFO(variant.name << ": " << violation);
        CHECK_FALSE(violation.empty());
    }
}
