#pragma once

#include <LibBase/Time.h>

namespace Peridot {

/// Periods of the membership protocols. All are lengths of time on the clock of one process, so
/// clocks may be apart by any amount; only their rates must agree within the margin.
struct MembershipTiming
{
    Duration leaseDuration = std::chrono::seconds(10);
    Duration leaseRenewal = std::chrono::seconds(3);
    /// The holder stops this much before the others may take over: 10% for clock rates.
    Duration leaseMargin = std::chrono::seconds(1);
    /// Pause before reading again after a read that was too old to decide anything.
    Duration staleRetry = std::chrono::milliseconds(100);
    Duration storeRetry = std::chrono::milliseconds(500); ///< after a store failure
    Duration heartbeat = std::chrono::milliseconds(250);
    /// A peer counts as in contact for this long after the heartbeat that it echoed was sent.
    Duration contactWindow = std::chrono::seconds(1);
    /// Wait between the last needed acknowledgement and acceptance: the contact window and 10%.
    Duration acceptanceDelay = std::chrono::milliseconds(1100);
    Duration configurationPoll = std::chrono::seconds(1);
    /// A lease lets a process serve every request for this long after it sent the last store call
    /// whose answer showed its version as the newest. The poll period and 0.5 s for a slow answer.
    Duration evidenceWindow = std::chrono::milliseconds(1500);
    Duration memberScan = std::chrono::seconds(1);
    Duration leaseScan = std::chrono::seconds(3);
    /// A version is proposed again to the members at this period until all have it.
    Duration noticeRepeat = std::chrono::milliseconds(250);
    /// A member that adopted a version writes it to its row when nobody accepted it for this long.
    Duration acknowledgementWrite = std::chrono::milliseconds(500);
    /// Longest time a process serves on the contact of a majority without a lease of its own.
    Duration isolationLimit = std::chrono::hours(24);
    /// A silent member without a live lease leaves the view after this long.
    Duration viewRemoval = std::chrono::seconds(30);
    /// Processes other than the preferred one wait this long before they take a free lease.
    Duration takeoverDelay = std::chrono::seconds(2);
    /// A lease moves to its preferred holder after that process was live for this long.
    Duration rebalanceDelay = std::chrono::seconds(10);
};

/// Timing for another length of the leases; renewal and margin keep their proportions.
inline MembershipTiming membershipTimingFor(Duration lease)
{
    MembershipTiming timing;
    timing.leaseDuration = lease;
    timing.leaseRenewal = lease * 3 / 10;
    timing.leaseMargin = lease / 10;
    return timing;
}

/// Deliberately broken variants, set by tests only, to prove that the fault matrix detects them.
struct MembershipDefects
{
    bool renewWithoutVersionCheck = false;
    bool ignoreOwnExpiry = false;
    bool adoptLowerVersions = false;
    bool acceptWithoutAcknowledgements = false;
    bool serveWithoutEvidence = false;
};

} // namespace Peridot
