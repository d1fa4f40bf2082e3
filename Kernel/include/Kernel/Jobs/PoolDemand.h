#pragma once

#include <Kernel/Jobs/HostShares.h>
#include <Kernel/Jobs/JobScheduler.h>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Peridot::Jobs {

/// Estimated work of a newly received job: the sizes of its tasks times their expected runtimes.
/// Best-effort steps contribute no processor time.
struct WorkArrival
{
    TimePoint arrivedAt;
    double milliProcessorSeconds = 0;
    double megabyteSeconds = 0;
};

/// Current resource demand of the tasks of one pool. Best-effort tasks contribute no processors.
struct PoolLoad
{
    TaskSize longRunning; ///< total size of the long-running tasks, placed or ready
    TaskSize active; ///< total size of the other tasks that are placed on a worker
    TaskSize waiting; ///< total size of the other tasks that are ready to start
    /// Work of the waiting tasks: their sizes times their expected runtimes.
    double waitingMilliProcessorSeconds = 0;
    double waitingMegabyteSeconds = 0;
    /// Parts of the above that belong to jobs which are late.
    TaskSize lateActive;
    double lateMilliProcessorSeconds = 0;
    double lateMegabyteSeconds = 0;
    unsigned waitingTasks = 0; ///< number of all tasks that are ready to start
    /// Number of hosts that the per-worker limits of long-running steps require.
    unsigned minimumHosts = 0;
    /// The same while as many tasks of each step are out of service as it allows.
    unsigned minimumHostsInMaintenance = 0;
    std::vector<WorkArrival> arrivals; ///< jobs received since the last observation
};

/// Computes the load of each pool from the jobs of the scheduler. Jobs received after \a since are
/// listed as arrivals, except long-running ones.
std::map<std::string, PoolLoad> poolLoads(const JobScheduler &scheduler, TimePoint now,
                                          TimePoint since);

/// Estimates how many hosts each pool needs now and how many it needed at its recent peak.
class PoolDemand
{
public:
    /// Updates the estimate for \a pool. \a hostSize is the capacity of one of its hosts.
    void observe(TimePoint now, const std::string &pool, const PoolLoad &load,
                 const TaskSize &hostSize);
    /// The pool will need \a hosts for a peak that is expected; 0: none is.
    void expect(const std::string &pool, unsigned hosts);
    /// Divides \a hosts between the pools when they need more together.
    void share(unsigned hosts);
    /// Number of hosts needed at the last observation, or the pool's share of them; 0 for a pool
    /// that was never observed.
    unsigned neededHosts(const std::string &pool) const;
    /// Number of hosts for the expected peak, or the pool's share of them.
    unsigned expectedHosts(const std::string &pool) const;
    /// Work that arrives per second, as the number of hosts that it keeps busy.
    double arrivingHosts(const std::string &pool) const;
    /// Number of tasks that were ready to start at the last observation.
    unsigned waitingTasks(const std::string &pool) const;
    /// Number of hosts that maintenance must leave in service for the long-running tasks.
    unsigned minimumHostsInMaintenance(const std::string &pool) const;
    /// Largest number of hosts needed recently. A pool keeps more hosts than this when it returns
    /// idle ones to the spare pool.
    unsigned recentPeakHosts(const std::string &pool) const;

private:
    struct State
    {
        TimePoint observedAt;
        HostNeed need;
        unsigned neededHosts = 0; ///< its share
        unsigned expectedHosts = 0;
        double arrivingHosts = 0;
        unsigned minimumHostsInMaintenance = 0;
        unsigned waitingTasks = 0;
        /// Monotonic queue of the recent needs: the values are in descending order,
        /// so the first one is the peak.
        std::deque<std::pair<TimePoint, unsigned>> recentMaxima;
        std::deque<WorkArrival> arrivals; ///< latest jobs, for the arrival rate
    };

    /// Returns the work that arrives per second; 0 when too few jobs arrived. Removes the arrivals
    /// that are too old for the measurement from \a arrivals.
    static WorkArrival arrivalRate(TimePoint now, std::deque<WorkArrival> &arrivals);

    std::map<std::string, State> m_pools;
};

} // namespace Peridot::Jobs
