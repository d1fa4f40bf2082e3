#pragma once

#include <LibBase/Time.h>

namespace Peridot {

/// Periods and limits of the membership protocols. Each is a duration on the clock of one process,
/// so clocks need not be synchronised, but their rates must agree within leaseMargin.
struct MembershipTiming
{
    Duration leaseDuration = std::chrono::seconds(10);
    Duration leaseRenewal = std::chrono::seconds(3);
    /// The lease ends for its holder this long before others may acquire it: 10% of the duration,
    /// for differences of clock rates.
    Duration leaseMargin = std::chrono::seconds(1);
    /// Pause after a read that was too old for a decision.
    Duration staleRetry = std::chrono::milliseconds(100);
    Duration storeRetry = std::chrono::milliseconds(500); ///< after a store failure
    /// Period of the heartbeats to every other member.
    Duration heartbeat = std::chrono::milliseconds(250);
    /// A peer is in contact until this long after the send time of the latest heartbeat that it has
    /// echoed.
    Duration contactWindow = std::chrono::seconds(1);
    /// Time between the last acknowledgement required for a majority and acceptance: the contact
    /// window plus 10%.
    Duration acceptanceDelay = std::chrono::milliseconds(1100);
    Duration configurationPoll = std::chrono::seconds(1);
    /// A process with a lease may serve every request for this long after it sent the last store
    /// call whose answer showed that its version is the latest. The poll period plus 0.5 s for a
    /// slow answer.
    Duration evidenceWindow = std::chrono::milliseconds(1500);
    Duration memberScan = std::chrono::seconds(1);
    Duration leaseScan = std::chrono::seconds(3);
    /// Period at which notices of a version are repeated until all members have adopted it.
    Duration noticeRepeat = std::chrono::milliseconds(250);
    /// A member writes the adopted version to its row if the version is not accepted this long
    /// after the adoption.
    Duration acknowledgementWrite = std::chrono::milliseconds(500);
    /// Maximum time for which a process without a lease serves while a majority is in contact.
    Duration isolationLimit = std::chrono::hours(24);
    /// A member without a lease and without heartbeats is removed from the view after this time.
    Duration viewRemoval = std::chrono::seconds(30);
    /// Processes other than the preferred holder wait this long before they acquire a free lease.
    Duration takeoverDelay = std::chrono::seconds(2);
    /// A lease is moved to its preferred holder after that process has been live for this long.
    Duration rebalanceDelay = std::chrono::seconds(10);
};

/// Timing for another lease duration, with renewal period and margin in proportion to it.
inline MembershipTiming membershipTimingFor(Duration lease)
{
    MembershipTiming timing;
    timing.leaseDuration = lease;
    timing.leaseRenewal = lease * 3 / 10;
    timing.leaseMargin = lease / 10;
    return timing;
}

/// Defects that tests inject to verify that the fault matrix detects them.
struct MembershipDefects
{
    bool renewWithoutVersionCheck = false;
    bool ignoreOwnExpiry = false;
    bool adoptLowerVersions = false;
    bool acceptWithoutAcknowledgements = false;
    bool serveWithoutEvidence = false;
};

} // namespace Peridot
