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

/// Conditions that every write of a lease row adds, and what a successful write then proves.
struct LeaseGuard
{
    std::vector<RowCheck> checks;
    bool inView = false; ///< the checked view contains this process
};

struct LeaseKeeperSettings
{
    std::string key; ///< row key: "lease/<name>" or "member/<instance>"
    std::string name; ///< name in HeldLease
    std::string holder; ///< instance; unique for each start
    bool deleteOnRelease = false; ///< member rows are removed; lease rows keep their epoch
    MembershipTiming timing;
    MembershipDefects defects;
    /// Whether a holder has certainly ended, for example an earlier process of this host. Its lease
    /// is free at once. Empty: none has.
    std::function<bool(const std::string &holder)> hasEnded = {};
};

/// Acquires, renews and releases one lease row with conditional transactions.
///
/// Expiry needs no common clock. Another process may take the row once it has seen the same row
/// version for the lease duration. The holder counts from the moment it sent the write, and stops
/// the margin earlier. A lost answer is resolved by reading the row, which names its operation.
class LeaseKeeper : public StoreProtocol
{
public:
    /// Value written for a lease row; member rows add their description to it.
    using ValueWriter = std::function<std::string(const LeaseRow &)>;

    explicit LeaseKeeper(LeaseKeeperSettings settings, ValueWriter writer = writeLeaseRow);

    /// Acquire the lease when it is free, and keep it. Ignored after release().
    void setWanted(bool wanted);
    /// Gives the lease up; released() tells when the row shows it.
    void release();
    /// Writes the row at the next opportunity instead of at the renewal period.
    void renewSoon() { m_renewSoon = true; }
    void setGuard(LeaseGuard guard);
    /// Puts a renewal off by up to one renewal period, while a write is under way that checks the
    /// row version of the lease and would conflict with the renewal.
    void setDeferred(bool deferred) { m_deferred = deferred; }

    /// Feeds a row that another part of the process read, for example by a scan.
    void observe(TimePoint now, const Row &row);

    /// The lease, if this process may act under it at \a now. A process that was paused past the
    /// end gets nothing here and so must not act.
    std::optional<HeldLease> held(TimePoint now) const;
    /// Guard of the write that the held lease rests on.
    const LeaseGuard &provenGuard() const { return m_provenGuard; }
    /// When the newest write that is known to have taken effect was sent; its guard held after
    /// that.
    std::optional<TimePoint> provenAt() const { return m_provenAt; }
    /// Whether the row may be acquired now: absent, released or expired.
    bool isFree(TimePoint now) const;
    /// Holder by the newest row seen; empty when free.
    const std::string &observedHolder() const { return m_row.holder; }
    bool released() const { return m_releasing && m_releaseDone && idle(); }
    /// A write failed because a row of the guard changed. Cleared by setGuard().
    bool guardConflict() const { return m_guardConflict; }

protected:
    std::optional<StoreRequest> nextRequest(TimePoint now) override;
    void committed(TimePoint now, const CommitResult &result) override;
    void rowsRead(TimePoint now, const ReadResult &result) override;

private:
    struct Attempt
    {
        LeaseRow row;
        TimePoint sentAt;
        LeaseGuard guard;
        bool release = false;
    };

    std::optional<StoreRequest> releaseRequest(TimePoint now);
    Transaction writeTransaction(TimePoint now, std::uint64_t epoch, bool release);
    void observeRow(TimePoint now, const Row &row);
    void takeEffect(const Attempt &attempt, Version version);
    bool holdsRow() const;

    LeaseKeeperSettings m_settings;
    ValueWriter m_writer;
    LeaseGuard m_guard;
    LeaseGuard m_provenGuard;
    std::optional<TimePoint> m_provenAt;
    LeaseRow m_row;
    Version m_rowVersion = absentVersion;
    TimePoint m_rowSeenAt;
    bool m_rowKnown = false;
    bool m_wanted = false;
    bool m_releasing = false;
    bool m_releaseDone = false;
    bool m_renewSoon = false;
    bool m_deferred = false;
    bool m_mustRead = true;
    bool m_guardConflict = false;
    std::optional<HeldLease> m_held;
    TimePoint m_nextRenewal;
    TimePoint m_notBefore;
    std::uint64_t m_operationCount = 0;
    std::uint64_t m_highestEpoch = 0;
    std::map<std::string, Attempt> m_attempts; ///< writes whose effect is not known, by operation
    std::string m_lastOperation;
};

} // namespace Peridot
