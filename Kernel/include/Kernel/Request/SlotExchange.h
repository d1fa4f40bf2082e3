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
/// Each slot has one owner by the membership view. A process sends State messages to each peer: the
/// complete list of that peer's slots which it still holds, under an increasing number. The peer
/// answers with a Grant that names the slots on which attempts may start, for a short window
/// counted from the sending of the State. A process has at most one unanswered State at each peer
/// and accepts only the Grant for that number, once. So when the owner processes a State, every
/// earlier Grant is either reflected in the list or will never be accepted: lost, late, duplicated
/// and reordered messages cannot make two processes use one slot. A State that never comes leaves
/// the slot unused until the last attempt that can have started on it has ended.
///
/// After a change of the view, a slot that changed its owner is used only when each peer has sent
/// its State for the new view, and when attempts of processes that left without a Gone message must
/// have ended.
class SlotExchange
{
public:
    /// Attempts may start on a lent slot for this long after the request for it.
    static constexpr Duration lendingWindow = std::chrono::milliseconds(500);
    /// Allowance for differences in clock rate between processes, and for scheduling.
    static constexpr Duration clockMargin = std::chrono::seconds(1);
    /// A peer that has not confirmed a view has lost its lease after this time.
    static constexpr Duration leaseAllowance = std::chrono::seconds(10);

    struct Hooks
    {
        /// The number of free slots of a server may have changed.
        std::function<void(ServerIndex)> freeSlotsChanged;
        /// Servers with free slots that execute a service.
        std::function<const std::vector<ServerIndex> &(ServiceIndex)> freeServers;
        /// Whether requests that the server could execute wait in this process.
        std::function<bool(ServerIndex)> isNeeded;
        std::function<std::optional<ServiceIndex>(const std::string &)> findService;
    };

    SlotExchange(std::string instance, bool lending, Hooks hooks);

    /// Longest time of an attempt. It bounds how long a slot stays unused after a failure.
    void setAttemptLimit(Duration limit) { m_attemptLimit = limit; }
    void setServer(TimePoint now, ServerIndex server, const std::string &name, unsigned slots);
    void setReady() { m_ready = true; }
    void membersChanged(TimePoint now, const EntryMembers &members);
    void messageReceived(TimePoint now, const std::string &instance, const SlotMessage &message);
    /// Frees slots whose time has passed. Cheap when there are none.
    void advance(TimePoint now);
    /// Whether poll() has something to do. Limits its cost when many events arrive.
    bool pollDue(TimePoint now) const { return now >= m_nextPoll; }
    /// Sends the messages that are due. \a waiting gives the waiting requests by service.
    void poll(TimePoint now, const std::map<std::string, unsigned> &waiting);
    /// Returns every borrowed slot and lends none any more.
    void stop() { m_stopping = true; }
    /// Tells the peers that no attempt is in flight, once that holds.
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
        std::size_t freeOwned = 0; ///< those of them that this process owns
        std::size_t configured = 0; ///< slots of the routing table; later ones have no owner
    };

    struct Peer
    {
        std::string instance;
        bool member = false;
        bool gone = false;
        bool confirmationOwed = false; ///< it has not answered a State of the current view
        bool stateDue = false; ///< something it should know has changed
        std::uint64_t lastNumber = 0; ///< highest State number processed
        std::uint64_t unanswered = 0; ///< number of the State that waits for its Grant, or 0
        TimePoint sentAt;
        TimePoint recalledAt;
        Duration askInterval{0}; ///< until it is asked for slots again; grows with empty grants
        bool wantsSlots = false; ///< it got fewer slots than it asked for
        unsigned idleSlots = 0; ///< as of its last Grant
        std::set<SlotReference> held; ///< its slots that this process has to report
        std::set<SlotReference> lent; ///< own slots that it holds
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
    bool isReported(TimePoint now, const Slot &slot) const;
    void assignOwners(TimePoint now, ServerIndex index);
    void leaveView(TimePoint now, SlotReference reference);
    void recount(TimePoint now, ServerIndex server);
    /// Recount after a change of one slot, in constant time. Changes by the passing of time have a
    /// timer of their own, and changes of owners recount the whole server.
    void recountSlot(TimePoint now, ServerIndex server, Slot &slot);
    void recountAll(TimePoint now);
    void startTimer(TimePoint time, SlotReference reference);
    void stateReceived(TimePoint now, PeerIndex index, const SlotMessage &message);
    void grantReceived(TimePoint now, PeerIndex index, const SlotMessage &message);
    std::set<SlotReference> ownReferences(const SlotMessage &message) const;
    void updateHeld(TimePoint now, PeerIndex index, const std::set<SlotReference> &held);
    void confirm(TimePoint now, PeerIndex index);
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
    bool m_guardPassed = false;
    TimePoint m_guardEnd;
    std::set<PeerIndex> m_unconfirmed;
    std::uint64_t m_lastNumber = 0;
    std::size_t m_ownedSlots = 0;
    std::size_t m_idleOwnSlots = 0;
    TimePoint m_nextPoll;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::vector<SendPeerMessage> m_messages;
};

} // namespace Peridot
