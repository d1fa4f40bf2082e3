#pragma once

#include <Kernel/Fleet/Reconciler.h>
#include <Kernel/Membership/LeaseRow.h>
#include <Kernel/Membership/MembershipTiming.h>
#include <Kernel/Membership/StoreProtocol.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Peridot {

/// Additional row checks of every write of a lease row. A successful write confirms that they held.
struct LeaseGuard
{
    std::vector<RowCheck> checks;
    bool inView = false; ///< the membership view in the checks contains this process
};

struct LeaseKeeperSettings
{
    std::string key; ///< row key: "lease/<name>" or "member/<instance>"
    std::string name; ///< name in HeldLease
    std::string holder; ///< instance name of this process; unique for each start
    bool deleteOnRelease = false; ///< member rows are removed; lease rows keep their epoch
    MembershipTiming timing;
    MembershipDefects defects;
    /// Whether the process \a holder has certainly ended, for example an earlier process on this
    /// host, so that its lease is free immediately. May be empty.
    std::function<bool(const std::string &holder)> hasEnded = {};
};

/// Acquires, renews and releases one lease row with conditional transactions.
///
/// Expiry needs no synchronised clocks. Another process may acquire the lease after it has observed
/// the same row version for the lease duration. For the holder, the lease begins when it sent the
/// write and ends earlier by a margin. A write with an unknown outcome is resolved by reading the
/// row, which contains the operation id of the write.
class LeaseKeeper : public StoreProtocol
{
public:
    /// Formats the value of the row; member rows add their description to the lease.
    using ValueWriter = std::function<std::string(const LeaseRow &)>;

    explicit LeaseKeeper(LeaseKeeperSettings settings, ValueWriter writer = writeLeaseRow);

    /// Sets whether to acquire the lease when it is free. Has no effect after release().
    void setWanted(bool wanted);
    /// Releases the lease. released() tells when that is done.
    void release();
    /// Releases the lease like release(), but the process may acquire it again later.
    void resign();
    /// Writes the row at the next opportunity instead of at the renewal period.
    void requestRenewal() { m_renewalRequested = true; }
    void setGuard(LeaseGuard guard);
    /// Defers the renewal by up to one renewal period. Used while a write is in flight that checks
    /// the row version of the lease and would conflict with the renewal.
    void setDeferred(bool deferred) { m_deferred = deferred; }

    /// Processes a lease row that another component of the process read, for example by a scan.
    void observe(TimePoint now, const Row &row);

    /// The lease, if this process may act under it at \a now. A process that was suspended past the
    /// end of the lease gets nothing and must not act.
    std::optional<HeldLease> held(TimePoint now) const;
    /// Guard of the latest write by which this process holds the lease.
    const LeaseGuard &confirmedGuard() const { return m_confirmedGuard; }
    /// Send time of the latest write that is known to have taken effect. The checks of its guard
    /// held at some time after that.
    std::optional<TimePoint> confirmedWriteSentAt() const { return m_confirmedWriteSentAt; }
    /// Whether the row may be acquired now: absent, released or expired.
    bool isFree(TimePoint now) const;
    /// Holder according to the latest known row; empty when released.
    const std::string &observedHolder() const { return m_row.holder; }
    bool released() const { return m_releasing && m_releaseDone && idle(); }
    /// Whether a write failed because a row of the guard has changed. Reset by setGuard().
    bool guardConflict() const { return m_guardConflict; }

protected:
    std::optional<StoreRequest> nextRequest(TimePoint now) override;
    void committed(TimePoint now, const CommitResult &result) override;
    void rowsRead(TimePoint now, const ReadResult &result) override;

private:
    /// Write of the row whose outcome is not known yet.
    struct PendingWrite
    {
        LeaseRow row;
        TimePoint sentAt;
        LeaseGuard guard;
        bool release = false;
    };

    std::optional<StoreRequest> releaseRequest(TimePoint now);
    void finishRelease();
    Transaction writeTransaction(TimePoint now, std::uint64_t epoch, bool release);
    void observeRow(TimePoint now, const Row &row);
    /// Updates the state for a write that is known to have taken effect.
    void applyWrite(const PendingWrite &write, Version version);
    /// Whether the latest known row names this process as the holder.
    bool isRowHolder() const;

    LeaseKeeperSettings m_settings;
    ValueWriter m_writer;
    LeaseGuard m_guard;
    LeaseGuard m_confirmedGuard;
    std::optional<TimePoint> m_confirmedWriteSentAt;
    LeaseRow m_row;
    Version m_rowVersion = absentVersion;
    TimePoint m_rowObservedAt; ///< when m_rowVersion was first observed
    bool m_rowKnown = false;
    bool m_wanted = false;
    bool m_releasing = false;
    bool m_releaseDone = false;
    bool m_resigning = false; ///< the release in progress is not final
    bool m_renewalRequested = false;
    bool m_deferred = false;
    bool m_readRequired = true;
    bool m_guardConflict = false;
    std::optional<HeldLease> m_held;
    TimePoint m_nextRenewal;
    TimePoint m_nextRequestAt;
    std::uint64_t m_operationCount = 0;
    std::uint64_t m_highestEpoch = 0;
    std::map<std::string, PendingWrite> m_pendingWrites; ///< by operation id
    std::string m_lastOperation;
};

} // namespace Peridot
