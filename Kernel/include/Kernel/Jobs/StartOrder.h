#pragma once

#include <Kernel/Jobs/Job.h>
#include <LibBase/Time.h>
#include <optional>
#include <vector>

namespace Peridot::Jobs {

/// A job with ready tasks, and what decides when they start.
struct WaitingJob
{
    Job *job = nullptr;
    /// Each of its tasks needs at least this much. Only known when it requires no label.
    std::optional<TaskSize> smallestTask = {};
    unsigned priority = 0; ///< 0 is the highest
    bool isInProfile = true; ///< its organisation has not submitted more than its rate
    /// What its organisation uses of the fleet, divided by the weight of the organisation. Decides
    /// among jobs that are out of profile.
    double weightedShare = 0;
    bool isLongRunning = false; ///< has no deadline
    TimePoint waitingSince;
    /// Latest time at which the remaining tasks can start for the job to meet its objective.
    TimePoint latestStart;
    /// The same for a result that is of any use to the caller.
    TimePoint latestUsefulStart;
    /// Time for which the whole pool would be busy with the tasks that have not started.
    Duration poolTime{0};
};

/// Sorts the jobs of one pool in the order in which their tasks are started, so that delays fall on
/// the callers whom they cost least. The pattern is a pool that is asked for more than it holds,
/// where earliest deadline first makes most jobs late. \a busyTime is the time that the pool needs
/// to end what runs now.
///
/// In this order: jobs whose result can still be of use before the others, by priority, those in
/// profile first, and among these
/// - jobs that meet their objective, by their latest start. When the pool can't do all of them in
///   time, the jobs that take most of it are put back until the others are in time, which leaves
///   the fewest late ones (Moore and Hodgson, 1968);
/// - jobs that were put back, the smallest first;
/// - jobs that are late, in the order of their arrival.
/// A job that has waited for very long goes first among those of its priority and profile, so that
/// each of them ends. Equal jobs stay in the given order.
void sortForStart(TimePoint now, Duration busyTime, std::vector<WaitingJob> &jobs);

} // namespace Peridot::Jobs
