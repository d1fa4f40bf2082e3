#include <Kernel/Jobs/PoolDemand.h>

#include <algorithm>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// Waiting work should be done within this time. A host that is moved needs most of it to come.
constexpr double backlogHorizonSeconds = 2.0;
// A pool that wants this many times the hosts of its long-running tasks has a burst.
constexpr unsigned burstFactor = 2;
// Placement cannot fill hosts to the last core with tasks of several sizes.
constexpr double usableShare = 0.9;
// A pool gives hosts away for good when it had no need for them this long: a host moved out and
// back costs as much as two seconds of an idle one.
constexpr std::chrono::milliseconds shrinkDelay{1200};

double hostsFor(double processors, double megabytes, const TaskSize &hostSize)
{
    const double byProcessors
        = processors
          / (usableShare
             * static_cast<double>(std::max<std::int64_t>(hostSize.milliProcessors, 1)));
    const double byMemory
        = megabytes
          / (usableShare * static_cast<double>(std::max<std::int64_t>(hostSize.megabytes, 1)));
    return std::max(byProcessors, byMemory);
}

void addStep(PoolLoad &load, const StepSpecification &step, const Job::Step &state,
             Duration expectedRuntime)
{
    const auto times = [](const TaskSize &size, unsigned count) {
        return TaskSize{size.milliProcessors * count, size.megabytes * count,
                        size.accelerators * count};
    };
    TaskSize size = step.size;
    if (step.fills)
        size.milliProcessors = 0;
    if (step.longRunning) {
        load.lasting = plus(load.lasting, times(size, state.ready + state.active));
        if (step.maximumPerWorker > 0)
            load.widestSpread = std::max(load.widestSpread, (step.count + step.maximumPerWorker - 1)
                                                                / step.maximumPerWorker);
        return;
    }
    load.active = plus(load.active, times(size, state.active));
    load.waiting = plus(load.waiting, times(size, state.ready));
    const double seconds = toSeconds(expectedRuntime) * state.ready;
    load.waitingMilliProcessorSeconds += static_cast<double>(size.milliProcessors) * seconds;
    load.waitingMegabyteSeconds += static_cast<double>(size.megabytes) * seconds;
}

} // namespace

std::map<std::string, PoolLoad> poolLoads(const JobScheduler &scheduler)
{
    std::map<std::string, PoolLoad> loads;
    for (const auto &[id, job] : scheduler.jobs()) {
        PoolLoad &load = loads[scheduler.poolOf(job)];
        for (const auto &[number, occurrence] : job.occurrences()) {
            for (unsigned step = 0; step < occurrence.steps.size(); ++step)
                addStep(load, job.step(step), occurrence.steps[step],
                        scheduler.expectedRuntime(job, job.step(step)));
        }
    }
    return loads;
}

void PoolDemand::observe(TimePoint now, const std::string &pool, const PoolLoad &load,
                         const TaskSize &hostSize)
{
    State &state = m_pools[pool];
    const double processors
        = static_cast<double>(load.lasting.milliProcessors + load.active.milliProcessors)
          + load.waitingMilliProcessorSeconds / backlogHorizonSeconds;
    const double megabytes = static_cast<double>(load.lasting.megabytes + load.active.megabytes)
                             + load.waitingMegabyteSeconds / backlogHorizonSeconds;
    const auto byLoad = static_cast<unsigned>(std::ceil(hostsFor(processors, megabytes, hostSize)));
    state.needed = std::max(byLoad, load.widestSpread);
    while (!state.recent.empty() && state.recent.back().second <= state.needed)
        state.recent.pop_back();
    state.recent.emplace_back(now, state.needed);
    while (state.recent.front().first < now - shrinkDelay)
        state.recent.pop_front();
    const unsigned quiet
        = std::max(load.widestSpread, static_cast<unsigned>(std::ceil(hostsFor(
                                          static_cast<double>(load.lasting.milliProcessors),
                                          static_cast<double>(load.lasting.megabytes), hostSize))));
    if (state.needed >= burstFactor * std::max(quiet, 1U))
        state.hadBurst = true;
}

unsigned PoolDemand::neededHosts(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.needed;
}

unsigned PoolDemand::lastingNeed(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.recent.front().second;
}

bool PoolDemand::hadBurst(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.hadBurst;
}

} // namespace Peridot::Jobs
