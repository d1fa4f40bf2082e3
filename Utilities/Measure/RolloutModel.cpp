#include "RolloutModel.h"

#include <Kernel/Fleet/FleetTiming.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace Peridot {

namespace {

constexpr auto passInterval = std::chrono::milliseconds(250);
constexpr auto settleTime = std::chrono::seconds(30);
constexpr auto longestRun = std::chrono::hours(2);
constexpr auto outage = std::chrono::seconds(120);
constexpr double taskCores = 2;
constexpr double taskMemoryGigabytes = 4;
constexpr unsigned tasksPerHost = 3;
constexpr WorkerTiming timing;

} // namespace

RolloutModel::RolloutModel(const RolloutOptions &options)
    : m_options(options),
      m_manifest(std::make_shared<Manifest>(makeManifest(options.deployment.options))),
      m_fleet(*m_manifest, timing),
      m_driver("measure", m_table, m_fleet,
               FleetDriver::standardReconcilers("peridot", options.order)),
      m_random(options.seed), m_now(TimePoint(std::chrono::hours(1000)))
{
    if (m_options.oneAtATime) {
        for (auto &pool : m_manifest->pools)
            pool.availabilityBudget = 1;
    }
    for (const auto &pool : m_manifest->pools) {
        const auto hosts = std::count_if(m_manifest->hosts.begin(), m_manifest->hosts.end(),
                                         [&](const auto &host) { return host.pool == pool.name; });
        for (unsigned index = 0; index < hosts * tasksPerHost; ++index)
            m_manifest->jobs.push_back(makeJob(fmt::format("{}-{:03}", pool.name, index), pool.name,
                                               1, {taskCores, taskMemoryGigabytes, 0}));
    }
    m_fleet.behaviourOf = [](const std::string &) {
        return TaskBehaviour{{taskCores, taskMemoryGigabytes, 0}, {}, false};
    };
    m_driver.setManifest(m_manifest, 1);
    m_driver.acquireLeases(m_now);
}

void RolloutModel::tick()
{
    m_now += passInterval;
    m_fleet.advance(m_now);
    m_driver.pass(m_now);
    for (auto &[name, worker] : m_fleet.workers)
        m_starts += static_cast<unsigned>(worker.takeStarted().size());
}

void RolloutModel::startWaves()
{
    const auto &pools = m_manifest->pools;
    const auto startOne = [&](const std::string &pool) {
        const OperatorCommand command{"start", "measure", "wave", m_now};
        m_driver.commit(planWaveCommand(m_driver.view(), pool, WaveCommand::Start, command).value(),
                        m_now);
    };
    if (!m_options.oneAtATime) {
        for (; m_nextPool < pools.size(); ++m_nextPool)
            startOne(pools[m_nextPool].name);
        return;
    }
    if (m_nextPool == pools.size())
        return;
    const bool formerDone = m_nextPool == 0
                            || m_driver.view().pool(pools[m_nextPool - 1].name)->record->wave.state
                                   == WaveState::Complete;
    if (formerDone)
        startOne(pools[m_nextPool++].name);
}

void RolloutModel::planFailures()
{
    // All failures begin while a wave at the budget is under way.
    const auto window = static_cast<std::uint64_t>(lowerBound(false) * 0.6);
    std::set<std::string> chosen;
    while (chosen.size() < m_options.failures)
        chosen.insert(m_manifest->hosts[m_random.below(m_manifest->hosts.size())].name);
    for (const auto &host : chosen) {
        const auto start = m_now + std::chrono::seconds(m_random.below(window));
        m_failures.push_back({host, start, start + outage});
    }
}

void RolloutModel::applyFailures()
{
    for (const auto &failure : m_failures) {
        auto &worker = m_fleet.workers.at(failure.host);
        if (m_now >= failure.start && m_now < failure.end && !worker.isDown()) {
            if (m_driver.view().host(failure.host)->record->generation > 0)
                m_doneBeforeFailure.insert(failure.host);
            worker.fail(m_now);
        }
        if (m_now >= failure.end)
            worker.recover();
    }
}

bool RolloutModel::isDone() const
{
    return std::all_of(m_manifest->hosts.begin(), m_manifest->hosts.end(), [&](const auto &host) {
        const auto &record = *m_driver.view().host(host.name)->record;
        return record.generation == m_manifest->maintenance.generation
               && record.state == HostState::Active;
    });
}

void RolloutModel::observe(RolloutResult &result)
{
    std::set<std::string> racks;
    for (const auto &[name, pool] : m_driver.view().pools()) {
        const auto &ledger = *pool.record;
        result.mostUnavailable = std::max(result.mostUnavailable, ledger.permits.size());
        for (const auto &[host, permit] : ledger.permits)
            racks.insert(m_driver.view().host(host)->record->rack);
    }
    result.mostRacks = std::max(result.mostRacks, racks.size());
}

double RolloutModel::lowerBound(bool countOutages) const
{
    const double reboot = toSeconds(timing.reboot) + toSeconds(returnDelay);
    const double drain = toSeconds(routingDelay) + toSeconds(m_manifest->services.front().deadline);
    double bound = 0;
    for (const auto &pool : m_manifest->pools) {
        std::vector<double> busy;
        double latest = 0;
        for (const auto &host : m_manifest->hosts) {
            if (host.pool != pool.name)
                continue;
            const auto failure
                = std::find_if(m_failures.begin(), m_failures.end(),
                               [&](const Failure &entry) { return entry.host == host.name; });
            if (failure == m_failures.end()) {
                busy.push_back(drain + reboot);
                continue;
            }
            // A failed host uses the budget. Permits granted before the failure could be noticed
            // may run beside it; from then on the outage takes the place of a permit. A host that
            // failed is empty and needs no drain.
            const bool doneBefore = m_doneBeforeFailure.contains(host.name);
            const double beside = toSeconds(suspectAfter) + drain + reboot;
            const double outageUse = std::max(0.0, toSeconds(outage) - beside);
            busy.push_back((doneBefore ? drain + reboot : reboot)
                           + (countOutages ? outageUse : 0.0));
            if (!doneBefore)
                latest = std::max(latest, toSeconds(failure->end - m_start) + reboot);
        }
        double sum = 0;
        for (const double seconds : busy)
            sum += seconds;
        bound = std::max({bound, latest, sum / m_options.deployment.options.budget});
    }
    return bound;
}

RolloutResult RolloutModel::run()
{
    const auto settled = m_now + settleTime;
    while (m_now < settled)
        tick();
    RolloutResult result;
    result.tasks = static_cast<unsigned>(m_manifest->jobs.size());
    m_manifest = std::make_shared<Manifest>(*m_manifest);
    m_manifest->maintenance.generation = 1;
    m_driver.setManifest(m_manifest, 2);
    m_start = m_now;
    planFailures();
    while (!result.finished && m_now - m_start < longestRun) {
        startWaves();
        applyFailures();
        tick();
        observe(result);
        result.finished
            = isDone() && m_nextPool == m_manifest->pools.size()
              && std::all_of(m_failures.begin(), m_failures.end(),
                             [&](const Failure &failure) { return m_now >= failure.end; });
    }
    result.seconds = toSeconds(m_now - m_start);
    result.lowerBoundSeconds = lowerBound(false);
    result.outageBoundSeconds = lowerBound(true);
    result.taskMoves = m_starts - std::min(m_starts, result.tasks);
    for (const auto &[name, worker] : m_fleet.workers)
        result.cutTasks += worker.cutTasks();
    return result;
}

} // namespace Peridot
