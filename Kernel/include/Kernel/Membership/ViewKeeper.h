#pragma once

#include <Kernel/Membership/LeaseKeeper.h>
#include <Kernel/Membership/MembershipTracker.h>
#include <optional>
#include <string>

namespace Peridot {

/// Changes the membership view at the holder of the lease `configuration`. Live members are added;
/// members that are gone, or silent without a lease, are removed. A change is settled once a
/// majority of the previous view has acknowledged it; only then may the next one be made.
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
    TimePoint m_notBefore;
};

} // namespace Peridot
