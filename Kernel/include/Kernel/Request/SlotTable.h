#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Peridot {

/// Index of a backend server in the kernel. It keeps its value when the routing table changes.
using ServerIndex = std::uint32_t;

/// Index of an entry process in the slot exchange, including this process.
using PeerIndex = std::uint32_t;

constexpr PeerIndex noPeer = UINT32_MAX;

/// Local state of one slot of a backend server.
struct Slot
{
    PeerIndex owner = noPeer; ///< according to the membership view
    PeerIndex heldBy = noPeer; ///< own slot: the peer that may run an attempt on it
    bool inUse = false; ///< used by an attempt of this process
    bool newlyOwned = false; ///< own slot that a peer may still use under an earlier view
    bool countedFree = false; ///< included in the number of free slots of its server
    bool borrowed = false; ///< slot of a peer that this process may use
    TimePoint heldUntil; ///< latest possible end of an attempt of heldBy
    TimePoint blockedUntil; ///< latest possible end of an attempt of a process that left the view
    TimePoint startUntil; ///< borrowed slot: attempts may start before this time
    TimePoint lastUsed; ///< borrowed slot: last start or end of an attempt
};

/// Identifies one slot of one backend server.
struct SlotReference
{
    ServerIndex server = 0;
    std::uint32_t slot = 0;

    bool operator<(const SlotReference &other) const
    {
        return server != other.server ? server < other.server : slot < other.slot;
    }
};

/// Divides the slots of \a server among \a members by rendezvous hashing. The numbers of slots of
/// two members differ by at most one, and a change of the members moves few slots. Element k of the
/// result is the index in \a members of the owner of slot k.
std::vector<std::size_t> divideSlots(const std::string &server, unsigned slots,
                                     const std::vector<std::string> &members);

} // namespace Peridot
