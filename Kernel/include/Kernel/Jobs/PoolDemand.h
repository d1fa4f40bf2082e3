#pragma once

#include <Kernel/Jobs/JobScheduler.h>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Peridot::Jobs {

/// Work that came with one job.
struct AddedWork
{
    TimePoint at;
    double milliProcessorSeconds = 0;
    double megabyteSeconds = 0;
};

/// What the tasks of one pool need at the moment.
struct PoolLoad
{
    TaskSize lasting; ///< of long-running tasks, placed or not
    TaskSize active; ///< of other tasks that are placed
    TaskSize waiting; ///< of other tasks that are ready
    /// Work of the waiting tasks: their size times the expected runtime.
    double waitingMilliProcessorSeconds = 0;
    double waitingMegabyteSeconds = 0;
    /// Hosts that the widest long-running step needs, by its limit for each worker.
    unsigned widestSpread = 0;
    std::vector<AddedWork> added; ///< jobs that came since the last observation
};

/// Load by pool, from the jobs of the scheduler. Jobs seen after \a since count as added.
std::map<std::string, PoolLoad> poolLoads(const JobScheduler &scheduler, TimePoint since);

/// Number of hosts that each pool needs, now and over the last moments.
class PoolDemand
{
public:
    /// \a hostSize: capacity of one host of the pool.
    void observe(TimePoint now, const std::string &pool, const PoolLoad &load,
                 const TaskSize &hostSize);
    /// For the load at the last observation; 0 for a pool that was not observed.
    unsigned neededHosts(const std::string &pool) const;
    /// The largest need of the last moments, below which a pool gives no host away for good.
    unsigned lastingNeed(const std::string &pool) const;

private:
    struct State
    {
        unsigned needed = 0;
        std::deque<std::pair<TimePoint, unsigned>> recent; ///< falling needs; the first is largest
        std::deque<AddedWork> arrivals; ///< the newest jobs
    };

    static AddedWork arrivalRate(TimePoint now, std::deque<AddedWork> &arrivals);

    std::map<std::string, State> m_pools;
};

} // namespace Peridot::Jobs
