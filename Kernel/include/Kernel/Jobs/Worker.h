#pragma once

#include <Kernel/Jobs/RunFailures.h>
#include <Kernel/Jobs/WorkerRuns.h>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Peridot::Jobs {

/// An ended run that was processed. It is stored with the row of its job after \a change.
struct UnstoredEnd
{
    std::string job;
    std::uint64_t change = 0; ///< number of changes of the job with this end
};

/// Lease end in an order.
struct LeaseExtension
{
    std::int64_t incarnation = 0; ///< of the worker whose clock it was computed with
    WorkerClock end = 0;
};

/// Scheduler state of one worker: its clock, leases, runs, and the sequence numbers of the ended
/// runs that were processed, stored and acknowledged. Apart from the description, it is built up
/// from the first successful poll of this process under its epoch.
class Worker
{
public:
    explicit Worker(WorkerDescription newDescription) : description(std::move(newDescription)) { }

    /// Discards the state of the previous incarnation of the worker, except its runs. Orders that
    /// were meant for the previous one may have given the new one leases until \a leasesEnd.
    void beginIncarnation(std::int64_t startedAt, TimePoint leasesEnd);

    /// Takes the later incarnation of an entry of the list. Until the worker has confirmed or
    /// refuted it, it gets no new runs, and it is polled without delay.
    void announceIncarnation(TimePoint now, std::int64_t startedAt);

    /// Lets the next poll be sent now, beside the one in flight.
    void pollAgain(TimePoint now);

    void updateClock(WorkerClock clock, TimePoint receivedAt);
    /// Returns a lease end \a length from now on the clock of the worker, and raises leasesEnd()
    /// accordingly. Requires clockKnown().
    WorkerClock extendLease(TimePoint now, Duration length);
    /// Upper bound of all lease ends sent to the worker. No run is active there after this time.
    TimePoint leasesEnd() const { return m_leasesEnd; }
    /// Raises leasesEnd() to cover leases that a previous scheduler may have extended.
    void assumeLeasesUntil(TimePoint end);
    /// Raises leasesEnd() when the order with \a extension, which ended with \a reply, may have
    /// reached a later incarnation than it was meant for. The clock of that one starts anew, so
    /// that only \a maximumLease limits the lease that it grants.
    void extensionEnded(TimePoint now, const LeaseExtension &extension, const OrderReply &reply,
                        Duration maximumLease);
    /// The current incarnation has answered a poll that was sent at \a sentAt.
    void confirmIncarnation(TimePoint sentAt);

    /// Highest number up to which no ended run is one for which \a isUnstored.
    std::uint64_t
    endsStoredUpTo(const std::function<bool(const UnstoredEnd &end)> &isUnstored) const;
    /// Marks the ended runs up to \a number as stored.
    void markEndsStored(std::uint64_t number);

    /// A start or stop order was not answered.
    void orderUnanswered(TimePoint now);
    /// An order was answered, or the worker has shown that it carried one out.
    void orderArrived() { m_unansweredOrders = 0; }
    /// Whether many orders in a row were not answered, and none has shown an effect.
    bool leavesOrdersUnanswered() const;
    /// The same for so long that the worker is taken to receive none, although it answers polls.
    /// One that is slow answers some orders, or carries them out late.
    bool receivesNoOrders(TimePoint now) const;

    bool hasLabel(const std::string &label) const;
    bool clockKnown() const { return m_clockKnown; }
    /// Takes the clock that \a other knows when it is the same incarnation of the worker.
    void takeClock(const Worker &other);
    TaskSize freeCapacity() const { return minus(description.capacity, runs.reserved()); }
    /// Whether runs that the scheduler does not know, and whose size it does not know, use
    /// capacity.
    bool hasOrphanedRuns() const { return !orphanedRuns.empty(); }
    /// Whether the next poll shows which runs of an earlier incarnation the current one has.
    bool nextPollDecidesRuns() const;
    /// Whether the worker runs both best-effort tasks and tasks with a latency target, which the
    /// former may slow down.
    bool hasBestEffortBesideServing() const;

    /// Whether the description was read from an entry of the current incarnation. One that is known
    /// from a poll only may differ in labels, capacity and pool.
    bool isDescribed() const { return describedIncarnation == description.startedAt; }

    WorkerDescription description;
    std::int64_t describedIncarnation = 0; ///< whose entry the description was read from
    bool listed = true; ///< the platform's latest list contains the worker
    bool incarnationReported = false; ///< by a reply of the worker, not by the list only
    TimePoint incarnationListedAt; ///< when the list showed the incarnation that is not reported
    std::int64_t announcedIncarnation = 0; ///< later one in the list, in doubt; 0: none
    TimePoint announcedAt; ///< when the list showed announcedIncarnation
    std::int64_t refutedIncarnation = 0; ///< of a wrong entry of the list; 0: none
    bool contacted = false; ///< the current incarnation answered a poll under the current epoch
    TimePoint contactedSince; ///< when it answered the first such poll
    bool unschedulable = false; ///< gets no new runs: its host will be maintained or moved
    /// Its long-running tasks are stopped although no other worker has room for them.
    bool mustBeEmptied = false;
    WorkerRuns runs;
    /// Runs of jobs that the scheduler does not know, with the time of the next stop order.
    std::map<RunName, TimePoint> orphanedRuns;
    /// Processed ended runs that are not marked as stored yet, by number.
    std::map<std::uint64_t, UnstoredEnd> unstoredEnds;
    std::uint64_t processedEnds = 0; ///< highest number of an ended run that was processed
    std::uint64_t durableEnds = 0; ///< ended runs up to this number are stored in rows
    std::uint64_t acknowledgedEnds = 0; ///< ended runs up to this number were acknowledged
    bool pollInFlight = false;
    unsigned failedPolls = 0; ///< consecutive failed polls; 0 after a success
    TimePoint nextPoll; ///< earliest time of the next poll
    TimePoint lastPoll; ///< when the latest poll was sent
    TimePoint lastContact; ///< when the latest successful poll was answered
    TimePoint avoidUntil; ///< gets no new runs before this time
    RunFailures failures; ///< of this incarnation, since its last success
    TimePoint nextProbe; ///< earliest time of the next run while the worker is quarantined

private:
    unsigned m_unansweredOrders = 0; ///< since the last one that has arrived
    TimePoint m_unansweredSince; ///< when the first of them ended
    bool m_clockKnown = false;
    /// When the latest poll was sent that the current incarnation has answered.
    std::optional<TimePoint> m_confirmedAt;
    WorkerClock m_clock = 0; ///< latest time that the worker reported
    TimePoint m_clockReceivedAt;
    TimePoint m_leasesEnd;
};

} // namespace Peridot::Jobs
