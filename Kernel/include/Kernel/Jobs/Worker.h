#pragma once

#include <Kernel/Jobs/WorkerRuns.h>
#include <map>
#include <optional>
#include <string>

namespace Peridot::Jobs {

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
    TaskSize free() const { return minus(description.capacity, runs.reserved()); }
    /// Whether runs of unknown size occupy it.
    bool hasForeignRuns() const { return !foreignRuns.empty(); }
    /// Whether tasks that fill may disturb tasks with a latency target.
    bool hasFillersBesideServing() const;

    WorkerDescription description;
    bool listed = true; ///< by the platform's newest list
    bool seen = false; ///< looked at under the current epoch in its current life
    bool reserved = false; ///< gets no further runs, because its host is to be maintained or moved
    WorkerRuns runs;
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
