#pragma once

#include <Kernel/Jobs/WorkerOrders.h>
#include <map>
#include <optional>
#include <string>

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

/// What the scheduler knows of one worker: its clock, its leases, its runs, and the numbers of its
/// ends. The knowledge begins with the first look of this process under its epoch.
class Worker
{
public:
    explicit Worker(WorkerDescription newDescription) : description(std::move(newDescription)) { }

    /// Forgets everything of the former life of the worker.
    void beginLife(std::int64_t startedAt);

    void noteClock(WorkerClock clock, TimePoint receivedAt);
    /// Lease end that lies \a length ahead on the clock of the worker, and notes that it was asked
    /// for. Only for a worker whose clock is known.
    WorkerClock extendLease(TimePoint now, Duration length);
    /// Nothing that this process ordered runs on the worker after this time.
    TimePoint leasesEnd() const { return m_leasesEnd; }
    /// Bound for the leases that an earlier process may have asked for.
    void assumeLeasesUntil(TimePoint end);

    bool hasLabel(const std::string &label) const;
    bool clockKnown() const { return m_clockKnown; }
    TaskSize used() const;
    TaskSize free() const { return minus(description.capacity, used()); }
    /// Whether runs of unknown size occupy it.
    bool hasForeignRuns() const { return !foreignRuns.empty(); }
    /// Whether tasks that fill may disturb tasks with a latency target.
    bool hasFillersBesideServing() const;

    WorkerDescription description;
    bool listed = true; ///< by the platform's newest list
    bool seen = false; ///< looked at under the current epoch in its current life
    bool reserved = false; ///< gets no further runs, because its host is to be maintained or moved
    std::map<RunName, WorkerRun> runs;
    std::map<RunName, TimePoint> foreignRuns; ///< of unknown jobs; stopped since
    std::uint64_t processedEnds = 0; ///< number of the newest end that was processed
    std::uint64_t durableEnds = 0; ///< ends up to this number are in the rows
    std::uint64_t acknowledgedEnds = 0; ///< sent to the worker and accepted
    bool lookInFlight = false;
    unsigned failedLooks = 0; ///< in succession
    TimePoint nextLook;
    TimePoint lastLook; ///< sent
    TimePoint lastSeen; ///< answered a look
    TimePoint avoidUntil; ///< gets no new runs before
    unsigned failedRunsInSuccession = 0; ///< of different tasks, without a success between

private:
    bool m_clockKnown = false;
    WorkerClock m_clock = 0;
    TimePoint m_clockReceivedAt;
    TimePoint m_leasesEnd;
};

} // namespace Peridot::Jobs
