#pragma once

#include <Kernel/Membership/LeaseKeeper.h>
#include <Kernel/Membership/MembershipTracker.h>
#include <optional>
#include <string>

namespace Peridot {

/// Updates the membership view. Runs on the holder of the lease `configuration`. Live members are
/// added; members that are certainly down, or that have neither a lease nor sent heartbeats
/// recently, are removed. A change is settled when a majority of the previous view has acknowledged
/// it; only then the next change is made.
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
    std::optional<MembershipView> settledView(TimePoint now) const;
    std::optional<MembershipView> changedView(TimePoint now, Transaction &transaction) const;
    bool mayRemove(TimePoint now, const std::string &instance) const;

    MemberDescription m_self;
    MembershipTiming m_timing;
    const LeaseKeeper &m_lease;
    MembershipTracker &m_tracker;
    MembershipView m_written;
    std::uint64_t m_operationCount = 0;
    bool m_mustRead = true;
    TimePoint m_nextRequestAt;
};

} // namespace Peridot
