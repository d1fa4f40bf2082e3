#include "PlacementModel.h"

#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <algorithm>
#include <fmt/format.h>

namespace Peridot {

namespace {

constexpr auto passInterval = std::chrono::milliseconds(100);

// For phases in which only the outcome is of interest.
constexpr auto longInterval = std::chrono::seconds(1);

// An eighth of a host, so that a whole number of tasks fills each host.
constexpr double tasksPerHost = 8;

// Share of the declared size that tasks use. With the learning margin of 27% after three samples, a
// task that is placed again still reserves no more than its declared size.
constexpr double usedShare = 0.75;

constexpr unsigned allTasksOfPool = 200;

} // namespace

PlacementModel::PlacementModel(const FleetDeployment &deployment, const std::string &policy,
                               std::uint64_t seed)
    : m_deployment(deployment),
      m_manifest(std::make_shared<Manifest>(makeManifest(deployment.options))),
      m_fleet(*m_manifest, WorkerTiming()),
      m_driver("measure", m_table, m_fleet, FleetDriver::standardReconcilers(policy)),
      m_random(seed), m_now(TimePoint(std::chrono::hours(1000)))
{
    const auto capacity = deployment.options.capacity;
    m_fleet.behaviourOf = [capacity](const std::string &) {
        TaskBehaviour behaviour;
        behaviour.usage = {capacity.processors / tasksPerHost * usedShare,
                           capacity.memoryGigabytes / tasksPerHost * usedShare, 0};
        return behaviour;
    };
    m_driver.setManifest(m_manifest, m_version);
    m_driver.acquireLeases(m_now);
    run(std::chrono::seconds(10));
}

void PlacementModel::tick(Duration interval)
{
    m_now += interval;
    m_fleet.advance(m_now);
    for (auto &[name, worker] : m_fleet.workers) {
        for (const auto &[task, time] : worker.takeStarted()) {
            ++m_starts;
            m_startedAt.try_emplace(task, time);
        }
    }
    m_driver.pass(m_now);
}

void PlacementModel::run(Duration duration, Duration interval)
{
    const auto end = m_now + duration;
    while (m_now < end)
        tick(interval);
}

void PlacementModel::run(Duration duration)
{
    run(duration, passInterval);
}

void PlacementModel::apply(const std::function<void(Manifest &)> &change)
{
    m_manifest = std::make_shared<Manifest>(*m_manifest);
    change(*m_manifest);
    m_driver.setManifest(m_manifest, ++m_version);
}

void PlacementModel::addTasks(const std::string &pool, unsigned count, Urgency urgency)
{
    const auto &capacity = m_deployment.options.capacity;
    apply([&](Manifest &manifest) {
        for (unsigned index = 0; index < count; ++index)
            manifest.jobs.push_back(makeJob(
                fmt::format("job-{:05}", m_jobs++), pool, 1,
                {capacity.processors / tasksPerHost, capacity.memoryGigabytes / tasksPerHost, 0},
                urgency));
    });
}

double PlacementModel::freeHosts() const
{
    double free = 0;
    for (const auto &[name, host] : m_driver.view().hosts()) {
        const auto &capacity = m_deployment.options.capacity;
        free += 1
                - std::max(host.reserved.processors / capacity.processors,
                           host.reserved.memoryGigabytes / capacity.memoryGigabytes);
    }
    return free;
}

double PlacementModel::bufferInHosts()
{
    for (const auto &pool : m_deployment.options.pools)
        addTasks(pool, allTasksOfPool, Urgency::Normal);
    run(std::chrono::seconds(8));
    return freeHosts();
}

void PlacementModel::fill(double share, Urgency urgency)
{
    const auto &options = m_deployment.options;
    const double hostsPerPool
        = static_cast<double>(options.hosts) / static_cast<double>(options.pools.size());
    for (const auto &pool : options.pools)
        addTasks(pool, static_cast<unsigned>(hostsPerPool * tasksPerHost * share), urgency);
    run(std::chrono::seconds(8));
}

bool PlacementModel::isExecuting(const std::string &task) const
{
    return std::any_of(m_fleet.workers.begin(), m_fleet.workers.end(),
                       [&](const auto &entry) { return entry.second.isExecuting(task); });
}

bool PlacementModel::survivesRackFailure()
{
    std::map<std::string, std::set<std::string>> tasksOfRack;
    for (const auto &host : m_manifest->hosts) {
        for (const auto &task : m_fleet.workers.at(host.name).executingTasks())
            tasksOfRack[host.rack].insert(task);
    }
    const auto worst = std::max_element(tasksOfRack.begin(), tasksOfRack.end(),
                                        [](const auto &left, const auto &right) {
                                            return left.second.size() < right.second.size();
                                        });
    for (const auto &host : m_manifest->hosts) {
        if (host.rack == worst->first)
            m_fleet.workers.at(host.name).fail(m_now);
    }
    // The leases of the tasks end first, because nobody can tell that they stopped.
    run(std::chrono::minutes(6), longInterval);
    return std::all_of(worst->second.begin(), worst->second.end(),
                       [&](const std::string &task) { return isExecuting(task); });
}

PlacementModel::Moves PlacementModel::movesOfWave(unsigned hosts)
{
    Moves moves;
    moves.tasks = m_starts;
    moves.hosts = hosts;
    apply([](Manifest &manifest) { ++manifest.maintenance.generation; });
    for (const auto &pool : m_manifest->pools) {
        const OperatorCommand command{"start", "measure", "wave", m_now};
        m_driver.commit(
            planWaveCommand(m_driver.view(), pool.name, WaveCommand::Start, command).value(),
            m_now);
    }
    const auto complete = [&] {
        return std::all_of(m_manifest->pools.begin(), m_manifest->pools.end(), [&](const auto &p) {
            const auto &ledger = *m_driver.view().pool(p.name)->record;
            return ledger.wave.state == WaveState::Complete && ledger.permits.empty();
        });
    };
    const auto limit = m_now + std::chrono::minutes(20);
    while (!complete() && m_now < limit)
        tick(longInterval);
    run(std::chrono::seconds(10));
    moves.taskMoves = m_starts - moves.tasks;

    std::map<std::string, std::string> poolOf;
    apply([&](Manifest &manifest) {
        for (unsigned index = 0; index < hosts; ++index)
            manifest.hosts[index].pool = manifest.hosts[index + 1].pool;
    });
    for (const auto &host : m_manifest->hosts)
        poolOf[host.name] = m_driver.view().host(host.name)->record->pool;
    const auto end = m_now + std::chrono::minutes(3);
    while (m_now < end) {
        tick(longInterval);
        for (auto &[name, pool] : poolOf) {
            const auto &current = m_driver.view().host(name)->record->pool;
            moves.hostMoves += current != std::exchange(pool, current) ? 1 : 0;
        }
    }
    return moves;
}

PlacementModel::UrgentStarts PlacementModel::startUrgent(unsigned count)
{
    UrgentStarts result;
    const auto &pools = m_deployment.options.pools;
    std::map<std::string, TimePoint> submitted;
    for (unsigned index = 0; index < count; ++index) {
        // A moment between two passes, so that the wait for the next pass is part of the delay.
        const auto offset = std::chrono::microseconds(m_random.below(100000));
        submitted[taskName(fmt::format("job-{:05}", m_jobs), 0)] = m_now + offset;
        run(passInterval);
        addTasks(pools[m_random.below(pools.size())], 1, Urgency::Urgent);
        run(std::chrono::seconds(1));
    }
    run(std::chrono::seconds(10));
    for (const auto &[task, time] : submitted) {
        const auto started = m_startedAt.find(task);
        if (started == m_startedAt.end())
            ++result.missing;
        else
            result.seconds.push_back(toSeconds(started->second - time));
    }
    std::sort(result.seconds.begin(), result.seconds.end());
    for (const auto &[name, worker] : m_fleet.workers) {
        for (const auto &report : worker.report(m_now).tasks)
            result.stopped += report.state == TaskState::Stopped ? 1 : 0;
    }
    return result;
}

} // namespace Peridot
