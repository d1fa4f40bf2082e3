#pragma once

#include <Kernel/Membership/ConfigurationProposer.h>
#include <Kernel/Membership/ServingGate.h>
#include <Kernel/Membership/ViewKeeper.h>
#include <memory>
#include <string>
#include <vector>

namespace Peridot {

struct MembershipNodeSettings
{
    MemberDescription self;
    std::vector<std::string> peers; ///< "ip:port" of peers to contact without the store
    MembershipTiming timing;
    MembershipDefects defects;
    bool push = true; ///< learn of versions by notices and heartbeats, not only by polls
    /// Maximum size in bytes of a manifest that a notice contains.
    std::size_t noticeLimit = 48U << 10U;
};

struct PeerDatagram
{
    std::string address; ///< "ip:port"
    std::string message; ///< JSON text
};

/// The membership protocols of one process. Single-threaded; it reads no clock and does no input or
/// output. After each event, its owner performs takeStoreRequests() and sends takeDatagrams(). The
/// owner calls tick() at least once in each heartbeat period.
class MembershipNode
{
public:
    struct PendingRequest
    {
        StoreProtocol *protocol = nullptr; ///< to be passed to storeFinished() with the reply
        StoreRequest request;
    };

    explicit MembershipNode(MembershipNodeSettings settings);
    ~MembershipNode();

    void tick(TimePoint now);
    void storeFinished(TimePoint now, StoreProtocol *protocol, const StoreReply &reply);
    /// Errors: InvalidJson; ProtocolViolation for a message that does not belong to this protocol.
    Result<void> datagramReceived(TimePoint now, const std::string &message);

    std::vector<PendingRequest> takeStoreRequests(TimePoint now);
    std::vector<PeerDatagram> takeDatagrams();

    /// Sets the names of the leases that are distributed over the fleet processes.
    void setSharedLeases(std::vector<std::string> names);
    /// Leases held at \a now, by name.
    std::map<std::string, HeldLease> heldLeases(TimePoint now) const;
    void propose(Proposal proposal);
    std::vector<ProposalResult> takeProposalResults();
    /// Queues an application message for a member. The message is dropped when the address of the
    /// member is unknown.
    void sendPeerMessage(const std::string &instance, const std::string &message);
    /// Application messages received since the last call, as pairs of sender instance and text.
    std::vector<std::pair<std::string, std::string>> takePeerMessages();

    /// Releases all leases and removes the member row; stopped() tells when that is done.
    void stop();
    bool stopped() const;
    bool stopping() const { return m_stopping; }

    ServingState servingState(TimePoint now);
    /// End of the state Full if no further replies or messages arrive; nothing in other states.
    std::optional<TimePoint> fullUntil(TimePoint now);
    /// End of the member lease by the clock of this process, or nothing.
    std::optional<TimePoint> leaseEnd(TimePoint now) const;
    std::optional<std::uint64_t> takeAdopted() { return m_follower.takeAdopted(); }
    const ConfigurationFollower &configuration() const { return m_follower; }
    const MembershipTracker &members() const { return m_tracker; }
    /// Holder of a shared lease according to the latest known row; empty when unknown.
    std::string leaseHolder(const std::string &name) const;
    /// Live members with this role, including this process when it has the role.
    std::vector<std::string> liveInstances(TimePoint now, MemberRole role) const;
    /// Number of live members of both roles.
    std::size_t liveProcesses(TimePoint now) const;
    Json::Value dumpState(TimePoint now);

private:
    class LeaseScan;

    /// Passes what one protocol has learned to the others.
    void exchangeObservations(TimePoint now);
    void observeLeaseRow(TimePoint now, const Row &row);
    void updateGuard(TimePoint now);
    /// Writes the member row early when a version is not accepted, or a view not settled, in time.
    void updateAcknowledgement(TimePoint now);
    void distributeLeases(TimePoint now);
    void distributeLease(TimePoint now, const std::string &name, LeaseKeeper &keeper,
                         bool rebalance);
    std::string writeOwnRow(const LeaseRow &lease);
    Result<void> noticeReceived(const Json::Value &message);
    /// Requests the latest version and view from a peer that has reported higher ones.
    void requestContent(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void sendNotices(TimePoint now);
    void sendNotice(const std::string &address);
    void queueDatagram(const std::string &address, const Json::Value &message);
    std::vector<StoreProtocol *> protocols() const;

    MembershipNodeSettings m_settings;
    LeaseKeeper m_memberLease;
    LeaseKeeper m_configurationLease;
    MembershipTracker m_tracker;
    ConfigurationFollower m_follower;
    ConfigurationProposer m_proposer;
    ViewKeeper m_viewKeeper;
    ServingGate m_servingGate;
    std::unique_ptr<LeaseScan> m_leaseScan;
    std::map<std::string, std::unique_ptr<LeaseKeeper>> m_sharedLeases;
    std::vector<std::string> m_sharedLeaseNames;
    std::map<std::string, TimePoint> m_freeSince; ///< by lease name
    /// By lease name: when this process was first not the preferred holder of a lease that it
    /// holds.
    std::map<std::string, TimePoint> m_notPreferredSince;
    std::vector<PeerDatagram> m_datagrams;
    std::vector<std::pair<std::string, std::string>> m_peerMessages;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextNotice;
    TimePoint m_adoptedAt; ///< when m_lastVersionInForce was adopted
    std::uint64_t m_versionInRow = 0; ///< configuration version last written to the member row
    std::uint64_t m_viewEpochInRow = 0; ///< view epoch last written to the member row
    std::uint64_t m_lastVersionInForce = 0;
    bool m_stopping = false;
};

} // namespace Peridot
