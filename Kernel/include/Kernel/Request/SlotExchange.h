#pragma once

#include <Kernel/Request/QueuedRequest.h>
#include <Kernel/Request/RequestKernel.h>
#include <Kernel/Request/SlotMessage.h>
#include <Kernel/Request/SlotTable.h>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace Peridot {

/// Divides the slots of the backend servers among the entry processes and lends idle ones.
///
/// The membership view determines the owner of each slot. A process sends State messages to each
/// peer, with an increasing number and the complete list of that peer's slots that it still holds.
/// The peer answers with a Grant, which lists the slots on which attempts may start within a short
/// window that begins when the State is sent. A process has at most one unanswered State at each
/// peer, and accepts only the Grant for that number, once. When the owner processes a State, every
/// earlier Grant is therefore either reflected in the list or will never be accepted. Lost, late,
/// duplicated and reordered messages cannot make two processes use the same slot. When a State does
/// not arrive, the slot stays unused until the last attempt that can have started on it has ended.
///
/// After a change of the view, a slot that changed its owner is used only after each peer has sent
/// its State for the new view, and after all attempts of processes that left without a Gone message
/// must have ended.
class SlotExchange
{
public:
    /// Attempts may start on a lent slot for this long after the State that requested it was sent.
    static constexpr Duration lendingWindow = std::chrono::milliseconds(500);
    /// Allowance for differences in clock rate between processes, and for scheduling.
    static constexpr Duration clockMargin = std::chrono::seconds(1);
    /// Time after a change of the view at which a peer that has not confirmed it has lost its
    /// lease.
    static constexpr Duration leaseAllowance = std::chrono::seconds(10);

    struct Hooks
    {
        /// The number of free slots of a server may have changed.
        std::function<void(ServerIndex)> freeSlotsChanged;
        /// Servers that execute a service and have free slots.
        std::function<const std::vector<ServerIndex> &(ServiceIndex)> freeServers;
        /// Whether requests that the server can execute are waiting in this process.
        std::function<bool(ServerIndex)> isNeeded;
        std::function<std::optional<ServiceIndex>(const std::string &)> findService;
    };

    SlotExchange(std::string instance, bool lending, Hooks hooks);

    /// Sets the maximum duration of an attempt, which limits how long a slot stays unused after a
    /// failure.
    void setAttemptLimit(Duration limit) { m_attemptLimit = limit; }
    void setServer(TimePoint now, ServerIndex server, const std::string &name, unsigned slots);
    void setReady() { m_ready = true; }
    void membersChanged(TimePoint now, const EntryMembers &members);
    void messageReceived(TimePoint now, const std::string &instance, const SlotMessage &message);
    /// Frees slots whose waiting time has passed. Takes constant time when there are none.
    void advance(TimePoint now);
    /// Whether poll() is due. Avoids the cost of poll() when many events arrive.
    bool pollDue(TimePoint now) const { return now >= m_nextPoll; }
    /// Sends the messages that are due. \a waiting is the number of waiting requests by service.
    void poll(TimePoint now, const std::map<std::string, unsigned> &waiting);
    /// Starts to return all borrowed slots, and stops lending.
    void stop() { m_stopping = true; }
    /// Sends Gone to the peers, unless a slot is still lent or borrowed. Must be called only when
    /// no attempt is in flight.
    void announceGone(TimePoint now);

    std::size_t freeSlots(ServerIndex server) const { return m_servers[server].free; }
    std::optional<std::uint32_t> take(TimePoint now, ServerIndex server);
    void release(TimePoint now, ServerIndex server, std::uint32_t slot);

    std::size_t ownedSlots() const { return m_ownedSlots; }
    std::size_t lentSlots() const;
    std::size_t borrowedSlots() const;
    std::size_t unconfirmedPeers() const { return m_unconfirmed.size(); }
    std::uint64_t epoch() const { return m_epoch; }
    std::vector<SendPeerMessage> takeMessages();

private:
    struct Server
    {
        std::string name;
        std::vector<Slot> slots;
        std::size_t free = 0; ///< slots on which an attempt may start
        std::size_t freeOwned = 0; ///< number of free slots that this process owns
        std::size_t configured = 0; ///< slots in the routing table; slots above it have no owner
    };

    struct Peer
    {
        std::string instance;
        bool member = false;
        bool gone = false; ///< sent Gone: no attempt of the peer can be in flight
        bool confirmationPending = false; ///< has not answered a State of the current view
        bool stateDue = false; ///< a State must be sent because the held slots have changed
        std::uint64_t lastNumber = 0; ///< highest State number that was processed
        std::uint64_t unanswered = 0; ///< number of the State without a Grant yet; 0: none
        TimePoint sentAt; ///< time of the last State to the peer
        TimePoint recalledAt; ///< time of the last Recall to the peer
        Duration requestInterval{0}; ///< between requests for slots; grows with empty grants
        /// Requested slots when no more were idle. Gets a Recall when a slot becomes idle.
        bool requestUnmet = false;
        unsigned idleSlots = 0; ///< idle slots according to its last Grant
        std::set<SlotReference> held; ///< slots of the peer that this process must report
        std::set<SlotReference> lent; ///< slots of this process that the peer holds
    };

    struct Timer
    {
        TimePoint time;
        SlotReference reference;
        bool operator>(const Timer &other) const { return time > other.time; }
    };

    PeerIndex peerOf(const std::string &instance);
    Slot &slotAt(SlotReference reference)
    {
        return m_servers[reference.server].slots[reference.slot];
    }
    bool isFree(TimePoint now, const Slot &slot) const;
    /// Whether the State to the owner must list the slot as held.
    bool isReported(TimePoint now, const Slot &slot) const;
    void assignOwners(TimePoint now, ServerIndex index);
    /// Ends the use of a slot under the previous view. Slots that processes which left without Gone
    /// may still use are blocked until their attempts must have ended.
    void resetForNewView(TimePoint now, SlotReference reference);
    void recount(TimePoint now, ServerIndex server);
    /// Updates the counts after a change of one slot, in constant time. Changes that depend on time
    /// are handled by timers, and changes of owners by recount().
    void recountSlot(TimePoint now, ServerIndex server, Slot &slot);
    void recountAll(TimePoint now);
    void startTimer(TimePoint time, SlotReference reference);
    void stateReceived(TimePoint now, PeerIndex index, const SlotMessage &message);
    void grantReceived(TimePoint now, PeerIndex index, const SlotMessage &message);
    std::set<SlotReference> ownReferences(const SlotMessage &message) const;
    void updateHeld(TimePoint now, PeerIndex index, const std::set<SlotReference> &held);
    void confirmPeer(TimePoint now, PeerIndex index);
    void lend(TimePoint now, PeerIndex index, SlotReference reference, SlotMessage &grant);
    void lendIdleSlots(TimePoint now, PeerIndex index, ServiceIndex service, unsigned count,
                       SlotMessage &grant);
    bool pollPeer(TimePoint now, Peer &peer, const std::map<std::string, unsigned> &waiting);
    void sendState(TimePoint now, Peer &peer, const std::map<std::string, unsigned> &waiting);
    void send(const Peer &peer, const SlotMessage &message);

    const std::string m_instance;
    const bool m_lending;
    Hooks m_hooks;
    Duration m_attemptLimit = std::chrono::seconds(10);
    std::vector<Server> m_servers;
    std::map<std::string, ServerIndex> m_serverIndex;
    std::vector<Peer> m_peers;
    std::map<std::string, PeerIndex> m_peerIndex;
    PeerIndex m_self = noPeer;
    std::vector<std::string> m_members;
    std::vector<PeerIndex> m_memberPeers;
    std::uint64_t m_epoch = 0;
    bool m_hasView = false;
    bool m_ready = false;
    bool m_stopping = false;
    // After this time, attempts that peers started under an earlier view must have ended.
    bool m_confirmationDeadlinePassed = false;
    TimePoint m_confirmationDeadline;
    std::set<PeerIndex> m_unconfirmed; ///< members that have not sent a State for the current view
    std::uint64_t m_lastNumber = 0;
    std::size_t m_ownedSlots = 0;
    std::size_t m_idleOwnSlots = 0;
    TimePoint m_nextPoll;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::vector<SendPeerMessage> m_messages;
};

} // namespace Peridot
