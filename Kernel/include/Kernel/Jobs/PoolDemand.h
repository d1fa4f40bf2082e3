#pragma once

#include <Kernel/Jobs/JobScheduler.h>
#include <map>
#include <string>

namespace Peridot::Jobs {

/// What the tasks of one pool need at the moment.
struct PoolLoad
{
    TaskSize lasting; ///< of long-running tasks, placed or not
    TaskSize active; ///< of other tasks that are placed
    TaskSize waiting; ///< of other tasks that are ready
    /// Work of the waiting tasks: processors and memory, each times the estimated runtime.
    double waitingProcessorSeconds = 0; ///< in thousandths of a core
    double waitingMegabyteSeconds = 0;
    unsigned widestSpread
        = 0; ///< hosts that a long-running step needs by its limit for each worker
};

/// Load by pool, from the jobs of the scheduler.
std::map<std::string, PoolLoad> poolLoads(const JobScheduler &scheduler);

/// Wanted number of hosts of each pool over time. A pool grows at once with its load, and shrinks
/// when the smaller number has held for a while, because a host that is moved back and forth costs
/// more than an idle one.
class PoolDemand
{
public:
    /// \a hostSize: capacity of one host of the pool.
    void observe(TimePoint now, const std::string &pool, const PoolLoad &load,
                 const TaskSize &hostSize);
    /// 0 for a pool that was not observed.
    unsigned wantedHosts(const std::string &pool) const;

private:
    struct State
    {
        unsigned wanted = 0;
        unsigned lowerSince = 0; ///< largest smaller number seen since \c lowerFrom
        TimePoint lowerFrom;
        bool lower = false;
    };

    std::map<std::string, State> m_pools;
};

} // namespace Peridot::Jobs
