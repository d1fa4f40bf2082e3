#include <Kernel/Jobs/StoreRoute.h>

#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

// The store answers in a few milliseconds, and within 0.3 s while it is slow.
constexpr std::chrono::milliseconds longestAnswer{350};
// Refusals for the rate of all calls together are mixed with answers.
constexpr std::chrono::milliseconds refusalPeriod{250};
constexpr unsigned refusalsBeforeRelay = 3;
// The own way to the store is tried this often while a peer is used.
constexpr std::chrono::milliseconds probePeriod{250};
constexpr unsigned failuresBeforeNextPeer = 2;
// When this many peers fail as well, the store is likely to refuse all.
constexpr unsigned peersBeforePause = 3;
constexpr std::chrono::milliseconds relayPause{1000};

} // namespace

void StoreRoute::setRelaysAllowed(bool allowed)
{
    m_allowed = allowed;
    m_directFailures = 0;
    m_directCalls.clear();
    if (!allowed)
        m_peer.clear();
}

void StoreRoute::setPeer(const std::string &host, std::optional<StorePeer> peer)
{
    if (peer && !peer->address.empty())
        m_peers[host] = std::move(*peer);
    else
        m_peers.erase(host);
}

bool StoreRoute::directFails(TimePoint now) const
{
    const bool isRefused
        = m_directFailures >= refusalsBeforeRelay && now >= m_directAnsweredAt + refusalPeriod;
    const bool isSilent = !m_directCalls.empty()
                          && now >= m_directCalls.begin()->second + longestAnswer
                          && m_directAnsweredAt <= m_directCalls.begin()->second;
    return isRefused || isSilent;
}

std::vector<std::string> StoreRoute::fastestPeers() const
{
    std::vector<StorePeer> peers(m_peers.size());
    std::transform(m_peers.begin(), m_peers.end(), peers.begin(),
                   [](const auto &entry) { return entry.second; });
    std::stable_sort(peers.begin(), peers.end(), [](const auto &left, const auto &right) {
        return left.processors > right.processors;
    });
    std::vector<std::string> addresses(peers.size());
    std::transform(peers.begin(), peers.end(), addresses.begin(),
                   [](const StorePeer &peer) { return peer.address; });
    return addresses;
}

void StoreRoute::chooseNextPeer(TimePoint now)
{
    m_peerFailures = 0;
    if (++m_peersTried > peersBeforePause) {
        m_peersTried = 0;
        m_noRelayBefore = now + relayPause;
        m_peer.clear();
        return m_observe("store-relay-ended", "peers-refused");
    }
    const std::vector<std::string> peers = fastestPeers();
    if (peers.empty())
        return m_peer.clear();
    const auto current = std::find(peers.begin(), peers.end(), m_peer);
    const bool hasNext = current != peers.end() && std::next(current) != peers.end();
    m_peer = hasNext ? *std::next(current) : peers.front();
    m_observe("store-relay-used", m_peer);
}

StoreRoute::Choice StoreRoute::choose(TimePoint now, bool mayWait)
{
    Choice choice;
    choice.call = m_nextCall++;
    const bool useRelay = m_allowed && now >= m_noRelayBefore && directFails(now);
    if (!useRelay && !m_peer.empty()) {
        m_peer.clear();
        m_observe("store-relay-ended", "store-answers");
    }
    if (useRelay) {
        if (m_peer.empty()) {
            m_nextProbe = now + probePeriod;
            m_peersTried = 0;
            chooseNextPeer(now);
        }
        if (!m_peer.empty()) {
            choice.peer = m_peer;
            return choice;
        }
    }
    if (!mayWait)
        m_directCalls[choice.call] = now;
    return choice;
}

std::optional<StoreRoute::Choice> StoreRoute::takeProbe(TimePoint now)
{
    if (m_peer.empty() || now < m_nextProbe)
        return std::nullopt;
    m_nextProbe = now + probePeriod;
    return Choice{m_nextCall++, std::nullopt};
}

void StoreRoute::ended(TimePoint now, const Choice &choice, StoreCallEnd end)
{
    if (choice.peer) {
        if (end == StoreCallEnd::Answered) {
            m_peerFailures = 0;
            m_peersTried = 0;
        } else if (*choice.peer == m_peer && ++m_peerFailures >= failuresBeforeNextPeer) {
            chooseNextPeer(now);
        }
        return;
    }
    m_directCalls.erase(choice.call);
    if (end == StoreCallEnd::Answered) {
        m_directAnsweredAt = now;
        m_directFailures = 0;
    } else {
        m_directFailures += end == StoreCallEnd::NoAnswer ? refusalsBeforeRelay : 1;
    }
}

} // namespace Peridot::Jobs
