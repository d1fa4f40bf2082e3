#include <Kernel/Jobs/PoolDemand.h>

#include "SchedulerLimits.h"
#include <algorithm>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// A pool needs enough hosts to complete the waiting work within this time. Moving a host into the
// pool takes most of it.
constexpr double backlogHorizonSeconds = 2.0;
// The arrival rate is measured over the shortest window. If that contains fewer than
// minimumArrivals jobs, the window is extended until it does, up to the longest one.
constexpr std::chrono::milliseconds shortestRateWindow{700};
constexpr std::chrono::milliseconds longestRateWindow{2500};
constexpr std::size_t minimumArrivals = 6;
// A rise of the rate shows over this window already, when it is larger than chance explains.
constexpr std::chrono::milliseconds riseWindow{200};
// With fewer arrivals over the shortest window, only a longer time tells a rise from chance.
constexpr std::size_t minimumArrivalsForRise = 14;
// Standard deviations of the number of arrivals by which a rise must exceed the mean.
constexpr double riseDeviations = 1.5;
// Tasks of different sizes cannot be packed onto hosts without leaving some capacity unused.
constexpr double usableFraction = 0.9;
// Period of recentPeakHosts(). A pool returns a host to the spare pool only after it has not needed
// the host for this long, because moving a host out and back costs as much as two seconds of an
// idle host.
constexpr std::chrono::milliseconds peakPeriod{1200};

double hostsFor(double milliProcessors, double megabytes, const TaskSize &hostSize)
{
    const double hostsByProcessors
        = milliProcessors
          / (usableFraction
             * static_cast<double>(std::max<std::int64_t>(hostSize.milliProcessors, 1)));
    const double hostsByMemory
        = megabytes
          / (usableFraction * static_cast<double>(std::max<std::int64_t>(hostSize.megabytes, 1)));
    return std::max(hostsByProcessors, hostsByMemory);
}

/// \a ready is the number of tasks that can start when there is room for them.
void addStepLoad(PoolLoad &load, const StepSpecification &step, const Job::Step &state,
                 unsigned ready, Duration expectedRuntime, bool isLate)
{
    TaskSize size = step.size;
    if (step.bestEffort)
        size.milliProcessors = 0;
    load.waitingTasks += ready;
    if (step.longRunning) {
        load.longRunning = plus(load.longRunning, multiplied(size, ready + state.active));
        if (step.maximumPerWorker == 0)
            return;
        const auto workersFor = [&](unsigned tasks) {
            return (tasks + step.maximumPerWorker - 1) / step.maximumPerWorker;
        };
        const unsigned movable = std::min(step.count, unavailableLimit(step));
        load.minimumHosts = std::max(load.minimumHosts, workersFor(step.count));
        load.minimumHostsInMaintenance
            = std::max(load.minimumHostsInMaintenance, workersFor(step.count - movable));
        return;
    }
    load.active = plus(load.active, multiplied(size, state.active));
    load.waiting = plus(load.waiting, multiplied(size, ready));
    const double seconds = toSeconds(expectedRuntime) * ready;
    const double milliProcessorSeconds = static_cast<double>(size.milliProcessors) * seconds;
    const double megabyteSeconds = static_cast<double>(size.megabytes) * seconds;
    load.waitingMilliProcessorSeconds += milliProcessorSeconds;
    load.waitingMegabyteSeconds += megabyteSeconds;
    if (!isLate)
        return;
    load.lateActive = plus(load.lateActive, multiplied(size, state.active));
    load.lateMilliProcessorSeconds += milliProcessorSeconds;
    load.lateMegabyteSeconds += megabyteSeconds;
}

/// Number of hosts for a load beside which \a rate arrives.
unsigned hostsForLoad(const PoolLoad &load, const WorkArrival &rate, const TaskSize &hostSize)
{
    // Work that arrives at a steady rate of r processor seconds per second keeps r processors busy.
    const auto totalDemand = [](std::int64_t longRunning, std::int64_t active, double arrivalDemand,
                                double waitingWork) {
        return static_cast<double>(longRunning)
               + std::max(static_cast<double>(active), arrivalDemand)
               + waitingWork / backlogHorizonSeconds;
    };
    const double milliProcessors
        = totalDemand(load.longRunning.milliProcessors, load.active.milliProcessors,
                      rate.milliProcessorSeconds, load.waitingMilliProcessorSeconds);
    const double megabytes = totalDemand(load.longRunning.megabytes, load.active.megabytes,
                                         rate.megabyteSeconds, load.waitingMegabyteSeconds);
    const auto hosts
        = static_cast<unsigned>(std::ceil(hostsFor(milliProcessors, megabytes, hostSize)));
    return std::max(hosts, load.minimumHosts);
}

WorkArrival scaled(const WorkArrival &work, double factor)
{
    return {work.arrivedAt, work.milliProcessorSeconds * factor, work.megabyteSeconds * factor};
}

/// Sum of the arrivals after \a time.
WorkArrival sumSince(const std::deque<WorkArrival> &arrivals, TimePoint time)
{
    WorkArrival sum;
    for (const WorkArrival &work : arrivals) {
        if (work.arrivedAt <= time)
            continue;
        sum.milliProcessorSeconds += work.milliProcessorSeconds;
        sum.megabyteSeconds += work.megabyteSeconds;
    }
    return sum;
}

WorkArrival estimatedWorkOf(const JobScheduler &scheduler, const Job &job)
{
    WorkArrival work;
    work.arrivedAt = job.receivedAt;
    for (const auto &step : job.submitted().specification.steps) {
        const double seconds = toSeconds(scheduler.expectedRuntime(job, step)) * step.count;
        if (!step.bestEffort)
            work.milliProcessorSeconds += static_cast<double>(step.size.milliProcessors) * seconds;
        work.megabyteSeconds += static_cast<double>(step.size.megabytes) * seconds;
    }
    return work;
}

} // namespace

std::map<std::string, PoolLoad> poolLoads(const JobScheduler &scheduler, TimePoint now,
                                          TimePoint since)
{
    std::map<std::string, PoolLoad> loads;
    OrganisationUsage usage = scheduler.organisationUsage();
    for (const auto &[id, job] : scheduler.jobs()) {
        PoolLoad &load = loads[scheduler.poolOf(job)];
        // Hosts are of no use to tasks that wait for the quota of their organisation.
        const OrganisationSettings *quota = scheduler.quotaOf(job);
        const bool isBlocked = quota != nullptr && JobScheduler::waitsForQuota(job);
        if (job.receivedAt > since && !job.longRunning() && !isBlocked)
            load.arrivals.push_back(estimatedWorkOf(scheduler, job));
        for (const auto &[number, occurrence] : job.occurrences()) {
            for (unsigned index = 0; index < occurrence.steps.size(); ++index) {
                const StepSpecification &step = job.step(index);
                const Job::Step &state = occurrence.steps[index];
                const std::int64_t ready
                    = quota == nullptr ? state.ready : usage.take(*quota, step.size, state.ready);
                // Most steps have nothing to estimate, which takes logarithms.
                if (ready > 0 || state.active > 0 || step.longRunning)
                    addStepLoad(load, step, state, static_cast<unsigned>(ready),
                                ready > 0 ? scheduler.expectedRuntime(job, step) : Duration{0},
                                scheduler.isLate(now, job));
            }
        }
    }
    return loads;
}

WorkArrival PoolDemand::arrivalRate(TimePoint now, std::deque<WorkArrival> &arrivals)
{
    while (!arrivals.empty() && arrivals.front().arrivedAt < now - longestRateWindow)
        arrivals.pop_front();
    while (arrivals.size() > minimumArrivals
           && arrivals.front().arrivedAt < now - shortestRateWindow)
        arrivals.pop_front();
    if (arrivals.size() < minimumArrivals)
        return {};
    const double seconds
        = std::max(toSeconds(now - arrivals.front().arrivedAt), toSeconds(shortestRateWindow));
    const WorkArrival rate = scaled(sumSince(arrivals, TimePoint::min()), 1 / seconds);
    if (arrivals.size() < minimumArrivalsForRise)
        return rate;
    const TimePoint recent = now - riseWindow;
    const auto count = std::count_if(arrivals.begin(), arrivals.end(),
                                     [&](const auto &work) { return work.arrivedAt > recent; });
    const double certain
        = 1 - riseDeviations / std::sqrt(std::max(static_cast<double>(count), 1.0));
    const WorkArrival least
        = scaled(sumSince(arrivals, recent), std::max(certain, 0.0) / toSeconds(riseWindow));
    return least.milliProcessorSeconds > rate.milliProcessorSeconds ? least : rate;
}

void PoolDemand::expect(const std::string &pool, unsigned hosts)
{
    State &state = m_pools[pool];
    state.need.expected = hosts;
    state.expectedHosts = hosts;
}

void PoolDemand::share(unsigned hosts)
{
    TimePoint latest;
    for (const auto &[pool, state] : m_pools)
        latest = std::max(latest, state.observedAt);
    std::map<std::string, HostNeed> needs;
    for (const auto &[pool, state] : m_pools) {
        if (state.observedAt == latest) // the others have left the configuration
            needs[pool] = state.need;
    }
    for (const auto &[pool, share] : shareHosts(needs, hosts)) {
        State &state = m_pools.at(pool);
        state.neededHosts = std::min(share, state.need.total);
        state.expectedHosts = std::min(state.need.expected, share);
    }
}

void PoolDemand::observe(TimePoint now, const std::string &pool, const PoolLoad &load,
                         const TaskSize &hostSize)
{
    State &state = m_pools[pool];
    state.observedAt = now;
    state.arrivals.insert(state.arrivals.end(), load.arrivals.begin(), load.arrivals.end());
    const WorkArrival rate = arrivalRate(now, state.arrivals);
    PoolLoad inTime = load;
    inTime.active = minus(load.active, load.lateActive);
    inTime.waitingMilliProcessorSeconds -= load.lateMilliProcessorSeconds;
    inTime.waitingMegabyteSeconds -= load.lateMegabyteSeconds;
    state.need.total = hostsForLoad(load, rate, hostSize);
    state.need.inTime = std::min(hostsForLoad(inTime, rate, hostSize), state.need.total);
    state.neededHosts = state.need.total;
    state.arrivingHosts = hostsFor(rate.milliProcessorSeconds, rate.megabyteSeconds, hostSize);
    state.minimumHostsInMaintenance = load.minimumHostsInMaintenance;
    state.waitingTasks = load.waitingTasks;
    while (!state.recentMaxima.empty() && state.recentMaxima.back().second <= state.need.total)
        state.recentMaxima.pop_back();
    state.recentMaxima.emplace_back(now, state.need.total);
    while (state.recentMaxima.front().first < now - peakPeriod)
        state.recentMaxima.pop_front();
}

unsigned PoolDemand::neededHosts(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.neededHosts;
}

unsigned PoolDemand::expectedHosts(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.expectedHosts;
}

double PoolDemand::arrivingHosts(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.arrivingHosts;
}

unsigned PoolDemand::waitingTasks(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.waitingTasks;
}

unsigned PoolDemand::minimumHostsInMaintenance(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.minimumHostsInMaintenance;
}

unsigned PoolDemand::recentPeakHosts(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.recentMaxima.front().second;
}

} // namespace Peridot::Jobs
