#pragma once

#include <Kernel/Membership/MemberRow.h>
#include <Kernel/Membership/MembershipTiming.h>
#include <Kernel/Membership/MembershipView.h>
#include <Kernel/Membership/StoreProtocol.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Peridot {

/// Datagram that every member sends to every other one.
struct Heartbeat
{
    MemberDescription sender;
    std::int64_t sentAt = 0; ///< on the clock of the sender, in nanoseconds
    std::int64_t echo = 0; ///< latest sentAt received from the recipient; 0 if there is none
    std::uint64_t configurationVersion = 0; ///< in force at the sender
    std::uint64_t viewEpoch = 0; ///< latest view known to the sender
};

/// Tracks the other members by scans of their rows and by heartbeats.
class MembershipTracker : public StoreProtocol
{
public:
    MembershipTracker(MemberDescription self, MembershipTiming timing);

    /// Adopts the view unless a newer one is known.
    void observeView(const MembershipView &view, Version rowVersion);
    const MembershipView &view() const { return m_view; }
    Version viewRowVersion() const { return m_viewRowVersion; }

    void heartbeatReceived(TimePoint now, const Heartbeat &heartbeat);
    /// Heartbeat for \a recipient; empty for a peer of which only the address is known.
    Heartbeat makeHeartbeat(TimePoint now, const std::string &recipient,
                            std::uint64_t configurationVersion) const;

    /// Other instances that have echoed a heartbeat that this process sent within the contact
    /// window. What such a peer reported in the echoing heartbeat was true after that heartbeat was
    /// sent.
    std::set<std::string> peersInContact(TimePoint now) const;
    /// Instances from which heartbeats arrived recently, in contact or not. Includes processes that
    /// started while the store was down and have no row, so that they get heartbeats as well.
    std::set<std::string> peersSendingHeartbeats(TimePoint now) const;
    /// Whether the peers in contact, without this process, are a strict majority of the view.
    bool hasMajorityContact(TimePoint now) const;
    /// When contact with a majority ends if no further heartbeats are echoed; nothing when no
    /// majority was ever in contact.
    std::optional<TimePoint> majorityContactEnd() const;
    /// Highest configuration version and view epoch reported by any peer.
    std::uint64_t highestPeerVersion() const { return m_highestPeerVersion; }
    std::uint64_t highestPeerViewEpoch() const { return m_highestPeerViewEpoch; }
    /// Address of the peer that reported the highest view epoch or version, from which to request
    /// the content.
    std::string mostCurrentPeerAddress() const { return m_mostCurrentPeerAddress; }

    /// Whether the member may still hold its lease: its row exists and has changed within the lease
    /// duration. True for a member whose row was never read.
    bool mayHoldLease(TimePoint now, const std::string &instance) const;
    /// Whether the member certainly cannot serve: its row was removed, another process has its
    /// address, or there were no heartbeats for longer than the isolation limit.
    bool isCertainlyDown(TimePoint now, const std::string &instance) const;
    /// Version of the member's row as last scanned; 0 when absent.
    Version rowVersion(const std::string &instance) const;
    /// Highest configuration version that the member reported in its row or a heartbeat.
    std::uint64_t acknowledgedVersion(const std::string &instance) const;
    std::uint64_t acknowledgedViewEpoch(const std::string &instance) const;
    /// When the latest heartbeat of the member arrived.
    std::optional<TimePoint> lastHeartbeat(const std::string &instance) const;

    /// Members with a live lease or in contact, by instance name, without this process.
    std::vector<MemberDescription> liveMembers(TimePoint now) const;
    std::optional<MemberDescription> describe(const std::string &instance) const;
    /// Instances that have a row, whether expired or not.
    std::set<std::string> instancesWithRow() const;
    /// Whether the member rows were completely scanned at least once.
    bool scanned() const { return m_scanned; }

protected:
    std::optional<StoreRequest> nextRequest(TimePoint now) override;
    void committed(TimePoint now, const CommitResult &result) override;
    void rowsRead(TimePoint now, const ReadResult &result) override;

private:
    struct ObservedRow
    {
        MemberRow row;
        Version version = absentVersion;
        TimePoint firstReadAt; ///< when this version was first read
    };
    struct Peer
    {
        MemberDescription description;
        std::int64_t lastSentAt = 0; ///< latest sentAt of the peer, on its clock
        /// Latest sentAt of this process that the peer has echoed.
        std::int64_t lastEchoedSentAt = 0;
        TimePoint lastHeartbeatAt;
        std::uint64_t version = 0;
        std::uint64_t viewEpoch = 0;
    };

    void replaceRows(TimePoint now);
    /// Latest time such that a strict majority of \a instances has echoed a heartbeat that was sent
    /// at that time or later; 0 when there is none. On the clock of this process, in nanoseconds.
    std::int64_t majorityEchoedSentAt(const std::set<std::string> &instances) const;

    MemberDescription m_self;
    MembershipTiming m_timing;
    MembershipView m_view;
    Version m_viewRowVersion = absentVersion;
    std::map<std::string, ObservedRow> m_rows;
    std::map<std::string, Peer> m_peers;
    std::vector<Row> m_scannedRows; ///< rows read so far by the scan in progress
    TimePoint m_nextScan;
    bool m_scanned = false;
    std::uint64_t m_highestPeerVersion = 0;
    std::uint64_t m_highestPeerViewEpoch = 0;
    std::string m_mostCurrentPeerAddress;
};

} // namespace Peridot
