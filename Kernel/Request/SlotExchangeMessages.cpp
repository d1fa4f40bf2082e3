#include <Kernel/Request/SlotExchange.h>

#include <algorithm>

namespace Peridot {

namespace {

/// An unanswered State is followed by a new one after this time.
constexpr Duration retransmissionTime = std::chrono::milliseconds(50);
/// Minimum time between two States to the same peer.
constexpr Duration stateInterval = std::chrono::milliseconds(4);
/// While requests are waiting, a State renews the borrowed slots this long after the last one.
constexpr Duration renewalInterval = std::chrono::milliseconds(150);
/// Time after which slots are requested again from a peer that granted none. It doubles with each
/// empty Grant. A peer that gets idle slots earlier announces them with a Recall.
constexpr Duration firstRequestInterval = std::chrono::milliseconds(20);
constexpr Duration lastRequestInterval = std::chrono::milliseconds(320);
/// Minimum time between two Recalls to the same peer.
constexpr Duration recallInterval = std::chrono::milliseconds(20);
/// A borrowed slot that was idle for this long is returned when no requests are waiting.
constexpr Duration idleReturnTime = std::chrono::milliseconds(50);
constexpr Duration pollInterval = std::chrono::milliseconds(1);
/// Limit on the slots newly lent for each requested service, which bounds the size of a Grant.
constexpr unsigned slotsPerGrant = 64;
/// The borrower starts attempts only in this part of the window, in case its clock runs slow.
constexpr int usableWindowPercent = 90;

} // namespace

void SlotExchange::send(const Peer &peer, const SlotMessage &message)
{
    m_messages.push_back({peer.instance, encodeSlotMessage(message)});
}

void SlotExchange::messageReceived(TimePoint now, const std::string &instance,
                                   const SlotMessage &message)
{
    const auto found = m_peerIndex.find(instance);
    // Without a routing table, the slots in the message could not be recorded. The peer sends the
    // message again.
    if (found == m_peerIndex.end() || found->second == m_self || !m_ready)
        return;
    Peer &peer = m_peers[found->second];
    if (message.type == SlotMessage::Type::Gone) {
        peer.gone = true;
        return;
    }
    if (message.epoch != m_epoch || !peer.member)
        return;
    if (message.type == SlotMessage::Type::State)
        stateReceived(now, found->second, message);
    else if (message.type == SlotMessage::Type::Grant)
        grantReceived(now, found->second, message);
    else {
        peer.stateDue = true;
        peer.requestInterval = Duration::zero();
    }
    m_nextPoll = now;
}

std::set<SlotReference> SlotExchange::ownReferences(const SlotMessage &message) const
{
    std::set<SlotReference> references;
    for (const auto &[name, numbers] : message.slots) {
        const auto server = m_serverIndex.find(name);
        if (server == m_serverIndex.end())
            continue;
        const auto &slots = m_servers[server->second].slots;
        for (const unsigned number : numbers) {
            if (number < slots.size() && slots[number].owner == m_self)
                references.insert({server->second, number});
        }
    }
    return references;
}

void SlotExchange::updateHeld(TimePoint now, PeerIndex index, const std::set<SlotReference> &held)
{
    Peer &peer = m_peers[index];
    const std::set<SlotReference> lent = peer.lent;
    for (const SlotReference reference : lent) {
        if (held.contains(reference))
            continue;
        slotAt(reference).heldBy = noPeer;
        peer.lent.erase(reference);
        recount(now, reference.server);
    }
    for (const SlotReference reference : held) {
        Slot &slot = slotAt(reference);
        if (slot.heldBy == index)
            continue;
        const TimePoint end = now + m_attemptLimit + clockMargin;
        if (slot.heldBy == noPeer) {
            slot.heldBy = index;
            slot.heldUntil = end;
            peer.lent.insert(reference);
        } else {
            slot.blockedUntil = std::max(slot.blockedUntil, end);
        }
        startTimer(end, reference);
        recount(now, reference.server);
    }
}

void SlotExchange::confirmPeer(TimePoint now, PeerIndex index)
{
    if (m_unconfirmed.erase(index) > 0 && m_unconfirmed.empty())
        recountAll(now);
}

void SlotExchange::lend(TimePoint now, PeerIndex index, SlotReference reference, SlotMessage &grant)
{
    Slot &slot = slotAt(reference);
    slot.heldBy = index;
    slot.heldUntil = now + lendingWindow + m_attemptLimit + clockMargin;
    m_peers[index].lent.insert(reference);
    startTimer(slot.heldUntil, reference);
    grant.slots[m_servers[reference.server].name].push_back(reference.slot);
}

void SlotExchange::lendIdleSlots(TimePoint now, PeerIndex index, ServiceIndex service,
                                 unsigned count, SlotMessage &grant)
{
    const std::vector<ServerIndex> servers = m_hooks.freeServers(service);
    for (const ServerIndex server : servers) {
        // A slot that this State returned is already free, although the requests that are waiting
        // in this process for the server have not been dispatched yet.
        if (m_hooks.isNeeded(server))
            continue;
        Server &entry = m_servers[server];
        for (std::uint32_t number = 0; number < entry.slots.size() && count > 0; ++number) {
            const Slot &slot = entry.slots[number];
            if (slot.owner != m_self || !isFree(now, slot))
                continue;
            lend(now, index, {server, number}, grant);
            --count;
        }
        recount(now, server);
        if (count == 0)
            return;
    }
}

void SlotExchange::stateReceived(TimePoint now, PeerIndex index, const SlotMessage &message)
{
    Peer &peer = m_peers[index];
    if (message.number <= peer.lastNumber)
        return;
    peer.lastNumber = message.number;
    const std::set<SlotReference> held = ownReferences(message);
    updateHeld(now, index, held);
    confirmPeer(now, index);
    SlotMessage grant;
    grant.type = SlotMessage::Type::Grant;
    grant.epoch = m_epoch;
    grant.number = message.number;
    grant.window = lendingWindow;
    if (m_lending && !m_stopping) {
        for (const SlotReference reference : held) {
            const Slot &slot = slotAt(reference);
            if (slot.heldBy == index && now >= slot.blockedUntil
                && !m_hooks.isNeeded(reference.server))
                lend(now, index, reference, grant);
        }
        for (const auto &[name, count] : message.wanted) {
            if (const auto service = m_hooks.findService(name))
                lendIdleSlots(now, index, *service, std::min(count, slotsPerGrant), grant);
        }
        peer.requestUnmet = !message.wanted.empty() && m_idleOwnSlots == 0;
    }
    grant.idle = m_lending ? static_cast<unsigned>(m_idleOwnSlots) : 0;
    send(peer, grant);
}

void SlotExchange::grantReceived(TimePoint now, PeerIndex index, const SlotMessage &message)
{
    Peer &peer = m_peers[index];
    if (peer.unanswered == 0 || message.number != peer.unanswered)
        return;
    peer.unanswered = 0;
    peer.confirmationPending = false;
    peer.idleSlots = message.idle;
    peer.requestInterval
        = message.slots.empty()
              ? std::clamp(peer.requestInterval * 2, firstRequestInterval, lastRequestInterval)
              : Duration::zero();
    for (const SlotReference reference : peer.held)
        slotAt(reference).startUntil = std::min(slotAt(reference).startUntil, now);
    const TimePoint end = peer.sentAt + message.window * usableWindowPercent / 100;
    for (const auto &[name, numbers] : message.slots) {
        const auto server = m_serverIndex.find(name);
        if (server == m_serverIndex.end())
            continue;
        for (const unsigned number : numbers) {
            const SlotReference reference{server->second, number};
            if (number >= m_servers[server->second].slots.size()
                || slotAt(reference).owner != index)
                continue;
            Slot &slot = slotAt(reference);
            if (!slot.borrowed)
                slot.lastUsed = now;
            slot.borrowed = true;
            slot.startUntil = end;
            peer.held.insert(reference);
            startTimer(end, reference);
        }
    }
    for (const SlotReference reference : peer.held) {
        // An idle slot that was not renewed is returned with the next State.
        if (!slotAt(reference).inUse && now >= slotAt(reference).startUntil)
            peer.stateDue = true;
        recount(now, reference.server);
    }
}

void SlotExchange::sendState(TimePoint now, Peer &peer,
                             const std::map<std::string, unsigned> &waiting)
{
    SlotMessage message;
    message.epoch = m_epoch;
    message.number = ++m_lastNumber;
    for (auto entry = peer.held.begin(); entry != peer.held.end();) {
        const SlotReference reference = *entry;
        Slot &slot = slotAt(reference);
        const bool idle
            = !slot.inUse
              && (m_stopping || (waiting.empty() && now - slot.lastUsed >= idleReturnTime));
        if (idle)
            slot.startUntil = std::min(slot.startUntil, now);
        if (isReported(now, slot)) {
            message.slots[m_servers[reference.server].name].push_back(reference.slot);
            ++entry;
            continue;
        }
        slot.borrowed = false;
        entry = peer.held.erase(entry);
        recount(now, reference.server);
    }
    if (m_lending && !m_stopping) {
        std::size_t lendingPeers = 0;
        for (const PeerIndex index : m_memberPeers)
            lendingPeers += m_peers[index].idleSlots > 0 ? 1 : 0;
        const std::size_t shares = peer.idleSlots > 0
                                       ? lendingPeers
                                       : std::max<std::size_t>(1, m_memberPeers.size() - 1);
        for (const auto &[service, count] : waiting)
            message.wanted[service] = static_cast<unsigned>((count + shares - 1) / shares);
    }
    peer.unanswered = message.number;
    peer.sentAt = now;
    peer.stateDue = false;
    send(peer, message);
}

bool SlotExchange::pollPeer(TimePoint now, Peer &peer,
                            const std::map<std::string, unsigned> &waiting)
{
    const Duration elapsed = now - peer.sentAt;
    if (peer.unanswered != 0)
        return elapsed >= retransmissionTime;
    if (peer.confirmationPending)
        return true;
    if (elapsed < stateInterval)
        return false;
    if (peer.stateDue)
        return true;
    if (!peer.held.empty() && elapsed >= (waiting.empty() ? idleReturnTime : renewalInterval))
        return true;
    return m_lending && !m_stopping && !waiting.empty()
           && (peer.idleSlots > 0 || elapsed >= peer.requestInterval);
}

void SlotExchange::poll(TimePoint now, const std::map<std::string, unsigned> &waiting)
{
    if (!m_hasView || !m_ready)
        return;
    m_nextPoll = now + pollInterval;
    for (const PeerIndex index : m_memberPeers) {
        Peer &peer = m_peers[index];
        if (index == m_self)
            continue;
        if (pollPeer(now, peer, waiting))
            sendState(now, peer, waiting);
        const bool recall = !peer.lent.empty() && (m_stopping || !waiting.empty());
        const bool offer = peer.requestUnmet && m_idleOwnSlots > 0 && waiting.empty();
        if ((recall || offer || m_unconfirmed.contains(index))
            && now - peer.recalledAt >= recallInterval) {
            peer.recalledAt = now;
            peer.requestUnmet = false;
            SlotMessage message;
            message.type = SlotMessage::Type::Recall;
            message.epoch = m_epoch;
            send(peer, message);
        }
    }
}

void SlotExchange::announceGone(TimePoint now)
{
    advance(now);
    // A lent slot may still be in use. If Gone is not sent, the peers wait until all attempts must
    // have ended.
    if (lentSlots() > 0 || borrowedSlots() > 0)
        return;
    SlotMessage message;
    message.type = SlotMessage::Type::Gone;
    message.epoch = m_epoch;
    for (const PeerIndex index : m_memberPeers) {
        if (index != m_self)
            send(m_peers[index], message);
    }
}

} // namespace Peridot
