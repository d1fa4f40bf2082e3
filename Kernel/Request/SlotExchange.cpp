#include <Kernel/Request/SlotExchange.h>

#include <algorithm>

namespace Peridot {

SlotExchange::SlotExchange(std::string instance, bool lending, Hooks hooks)
    : m_instance(std::move(instance)), m_lending(lending), m_hooks(std::move(hooks))
{
    m_self = peerOf(m_instance);
}

PeerIndex SlotExchange::peerOf(const std::string &instance)
{
    const auto [found, added]
        = m_peerIndex.emplace(instance, static_cast<PeerIndex>(m_peers.size()));
    if (added)
        m_peers.emplace_back().instance = instance;
    return found->second;
}

bool SlotExchange::isFree(TimePoint now, const Slot &slot) const
{
    if (slot.inUse || now < slot.blockedUntil)
        return false;
    if (slot.owner != m_self)
        return slot.borrowed && now < slot.startUntil;
    return slot.heldBy == noPeer
           && (!slot.newlyOwned || m_unconfirmed.empty() || m_confirmationDeadlinePassed);
}

bool SlotExchange::isReported(TimePoint now, const Slot &slot) const
{
    return slot.inUse || (slot.borrowed && now < slot.startUntil) || now < slot.blockedUntil;
}

void SlotExchange::recount(TimePoint now, ServerIndex server)
{
    Server &entry = m_servers[server];
    m_idleOwnSlots -= entry.freeOwned;
    entry.free = 0;
    entry.freeOwned = 0;
    for (Slot &slot : entry.slots) {
        slot.countedFree = isFree(now, slot);
        if (!slot.countedFree)
            continue;
        ++entry.free;
        if (slot.owner == m_self)
            ++entry.freeOwned;
    }
    m_idleOwnSlots += entry.freeOwned;
    m_hooks.freeSlotsChanged(server);
}

void SlotExchange::recountSlot(TimePoint now, ServerIndex server, Slot &slot)
{
    const bool free = isFree(now, slot);
    if (free != slot.countedFree) {
        Server &entry = m_servers[server];
        entry.free += free ? 1 : -1;
        if (slot.owner == m_self) {
            entry.freeOwned += free ? 1 : -1;
            m_idleOwnSlots += free ? 1 : -1;
        }
        slot.countedFree = free;
    }
    m_hooks.freeSlotsChanged(server);
}

void SlotExchange::recountAll(TimePoint now)
{
    for (ServerIndex server = 0; server < m_servers.size(); ++server)
        recount(now, server);
}

void SlotExchange::startTimer(TimePoint time, SlotReference reference)
{
    m_timers.push({time, reference});
}

void SlotExchange::advance(TimePoint now)
{
    if (!m_confirmationDeadlinePassed && m_hasView && now >= m_confirmationDeadline) {
        m_confirmationDeadlinePassed = true;
        recountAll(now);
    }
    while (!m_timers.empty() && now >= m_timers.top().time) {
        const SlotReference reference = m_timers.top().reference;
        m_timers.pop();
        Slot &slot = slotAt(reference);
        if (slot.heldBy != noPeer && now >= slot.heldUntil) {
            m_peers[slot.heldBy].lent.erase(reference);
            slot.heldBy = noPeer;
        }
        recount(now, reference.server);
    }
}

std::optional<std::uint32_t> SlotExchange::take(TimePoint now, ServerIndex server)
{
    Server &entry = m_servers[server];
    std::optional<std::uint32_t> chosen;
    for (std::uint32_t number = 0; number < entry.slots.size(); ++number) {
        const Slot &slot = entry.slots[number];
        if (!isFree(now, slot))
            continue;
        chosen = number;
        // Prefers own slots, so that borrowed ones become idle and are returned.
        if (slot.owner == m_self)
            break;
    }
    if (!chosen) {
        recount(now, server);
        return std::nullopt;
    }
    Slot &slot = entry.slots[*chosen];
    slot.inUse = true;
    slot.lastUsed = now;
    recountSlot(now, server, slot);
    return chosen;
}

void SlotExchange::release(TimePoint now, ServerIndex server, std::uint32_t number)
{
    Slot &slot = m_servers[server].slots[number];
    slot.inUse = false;
    slot.lastUsed = now;
    if (slot.owner != m_self && slot.owner != noPeer && !isReported(now, slot))
        m_peers[slot.owner].stateDue = true;
    recountSlot(now, server, slot);
}

void SlotExchange::setServer(TimePoint now, ServerIndex index, const std::string &name,
                             unsigned slots)
{
    if (index >= m_servers.size())
        m_servers.resize(index + 1);
    Server &server = m_servers[index];
    if (server.name == name && server.configured == slots)
        return;
    server.name = name;
    server.configured = slots;
    m_serverIndex[name] = index;
    const std::size_t known = server.slots.size();
    server.slots.resize(std::max<std::size_t>(known, slots));
    // A joining process may receive the routing table after the membership view. Peers may then
    // still use the slots under an earlier view.
    for (std::size_t number = known; number < server.slots.size(); ++number)
        server.slots[number].newlyOwned = !m_unconfirmed.empty();
    assignOwners(now, index);
    recount(now, index);
}

void SlotExchange::assignOwners(TimePoint now, ServerIndex index)
{
    Server &server = m_servers[index];
    const auto owners
        = divideSlots(server.name, static_cast<unsigned>(server.configured), m_members);
    for (std::uint32_t number = 0; number < server.slots.size(); ++number) {
        Slot &slot = server.slots[number];
        const PeerIndex owner = number < owners.size() ? m_memberPeers[owners[number]] : noPeer;
        if (slot.owner == m_self)
            --m_ownedSlots;
        if (owner == m_self)
            ++m_ownedSlots;
        slot.owner = owner;
        if (owner != m_self && owner != noPeer && isReported(now, slot))
            m_peers[owner].held.insert({index, number});
    }
}

void SlotExchange::membersChanged(TimePoint now, const EntryMembers &members)
{
    if (m_hasView && members.epoch <= m_epoch)
        return;
    const bool consecutive = m_hasView && members.epoch == m_epoch + 1;
    const bool wasConfirmed = m_unconfirmed.empty() || m_confirmationDeadlinePassed;
    for (Peer &peer : m_peers)
        peer.member = false;
    m_members = members.instances;
    m_memberPeers.clear();
    for (const std::string &instance : m_members) {
        const PeerIndex index = peerOf(instance);
        m_peers[index].member = true;
        m_memberPeers.push_back(index);
    }
    m_epoch = members.epoch;
    m_hasView = true;
    m_unconfirmed.clear();
    for (Peer &peer : m_peers) {
        peer.unanswered = 0;
        peer.idleSlots = 0;
        peer.confirmationPending = peer.member && &peer != &m_peers[m_self];
        if (peer.confirmationPending)
            m_unconfirmed.insert(static_cast<PeerIndex>(&peer - m_peers.data()));
    }
    m_confirmationDeadlinePassed = false;
    m_confirmationDeadline = now + leaseAllowance + m_attemptLimit + clockMargin;
    for (ServerIndex server = 0; server < m_servers.size(); ++server) {
        for (std::uint32_t number = 0; number < m_servers[server].slots.size(); ++number)
            resetForNewView(now, {server, number});
        const std::vector<Slot> previousSlots = m_servers[server].slots;
        assignOwners(now, server);
        for (std::uint32_t number = 0; number < previousSlots.size(); ++number) {
            Slot &slot = m_servers[server].slots[number];
            const bool stillOwned = previousSlots[number].owner == m_self && consecutive
                                    && (!previousSlots[number].newlyOwned || wasConfirmed);
            slot.newlyOwned = slot.owner == m_self && !stillOwned;
            if (slot.owner != m_self && slot.heldBy != noPeer) {
                m_peers[slot.heldBy].lent.erase({server, number});
                slot.heldBy = noPeer;
            }
        }
        recount(now, server);
    }
    m_nextPoll = now;
}

void SlotExchange::resetForNewView(TimePoint now, SlotReference reference)
{
    Slot &slot = slotAt(reference);
    const auto leftWithoutGone = [this](PeerIndex peer) {
        return peer != noPeer && !m_peers[peer].member && !m_peers[peer].gone;
    };
    if (leftWithoutGone(slot.owner))
        slot.blockedUntil = std::max(slot.blockedUntil, now + m_attemptLimit + clockMargin);
    if (slot.heldBy != noPeer && leftWithoutGone(slot.heldBy))
        slot.blockedUntil = std::max(slot.blockedUntil, slot.heldUntil);
    if (slot.heldBy != noPeer && !m_peers[slot.heldBy].member) {
        m_peers[slot.heldBy].lent.erase(reference);
        slot.heldBy = noPeer;
    }
    if (slot.blockedUntil > now)
        startTimer(slot.blockedUntil, reference);
    if (slot.owner != noPeer)
        m_peers[slot.owner].held.erase(reference);
    slot.borrowed = false;
}

std::size_t SlotExchange::lentSlots() const
{
    std::size_t count = 0;
    for (const Peer &peer : m_peers)
        count += peer.lent.size();
    return count;
}

std::size_t SlotExchange::borrowedSlots() const
{
    std::size_t count = 0;
    for (const Peer &peer : m_peers)
        count += peer.held.size();
    return count;
}

std::vector<SendPeerMessage> SlotExchange::takeMessages()
{
    return std::exchange(m_messages, {});
}

} // namespace Peridot
