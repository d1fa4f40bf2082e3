#pragma once

#include <Kernel/Jobs/JobScheduler.h>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Peridot::Jobs {

/// Estimated work of one job that arrived.
struct WorkArrival
{
    TimePoint at;
    double milliProcessorSeconds = 0;
    double megabyteSeconds = 0;
};

/// Current resource demand of the tasks of one pool.
struct PoolLoad
{
    TaskSize longRunning; ///< sum over long-running tasks, placed or ready
    TaskSize active; ///< sum over other tasks that are placed
    TaskSize waiting; ///< sum over other tasks that are ready
    /// Work of the waiting tasks: their size times the expected runtime.
    double waitingMilliProcessorSeconds = 0;
    double waitingMegabyteSeconds = 0;
    /// Number of hosts required by the per-worker limits of long-running steps.
    unsigned minimumHosts = 0;
    std::vector<WorkArrival> arrivals; ///< jobs that arrived since the last observation
};

/// Computes the load of each pool from the jobs of the scheduler. Jobs received after \a since are
/// listed as arrivals.
std::map<std::string, PoolLoad> poolLoads(const JobScheduler &scheduler, TimePoint since);

/// Estimates the number of hosts that each pool needs, now and as a peak over a short period.
class PoolDemand
{
public:
    /// Updates the estimate of \a pool. \a hostSize is the capacity of one of its hosts.
    void observe(TimePoint now, const std::string &pool, const PoolLoad &load,
                 const TaskSize &hostSize);
    /// Hosts needed at the last observation; 0 for a pool that was not observed.
    unsigned neededHosts(const std::string &pool) const;
    /// Largest number of hosts needed recently. A pool returns no hosts to the spare pool below it.
    unsigned recentPeakHosts(const std::string &pool) const;

private:
    struct State
    {
        unsigned needed = 0;
        /// Recent needs in descending order; the first is the maximum of the period.
        std::deque<std::pair<TimePoint, unsigned>> recent;
        std::deque<WorkArrival> arrivals; ///< latest jobs, for the rate of arrivals
    };

    static WorkArrival arrivalRate(TimePoint now, std::deque<WorkArrival> &arrivals);

    std::map<std::string, State> m_pools;
};

} // namespace Peridot::Jobs
