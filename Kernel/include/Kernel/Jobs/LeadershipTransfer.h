#pragma once

#include <Kernel/Jobs/LeadershipRows.h>
#include <LibStore/Transaction.h>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Peridot::Jobs {

struct LeadershipTransferTiming
{
    /// A successor that has not loaded the rows after this time is given up.
    Duration preparationLimit = std::chrono::milliseconds(2500);
    /// A successor that was given up is not chosen again for this long.
    Duration avoidancePeriod = std::chrono::seconds(20);
    /// A leader that stops releases the lease after this time, whether there is a successor or not.
    Duration stopLimit = std::chrono::milliseconds(4500);
    /// For this long after it was prepared, only the successor acquires the free lease.
    Duration precedencePeriod = std::chrono::milliseconds(1500);
    /// A leader on a slow host keeps the lease at least for this long.
    Duration minimumTerm = std::chrono::seconds(1);
    /// A successor drops the loaded rows when the lease was not released to it within this time.
    Duration standbyLimit = std::chrono::seconds(6);
};

/// Defects that tests inject to verify that they detect them.
struct LeadershipTransferDefects
{
    bool releaseWithoutSuccessor = false; ///< a leader that stops chooses no successor
    bool keepOnSlowHost = false; ///< a leader on a slow host chooses no faster one
    bool ignoreReservation = false; ///< any process acquires a lease released to a successor
};

/// Plans the transfer of the scheduler lease to a chosen successor: when the leader stops, or when
/// it runs on a slow host and a process on a fast host is up. The leader goes on scheduling while
/// the successor loads the rows of the jobs, and releases the lease when the successor is ready.
/// Runs in every process; it only plans, the lease itself is the matter of LeaseKeeper.
class LeadershipTransfer
{
public:
    struct Hooks
    {
        /// Called on the successor: it should load the rows, and then call prepared().
        std::function<void()> prepare;
        /// Called on the successor: the loaded rows are not needed any more.
        std::function<void()> abandon;
        /// Called on the leader: it must stop scheduling and then release the lease.
        std::function<void()> resign;
        /// Reports a decision, for logs.
        std::function<void(std::string_view kind, const std::string &detail)> observe;
    };

    LeadershipTransfer(std::string instance, double processors, LeadershipTransferTiming timing,
                       Hooks hooks, LeadershipTransferDefects defects = {});

    /// Takes the changed row of a candidate; nothing when it was removed or is malformed.
    void candidateChanged(const std::string &host, std::optional<SchedulerCandidate> candidate);
    void transferRowChanged(TimePoint now, const Row &row);
    /// Sets whether this process holds the lease.
    void setLeading(TimePoint now, bool leading);
    /// Begins the transfer because this process stops. Does nothing when it is not the leader.
    void beginStop(TimePoint now);
    /// The rows are loaded, as hooks.prepare() requested.
    void prepared(TimePoint now);
    /// Chooses a successor when one is needed, and checks the time limits.
    void tick(TimePoint now);

    /// Next write of the transfer row; nothing when there is none or one is in flight.
    std::optional<Transaction> takeTransaction(TimePoint now);
    void transactionFinished(TimePoint now, const CommitResult &result);

    /// Whether this process is the prepared successor and may acquire the free lease at once.
    bool isSuccessor(TimePoint now) const;
    /// Whether the free lease is reserved for another process.
    bool isReservedForOther(TimePoint now) const;

private:
    bool hasPreparedSuccessor(TimePoint now) const;
    void tickLeader(TimePoint now);
    /// Best candidate for the successor. Without a stop, only one on a considerably faster host.
    const SchedulerCandidate *chooseSuccessor(TimePoint now) const;
    bool isEligible(TimePoint now, const SchedulerCandidate &candidate) const;
    void propose(TimePoint now, const SchedulerCandidate &candidate);
    void giveUpSuccessor(TimePoint now);
    void resign(const std::string &reason);
    void observe(std::string_view kind, const std::string &detail) const;

    std::string m_instance;
    double m_processors;
    LeadershipTransferTiming m_timing;
    Hooks m_hooks;
    LeadershipTransferDefects m_defects;
    std::map<std::string, SchedulerCandidate> m_candidates; ///< by host
    std::map<std::string, TimePoint> m_avoidedUntil; ///< by instance
    LeadershipTransferRow m_row;
    Version m_rowVersion = absentVersion;
    TimePoint m_rowSeenAt;
    std::optional<TimePoint> m_leadingSince; ///< nothing: this process is not the leader
    std::optional<TimePoint> m_stopRequestedAt;
    bool m_resigned = false; ///< in the current term as the leader
    std::string m_successor; ///< chosen by this process as the leader; empty: none
    TimePoint m_proposedAt;
    std::optional<TimePoint> m_preparingSince; ///< this process loads rows as the successor
    std::optional<LeadershipTransferRow> m_outgoing; ///< to be written
    std::optional<LeadershipTransferRow> m_inFlight; ///< content of the unanswered write
    TimePoint m_nextWriteAt;
    std::uint64_t m_writeCount = 0; ///< numbers the operation ids of this process
};

} // namespace Peridot::Jobs
