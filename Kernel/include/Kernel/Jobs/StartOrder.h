#pragma once

#include <Kernel/Jobs/Job.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <vector>

namespace Peridot::Jobs {

/// A job with ready tasks, and what decides when they start.
struct WaitingJob
{
    Job *job = nullptr;
    unsigned priority = 0; ///< 0 is the highest
    bool isInProfile = true; ///< its organisation has not submitted more than its rate
    /// What its organisation uses of the fleet, divided by the weight of the organisation. Decides
    /// among jobs that are out of profile.
    double weightedShare = 0;
    bool isLongRunning = false; ///< or periodic: never put back for its deadline
    TimePoint waitingSince;
    TimePoint deadline; ///< from the latency objective of the queue
    TimePoint uselessAfter; ///< from then on the result counts for nothing
    Duration remainingRuntime{0}; ///< of the critical path, from now on
    /// Of all tasks that are not done: thousandths of a core times seconds.
    double remainingWork = 0;
};

/// Sorts the jobs of one pool in the order in which their tasks are started. \a milliProcessors is
/// the capacity of the pool.
void sortForStart(TimePoint now, std::int64_t milliProcessors, std::vector<WaitingJob> &jobs);

} // namespace Peridot::Jobs
