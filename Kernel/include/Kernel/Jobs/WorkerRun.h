#pragma once

#include <Kernel/Jobs/WorkerOrders.h>
#include <LibBase/Time.h>
#include <optional>

namespace Peridot::Jobs {

enum class RunPhase {
    Recording, ///< chosen; its start waits until the choice is durable
    Starting, ///< a start order was sent and is not answered
    Running,
    Stopping, ///< occupies the worker until its end is listed
};

constexpr auto runPhaseNames = makeEnumTable<RunPhase>({
    {RunPhase::Recording, "recording"},
    {RunPhase::Starting, "starting"},
    {RunPhase::Running, "running"},
    {RunPhase::Stopping, "stopping"},
});

/// A run that occupies a worker, as far as this process knows.
struct WorkerRun
{
    RunPhase phase = RunPhase::Recording;
    TaskSize reserved;
    bool orderInFlight = false;
    bool orderedBefore = false; ///< an earlier order had no answer, so that it may yet take effect
    bool stopAccepted = false;
    unsigned attempts = 0; ///< orders sent in this phase
    TimePoint nextAttempt; ///< not before
    /// The worker knew the run at this time; a later look that does not list it proves its end.
    std::optional<TimePoint> confirmedAt;
    unsigned percent = 0; ///< 100: at work
    TimePoint createdAt; ///< chosen, or restored from its row
    TimePoint changedAt; ///< of the percent
    std::optional<Duration> latency; ///< of a serving task, by the newest look
    Duration latencyTarget{0}; ///< 0: none
    bool fills = false;
    unsigned pace = 100; ///< percent that the run may use
    TimePoint nextPace; ///< not before

    bool isOverTarget() const { return latencyTarget.count() > 0 && latency > latencyTarget; }
    /// So close to the target that tasks beside it should not use more.
    bool isNearTarget() const
    {
        return latencyTarget.count() > 0 && latency > latencyTarget * 3 / 4;
    }
};

} // namespace Peridot::Jobs
