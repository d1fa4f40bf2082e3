#pragma once

#include <LibBase/Time.h>

namespace Peridot {

/// Periods of the membership protocols. All are durations on the clock of one process, so clocks
/// need not be synchronised; only their rates must agree within the margin.
struct MembershipTiming
{
    Duration leaseDuration = std::chrono::seconds(10);
    Duration leaseRenewal = std::chrono::seconds(3);
    /// The holder stops this much before others may take over: 10% for differences of clock rates.
    Duration leaseMargin = std::chrono::seconds(1);
    /// Pause after a read that was too old for a decision.
    Duration staleRetry = std::chrono::milliseconds(100);
    Duration storeRetry = std::chrono::milliseconds(500); ///< after a store failure
    Duration heartbeat = std::chrono::milliseconds(250);
    /// A peer is in contact for this long after the sending of a heartbeat that it has echoed.
    Duration contactWindow = std::chrono::seconds(1);
    /// Wait between the last required acknowledgement and acceptance: the contact window plus 10%.
    Duration acceptanceDelay = std::chrono::milliseconds(1100);
    Duration configurationPoll = std::chrono::seconds(1);
    /// A process with a lease may serve every request for this long after it sent the last store
    /// call whose answer showed that its version is the latest. The poll period plus 0.5 s for a
    /// slow answer.
    Duration evidenceWindow = std::chrono::milliseconds(1500);
    Duration memberScan = std::chrono::seconds(1);
    Duration leaseScan = std::chrono::seconds(3);
    /// Notices of a version are repeated at this period until all members have adopted it.
    Duration noticeRepeat = std::chrono::milliseconds(250);
    /// A member that adopted a version writes it to its row when it was not accepted for this long.
    Duration acknowledgementWrite = std::chrono::milliseconds(500);
    /// Maximum time for which a process serves by contact with a majority, without a lease.
    Duration isolationLimit = std::chrono::hours(24);
    /// A member without a lease and without heartbeats is removed from the view after this time.
    Duration viewRemoval = std::chrono::seconds(30);
    /// Processes other than the preferred holder wait this long before they acquire a free lease.
    Duration takeoverDelay = std::chrono::seconds(2);
    /// A lease is moved to its preferred holder after that process has been live for this long.
    Duration rebalanceDelay = std::chrono::seconds(10);
};

/// Timing for another lease duration; renewal and margin keep their proportions to it.
inline MembershipTiming membershipTimingFor(Duration lease)
{
    MembershipTiming timing;
    timing.leaseDuration = lease;
    timing.leaseRenewal = lease * 3 / 10;
    timing.leaseMargin = lease / 10;
    return timing;
}

/// Defects that tests inject to prove that the fault matrix detects them.
struct MembershipDefects
{
    bool renewWithoutVersionCheck = false;
    bool ignoreOwnExpiry = false;
    bool adoptLowerVersions = false;
    bool acceptWithoutAcknowledgements = false;
    bool serveWithoutEvidence = false;
};

} // namespace Peridot
