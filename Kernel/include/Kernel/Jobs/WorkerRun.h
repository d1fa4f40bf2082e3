#pragma once

#include <Kernel/Jobs/WorkerOrders.h>
#include <LibBase/Time.h>
#include <optional>

namespace Peridot::Jobs {

enum class RunPhase {
    Recording, ///< placed; the start order waits until the placement is durable
    Starting, ///< a start order is due or in flight
    Running,
    Stopping, ///< a stop was ordered; holds its capacity until the worker reports the end
};

constexpr auto runPhaseNames = makeEnumTable<RunPhase>({
    {RunPhase::Recording, "recording"},
    {RunPhase::Starting, "starting"},
    {RunPhase::Running, "running"},
    {RunPhase::Stopping, "stopping"},
});

/// A run that holds capacity on a worker, as far as this process knows.
struct WorkerRun
{
    RunPhase phase = RunPhase::Recording;
    TaskSize reserved; ///< of the worker's capacity
    std::string organisation; ///< against whose quota the run counts; empty: none
    TaskSize charged; ///< to the quota
    bool longRunning = false; ///< its task runs until its job is cancelled
    bool orderInFlight = false;
    /// An earlier start order was not answered and may still take effect.
    bool earlierOrderUnanswered = false;
    bool stopAccepted = false;
    /// The worker started again after the run was ordered. Its current incarnation may have the run
    /// as well, until a poll has shown whether it does.
    bool fromEarlierIncarnation = false;
    unsigned ordersSent = 0; ///< orders sent in this phase
    TimePoint nextOrderAt; ///< earliest time of the next order
    /// The worker knew the run at this time. When a later poll does not list it, it has ended.
    std::optional<TimePoint> confirmedAt;
    unsigned progressPercent = 0; ///< of a long-running task, 100: in service
    TimePoint createdAt; ///< when the run was placed, or restored from the row of its job
    TimePoint progressChangedAt; ///< when progressPercent changed
    std::optional<Duration> latency; ///< of a serving task, from the latest poll
    Duration latencyTarget{0}; ///< 0: not a serving task
    bool bestEffort = false;
    unsigned throttlePercent = 100; ///< share of its processor time that the run may use
    bool throttleConfirmed = true; ///< the worker accepted the order for throttlePercent
    TimePoint nextThrottle; ///< earliest time of the next throttle order

    bool wasOrdered() const
    {
        return phase != RunPhase::Recording && (phase != RunPhase::Starting || ordersSent > 0);
    }
    /// Whether the worker may accept a start order from now on that it did not have before.
    bool mayStillStart() const
    {
        const bool startInFlight = orderInFlight && phase != RunPhase::Stopping;
        return startInFlight || (earlierOrderUnanswered && !stopAccepted);
    }
    /// Whether the next poll shows if the current incarnation of the worker has the run.
    bool isDecidedByNextPoll() const
    {
        return fromEarlierIncarnation && confirmedAt && !mayStillStart();
    }
    bool isOverTarget() const { return latencyTarget.count() > 0 && latency > latencyTarget; }
    /// Whether the latency is so close to the target that best-effort tasks on the same worker
    /// should not use more processor time.
    bool isNearTarget() const
    {
        return latencyTarget.count() > 0 && latency > latencyTarget * 3 / 4;
    }
};

} // namespace Peridot::Jobs
