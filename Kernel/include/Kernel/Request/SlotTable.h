#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Peridot {

/// Index of a backend server in the kernel. It keeps its value when the routing table changes.
using ServerIndex = std::uint32_t;

/// Index of an entry process, this one included, in the slot exchange.
using PeerIndex = std::uint32_t;

constexpr PeerIndex noPeer = UINT32_MAX;

/// One slot of a backend server as this process knows it.
struct Slot
{
    PeerIndex owner = noPeer; ///< by the membership view
    PeerIndex heldBy = noPeer; ///< own slot: the peer that may run an attempt on it
    bool inUse = false; ///< by an attempt of this process
    bool gained = false; ///< own slot that a peer may still use under an earlier view
    bool countedFree = false; ///< included in the number of free slots of its server
    bool borrowed = false; ///< slot of a peer that this process may use
    TimePoint heldUntil; ///< latest end of an attempt of heldBy
    TimePoint blockedUntil; ///< latest end of an attempt of a process that left the view
    TimePoint startUntil; ///< borrowed slot: attempts may start before this time
    TimePoint lastUsed; ///< borrowed slot
};

/// Names one slot of one backend server.
struct SlotReference
{
    ServerIndex server = 0;
    std::uint32_t slot = 0;

    bool operator<(const SlotReference &other) const
    {
        return server != other.server ? server < other.server : slot < other.slot;
    }
};

/// Divides the slots of \a server among \a members by rendezvous hashing: each member gets an equal
/// part, give or take one, and a change of the members moves few slots. Element k of the result is
/// the index in \a members of the owner of slot k.
std::vector<std::size_t> divideSlots(const std::string &server, unsigned slots,
                                     const std::vector<std::string> &members);

} // namespace Peridot
