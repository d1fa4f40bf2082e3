#include <Kernel/Jobs/PoolDemand.h>

#include <algorithm>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// Waiting work should be done within this time: most of the slack in the objective of short jobs.
constexpr double backlogHorizonSeconds = 1.0;
// Placement cannot fill hosts to the last core with tasks of several sizes.
constexpr double usableShare = 0.85;
// A smaller number of hosts is wanted only when it has held this long. A host moved out and back
// costs as much as two seconds of an idle one.
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

void addStep(PoolLoad &load, const StepSpecification &step, const Job::Step &state)
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
    const double seconds = toSeconds(step.estimatedRuntime) * state.ready;
    load.waitingProcessorSeconds += static_cast<double>(size.milliProcessors) * seconds;
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
                addStep(load, job.step(step), occurrence.steps[step]);
        }
    }
    return loads;
}

void PoolDemand::observe(TimePoint now, const std::string &pool, const PoolLoad &load,
                         const TaskSize &hostSize)
{
    const double processors
        = static_cast<double>(load.lasting.milliProcessors + load.active.milliProcessors)
          + load.waitingProcessorSeconds / backlogHorizonSeconds;
    const double megabytes = static_cast<double>(load.lasting.megabytes + load.active.megabytes)
                             + load.waitingMegabyteSeconds / backlogHorizonSeconds;
    const auto byLoad = static_cast<unsigned>(std::ceil(hostsFor(processors, megabytes, hostSize)));
    const unsigned wanted = std::max(byLoad, load.widestSpread);
    State &state = m_pools[pool];
    if (wanted >= state.wanted) {
        state.wanted = wanted;
        state.lower = false;
        return;
    }
    if (!state.lower) {
        state.lower = true;
        state.lowerFrom = now;
        state.lowerSince = wanted;
    }
    state.lowerSince = std::max(state.lowerSince, wanted);
    if (now < state.lowerFrom + shrinkDelay)
        return;
    state.wanted = state.lowerSince;
    state.lower = false;
}

unsigned PoolDemand::wantedHosts(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.wanted;
}

} // namespace Peridot::Jobs
