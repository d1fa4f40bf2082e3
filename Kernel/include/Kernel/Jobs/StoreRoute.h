#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot::Jobs {

/// How a call to the store ended, as far as the route is concerned.
enum class StoreCallEnd {
    Answered,
    Refused, ///< the store, or a peer, refused it or could not be connected
    NoAnswer,
};

/// A process that passes calls on to the store.
struct StorePeer
{
    std::string address; ///< host:port
    double processors = 0; ///< see SchedulerCandidate

    bool operator==(const StorePeer &) const = default;
};

/// Chooses the way to the store for the scheduling process: its own, or through a peer. The pattern
/// is a store that refuses the scheduling host, or is cut off from it, while it serves the others:
/// its lease would end after two seconds without a scheduler. A call that was sent by one route is
/// never repeated by the other here; the callers of the store decide about that, as for any call.
class StoreRoute
{
public:
    /// Names of the events: the route that is taken from now on.
    using Observer = std::function<void(std::string_view kind, const std::string &detail)>;

    explicit StoreRoute(Observer observe) : m_observe(std::move(observe)) { }

    /// Peers are used only while this is set.
    void setRelaysAllowed(bool allowed);
    /// Adds or replaces the process on \a host, or removes it.
    void setPeer(const std::string &host, std::optional<StorePeer> peer);

    /// Address of the peer for a call that is sent at \a now; nothing: the call goes to the store
    /// itself. \a mayWait: the store may answer late, as it does calls of a change feed.
    struct Choice
    {
        std::uint64_t call = 0;
        std::optional<std::string> peer;
    };
    Choice choose(TimePoint now, bool mayWait);
    /// While a peer is used: now and then, a call that only tries the store itself.
    std::optional<Choice> takeProbe(TimePoint now);
    void ended(TimePoint now, const Choice &choice, StoreCallEnd end);

private:
    bool directFails(TimePoint now) const;
    void chooseNextPeer(TimePoint now);
    std::vector<std::string> fastestPeers() const;

    Observer m_observe;
    bool m_allowed = false;
    std::map<std::string, StorePeer> m_peers; ///< by host
    std::uint64_t m_nextCall = 1;
    std::map<std::uint64_t, TimePoint> m_directCalls; ///< unanswered ones that may not wait
    TimePoint m_directAnsweredAt; ///< latest answer of the store itself
    unsigned m_directFailures = 0; ///< since then
    TimePoint m_nextProbe;
    std::string m_peer; ///< address in use; empty: none
    unsigned m_peerFailures = 0; ///< since the latest success through it
    unsigned m_peersTried = 0; ///< since the latest success through any
    TimePoint m_noRelayBefore;
};

} // namespace Peridot::Jobs
