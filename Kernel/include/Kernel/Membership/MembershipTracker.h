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
    std::int64_t echo = 0; ///< newest sentAt received from the recipient; 0 for none
    std::uint64_t configurationVersion = 0; ///< in force at the sender
    std::uint64_t viewEpoch = 0; ///< newest view known to the sender
};

/// Knows the other members: by their rows, which are scanned, and by heartbeats.
class MembershipTracker : public StoreProtocol
{
public:
    MembershipTracker(MemberDescription self, MembershipTiming timing);

    /// A process that heard an older view keeps the newer one.
    void observeView(const MembershipView &view, Version rowVersion);
    const MembershipView &view() const { return m_view; }
    Version viewRowVersion() const { return m_viewRowVersion; }

    void heartbeatReceived(TimePoint now, const Heartbeat &heartbeat);
    /// Heartbeat for \a recipient; an empty name is a peer known by address only.
    Heartbeat makeHeartbeat(TimePoint now, const std::string &recipient,
                            std::uint64_t configurationVersion) const;

    /// Instances in contact: those that echoed a heartbeat which this process sent within the
    /// contact window. What they said was therefore true after that moment. Without itself.
    std::set<std::string> inContact(TimePoint now) const;
    /// Instances whose heartbeats arrive, in contact or not. A process that starts while the store
    /// is down has no row, and is answered because it was heard.
    std::set<std::string> heard(TimePoint now) const;
    /// Whether the peers in contact, without this process, are a strict majority of the view.
    bool hasMajorityContact(TimePoint now) const;
    /// When that contact ends unless further heartbeats are echoed; nothing when no such majority
    /// was ever in contact.
    std::optional<TimePoint> majorityContactEnd() const;
    /// Highest configuration version and view epoch that any peer has stated.
    std::uint64_t highestVersionHeard() const { return m_highestVersion; }
    std::uint64_t highestViewEpochHeard() const { return m_highestViewEpoch; }
    /// Peer that stated the highest view epoch or version, to ask it for the content.
    std::string addressOfBestInformed() const { return m_bestInformedAddress; }

    /// Whether the member may still hold its lease: its row exists and its version changed within
    /// the lease duration. A member whose row was never seen counts as live.
    bool mayHoldLease(TimePoint now, const std::string &instance) const;
    /// Whether the member can certainly not serve: row gone, another process has its address, or
    /// silent beyond the isolation limit.
    bool isGone(TimePoint now, const std::string &instance) const;
    /// Version of the member's row as last scanned; 0 when absent.
    Version rowVersion(const std::string &instance) const;
    /// Highest configuration version that the member stated by row or heartbeat.
    std::uint64_t acknowledgedVersion(const std::string &instance) const;
    std::uint64_t acknowledgedViewEpoch(const std::string &instance) const;
    /// When the member was last heard by heartbeat.
    std::optional<TimePoint> lastHeard(const std::string &instance) const;

    /// Members with a live lease or in contact, by instance name, without this process.
    std::vector<MemberDescription> liveMembers(TimePoint now) const;
    std::optional<MemberDescription> describe(const std::string &instance) const;
    /// Instances that have a row, whether expired or not.
    std::set<std::string> instancesWithRow() const;
    bool scanned() const { return m_scanned; }

protected:
    std::optional<StoreRequest> nextRequest(TimePoint now) override;
    void committed(TimePoint now, const CommitResult &result) override;
    void rowsRead(TimePoint now, const ReadResult &result) override;

private:
    struct SeenRow
    {
        MemberRow row;
        Version version = absentVersion;
        TimePoint seenAt; ///< when this version was first seen
    };
    struct Peer
    {
        MemberDescription description;
        std::int64_t lastSentAt = 0;
        std::int64_t contact = 0; ///< own sentAt that the peer echoed
        TimePoint heardAt;
        std::uint64_t version = 0;
        std::uint64_t viewEpoch = 0;
    };

    void replaceRows(TimePoint now);
    /// The newest time since which a strict majority of \a instances has been in contact; 0 for
    /// never. On the clock of this process, in nanoseconds.
    std::int64_t majorityContact(const std::set<std::string> &instances) const;

    MemberDescription m_self;
    MembershipTiming m_timing;
    MembershipView m_view;
    Version m_viewRowVersion = absentVersion;
    std::map<std::string, SeenRow> m_rows;
    std::map<std::string, Peer> m_peers;
    std::vector<Row> m_scan;
    TimePoint m_nextScan;
    bool m_scanned = false;
    std::uint64_t m_highestVersion = 0;
    std::uint64_t m_highestViewEpoch = 0;
    std::string m_bestInformedAddress;
};

} // namespace Peridot
