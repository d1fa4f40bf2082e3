#pragma once

#include <Kernel/Jobs/AdmissionLimits.h>
#include <Kernel/Jobs/OrganisationArrivals.h>
#include <Kernel/Jobs/OrganisationShares.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Peridot::Jobs {

/// Short tasks of one queue that have not started yet, and what their jobs can bear.
struct QueueBacklog
{
    std::string pool;
    unsigned priority = 0; ///< 0 is the highest
    std::uint64_t waitingTasks = 0;
    std::uint64_t overdueTasks = 0; ///< of them, those of late jobs, which come after new ones
    /// Time for which an average job of the queue can wait before its result is of no use.
    Duration tolerableWait{0};
    std::uint64_t acceptedTasks = 0; ///< since the scheduler began, whether they wait or not
    std::map<std::string, OrganisationBacklog> organisations = {}; ///< by name (empty: none)
    /// Waiting tasks of jobs beyond the rates of their organisations, which start
    /// after the others of the same priority.
    std::uint64_t outOfProfileTasks = 0;
};

/// The load of all pools at one time.
struct SchedulerDemand
{
    std::map<std::string, QueueBacklog> queues; ///< by name
    std::map<std::string, std::uint64_t> startedTasks; ///< by pool, since the scheduler began
    /// Jobs per second of the organisations with a rate, by name. Empty: organisations don't count.
    std::map<std::string, double> weights = {};
    /// The scheduling process is behind, so that it limits the rate of starts, and not the room.
    bool schedulerIsBehind = false;
    /// The store does not take the rows that come before starts. The rate of starts tells nothing.
    bool startsAreBlocked = false;
};

/// Decides which share of the jobs of each queue is accepted. A job that would start too late,
/// going by what waits before it and by the rate at which its pool starts tasks, is better refused
/// at once than accepted, kept waiting and done in vain: the pattern is load shedding by the
/// expected time in the queue, not by its length. The share is the rate of starts divided by the
/// rate at which jobs are handed in, corrected by how far the expected wait is from its target. So
/// it needs no time to find its level, and refuses nothing while there is room. Where organisations
/// have rates, those that submit more are refused first (divideShare()).
class AdmissionControl
{
public:
    /// \a limits are in force already, from an earlier scheduler.
    explicit AdmissionControl(const AdmissionLimits &limits = {});

    /// Takes the load at \a now and returns the limits in force from now on.
    const AdmissionLimits &update(TimePoint now, const SchedulerDemand &demand);

private:
    struct Sample
    {
        TimePoint time;
        std::uint64_t startedTasks = 0;
    };
    /// What was handed in to a queue.
    struct Arrivals
    {
        std::optional<std::uint64_t> acceptedTasks; ///< at the latest update
        double offeredRate = 0; ///< tasks per second, accepted or not
        OrganisationArrivals organisations;
        std::deque<QueueShares> shares; ///< the latest ones; the first is in force
    };
    /// Tasks that the pool starts per second; nothing while it is not known.
    std::optional<double> startRate(const std::string &pool) const;
    void addSample(TimePoint now, const SchedulerDemand &demand, const std::string &pool);
    static void addArrivals(Duration elapsed, const SchedulerDemand &demand,
                            const QueueBacklog &backlog, Arrivals &arrivals);
    /// Takes what the organisations submit to all queues together.
    void updateRates(Duration elapsed, const SchedulerDemand &demand);
    /// Share for which as much is accepted as is started, more or less when \a wait differs from
    /// \a target (seconds). \a starts is the number of tasks per second.
    static double nextShare(const Arrivals &arrivals, double starts, double wait, double target);
    /// Adapts the share of the queue; an unknown rate of starts leaves it as it is.
    void limit(Duration elapsed, const SchedulerDemand &demand, const std::string &name,
               const QueueBacklog &queue);
    /// Divides the share of the queue among the organisations. \a shareWithinRates is the share of
    /// all that those within their rates may be accepted up to.
    QueueShares divide(const SchedulerDemand &demand, const Arrivals &arrivals, double share,
                       double shareWithinRates) const;

    /// Samples of each pool since tasks began to wait there without a break.
    std::map<std::string, std::deque<Sample>> m_samples;
    std::map<std::string, Arrivals> m_arrivals; ///< by queue
    OrganisationRates m_rates;
    std::optional<TimePoint> m_updatedAt;
    AdmissionLimits m_limits;
};

} // namespace Peridot::Jobs
