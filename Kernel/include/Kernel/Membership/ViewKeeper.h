#pragma once

#include <Kernel/Membership/LeaseKeeper.h>
#include <Kernel/Membership/MembershipTracker.h>
#include <optional>
#include <string>

namespace Peridot {

/// Updates the membership view. Runs on the holder of the lease `configuration`. Live members are
/// added; members that are certainly down, or that have neither a lease nor sent heartbeats
/// recently, are removed. A change is settled when a majority of the previous view has acknowledged
/// it; the next change is made only after that.
class ViewKeeper : public StoreProtocol
{
public:
    ViewKeeper(MemberDescription self, MembershipTiming timing, const LeaseKeeper &lease,
               MembershipTracker &tracker);

protected:
    std::optional<StoreRequest> nextRequest(TimePoint now) override;
    void committed(TimePoint now, const CommitResult &result) override;
    void rowsRead(TimePoint now, const ReadResult &result) override;

private:
    /// The current view as settled, if a majority of the previous one has acknowledged it.
    std::optional<MembershipView> settledView(TimePoint now) const;
    /// The next view, if members must be added or removed. Adds the checks and deletions of the
    /// removed member rows to \a transaction.
    std::optional<MembershipView> changedView(TimePoint now, Transaction &transaction) const;
    bool mayRemove(TimePoint now, const std::string &instance) const;

    MemberDescription m_self;
    MembershipTiming m_timing;
    const LeaseKeeper &m_lease;
    MembershipTracker &m_tracker;
    MembershipView m_viewBeingWritten;
    std::uint64_t m_operationCount = 0;
    bool m_readRequired = true;
    TimePoint m_nextRequestAt;
};

} // namespace Peridot
