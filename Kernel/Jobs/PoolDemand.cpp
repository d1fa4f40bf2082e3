#include <Kernel/Jobs/PoolDemand.h>

#include <algorithm>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// Waiting work should be done within this time. A host that is moved needs most of it to come.
constexpr double backlogHorizonSeconds = 2.0;
// The rate of arrivals is taken over this time, or longer until it holds enough jobs.
constexpr std::chrono::milliseconds shortestWindow{700};
constexpr std::chrono::milliseconds longestWindow{2500};
constexpr std::size_t leastArrivals = 6;
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
    if (step.bestEffort)
        size.milliProcessors = 0;
    if (step.longRunning) {
        load.longRunning = plus(load.longRunning, times(size, state.ready + state.active));
        if (step.maximumPerWorker > 0)
            load.minimumHosts = std::max(load.minimumHosts, (step.count + step.maximumPerWorker - 1)
                                                                / step.maximumPerWorker);
        return;
    }
    load.active = plus(load.active, times(size, state.active));
    load.waiting = plus(load.waiting, times(size, state.ready));
    const double seconds = toSeconds(expectedRuntime) * state.ready;
    load.waitingMilliProcessorSeconds += static_cast<double>(size.milliProcessors) * seconds;
    load.waitingMegabyteSeconds += static_cast<double>(size.megabytes) * seconds;
}

WorkArrival workOf(const JobScheduler &scheduler, const Job &job)
{
    WorkArrival work;
    work.at = job.receivedAt;
    for (const auto &step : job.submitted().specification.steps) {
        const double seconds = toSeconds(scheduler.expectedRuntime(job, step)) * step.count;
        if (!step.bestEffort)
            work.milliProcessorSeconds += static_cast<double>(step.size.milliProcessors) * seconds;
        work.megabyteSeconds += static_cast<double>(step.size.megabytes) * seconds;
    }
    return work;
}

} // namespace

std::map<std::string, PoolLoad> poolLoads(const JobScheduler &scheduler, TimePoint since)
{
    std::map<std::string, PoolLoad> loads;
    for (const auto &[id, job] : scheduler.jobs()) {
        PoolLoad &load = loads[scheduler.poolOf(job)];
        if (job.receivedAt > since && !job.longRunning())
            load.arrivals.push_back(workOf(scheduler, job));
        for (const auto &[number, occurrence] : job.occurrences()) {
            for (unsigned step = 0; step < occurrence.steps.size(); ++step)
                addStep(load, job.step(step), occurrence.steps[step],
                        scheduler.expectedRuntime(job, job.step(step)));
        }
    }
    return loads;
}

WorkArrival PoolDemand::arrivalRate(TimePoint now, std::deque<WorkArrival> &arrivals)
{
    while (!arrivals.empty() && arrivals.front().at < now - longestWindow)
        arrivals.pop_front();
    while (arrivals.size() > leastArrivals && arrivals.front().at < now - shortestWindow)
        arrivals.pop_front();
    if (arrivals.size() < leastArrivals)
        return {};
    WorkArrival sum;
    for (const WorkArrival &work : arrivals) {
        sum.milliProcessorSeconds += work.milliProcessorSeconds;
        sum.megabyteSeconds += work.megabyteSeconds;
    }
    const double seconds
        = std::max(toSeconds(now - arrivals.front().at), toSeconds(shortestWindow));
    return {now, sum.milliProcessorSeconds / seconds, sum.megabyteSeconds / seconds};
}

void PoolDemand::observe(TimePoint now, const std::string &pool, const PoolLoad &load,
                         const TaskSize &hostSize)
{
    State &state = m_pools[pool];
    state.arrivals.insert(state.arrivals.end(), load.arrivals.begin(), load.arrivals.end());
    const WorkArrival rate = arrivalRate(now, state.arrivals);
    // Work that arrives at a steady rate keeps as many processors busy as the rate says.
    const auto needed = [](std::int64_t longRunning, std::int64_t active, double arriving,
                           double waiting) {
        return static_cast<double>(longRunning) + std::max(static_cast<double>(active), arriving)
               + waiting / backlogHorizonSeconds;
    };
    const double processors = needed(load.longRunning.milliProcessors, load.active.milliProcessors,
                                     rate.milliProcessorSeconds, load.waitingMilliProcessorSeconds);
    const double megabytes = needed(load.longRunning.megabytes, load.active.megabytes,
                                    rate.megabyteSeconds, load.waitingMegabyteSeconds);
    const auto byLoad = static_cast<unsigned>(std::ceil(hostsFor(processors, megabytes, hostSize)));
    state.needed = std::max(byLoad, load.minimumHosts);
    while (!state.recent.empty() && state.recent.back().second <= state.needed)
        state.recent.pop_back();
    state.recent.emplace_back(now, state.needed);
    while (state.recent.front().first < now - shrinkDelay)
        state.recent.pop_front();
}

unsigned PoolDemand::neededHosts(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.needed;
}

unsigned PoolDemand::recentPeakHosts(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.recent.front().second;
}

} // namespace Peridot::Jobs
