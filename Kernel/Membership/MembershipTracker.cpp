#include <Kernel/Membership/MembershipTracker.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace Peridot {

namespace {

constexpr const char *memberPrefix = "member/";

} // namespace

MembershipTracker::MembershipTracker(MemberDescription self, MembershipTiming timing)
    : m_self(std::move(self)), m_timing(timing)
{
}

void MembershipTracker::observeView(const MembershipView &view, Version rowVersion)
{
    if (rowVersion <= m_viewRowVersion)
        return;
    m_view = view;
    m_viewRowVersion = rowVersion;
}

void MembershipTracker::heartbeatReceived(TimePoint now, const Heartbeat &heartbeat)
{
    if (heartbeat.sender.instance == m_self.instance)
        return;
    Peer &peer = m_peers[heartbeat.sender.instance];
    // Late and repeated datagrams must not override the values of a newer one.
    if (heartbeat.sentAt >= peer.lastSentAt) {
        peer.lastSentAt = heartbeat.sentAt;
        peer.description = heartbeat.sender;
        peer.lastHeartbeatAt = now;
    }
    peer.lastEchoedSentAt = std::max(peer.lastEchoedSentAt, heartbeat.echo);
    peer.version = std::max(peer.version, heartbeat.configurationVersion);
    peer.viewEpoch = std::max(peer.viewEpoch, heartbeat.viewEpoch);
    if (peer.version > m_highestPeerVersion || peer.viewEpoch > m_highestPeerViewEpoch)
        m_mostCurrentPeerAddress = peer.description.peerAddress;
    m_highestPeerVersion = std::max(m_highestPeerVersion, peer.version);
    m_highestPeerViewEpoch = std::max(m_highestPeerViewEpoch, peer.viewEpoch);
}

Heartbeat MembershipTracker::makeHeartbeat(TimePoint now, const std::string &recipient,
                                           std::uint64_t configurationVersion) const
{
    Heartbeat heartbeat;
    heartbeat.sender = m_self;
    heartbeat.sentAt = now.time_since_epoch().count();
    const auto peer = m_peers.find(recipient);
    if (peer != m_peers.end())
        heartbeat.echo = peer->second.lastSentAt;
    heartbeat.configurationVersion = configurationVersion;
    heartbeat.viewEpoch = m_view.epoch;
    return heartbeat;
}

std::set<std::string> MembershipTracker::peersInContact(TimePoint now) const
{
    const std::int64_t oldest = (now - m_timing.contactWindow).time_since_epoch().count();
    std::set<std::string> result;
    for (const auto &[instance, peer] : m_peers) {
        if (peer.lastEchoedSentAt != 0 && peer.lastEchoedSentAt >= oldest)
            result.insert(instance);
    }
    return result;
}

std::set<std::string> MembershipTracker::peersSendingHeartbeats(TimePoint now) const
{
    std::set<std::string> result;
    for (const auto &[instance, peer] : m_peers) {
        if (now < peer.lastHeartbeatAt + m_timing.viewRemoval)
            result.insert(instance);
    }
    return result;
}

bool MembershipTracker::hasMajorityContact(TimePoint now) const
{
    return isStrictMajority(m_view, peersInContact(now));
}

std::int64_t MembershipTracker::majorityEchoedSentAt(const std::set<std::string> &instances) const
{
    std::vector<std::int64_t> echoedTimes;
    for (const auto &instance : instances) {
        if (const auto peer = m_peers.find(instance); peer != m_peers.end())
            echoedTimes.push_back(peer->second.lastEchoedSentAt);
    }
    const std::size_t needed = instances.size() / 2 + 1;
    if (echoedTimes.size() < needed)
        return 0;
    std::sort(echoedTimes.begin(), echoedTimes.end(), std::greater<>());
    return echoedTimes[needed - 1];
}

std::optional<TimePoint> MembershipTracker::majorityContactEnd() const
{
    std::int64_t echoedSentAt = majorityEchoedSentAt(m_view.instances);
    if (!m_view.settled())
        echoedSentAt = std::min(echoedSentAt, majorityEchoedSentAt(m_view.previous));
    if (echoedSentAt == 0)
        return std::nullopt;
    return TimePoint(Duration(echoedSentAt)) + m_timing.contactWindow;
}

bool MembershipTracker::mayHoldLease(TimePoint now, const std::string &instance) const
{
    if (!m_scanned)
        return true;
    const auto found = m_rows.find(instance);
    return found != m_rows.end()
           && now < found->second.firstReadAt + found->second.row.lease.duration;
}

bool MembershipTracker::isCertainlyDown(TimePoint now, const std::string &instance) const
{
    if (!m_scanned || mayHoldLease(now, instance))
        return false;
    const auto found = m_rows.find(instance);
    if (found == m_rows.end())
        return true;
    const ObservedRow &observed = found->second;
    const std::int64_t limit
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_timing.isolationLimit).count();
    if (toUnixMilliseconds(now) > observed.row.lease.expiryMilliseconds + limit + limit / 10)
        return true;
    // Only one process at a time can bind a port, so a later process at the same address shows that
    // the earlier one has ended.
    return std::any_of(m_rows.begin(), m_rows.end(), [&](const auto &entry) {
        return entry.first != instance && entry.second.version > observed.version
               && entry.second.row.description.peerAddress == observed.row.description.peerAddress;
    });
}

Version MembershipTracker::rowVersion(const std::string &instance) const
{
    const auto found = m_rows.find(instance);
    return found == m_rows.end() ? absentVersion : found->second.version;
}

std::uint64_t MembershipTracker::acknowledgedVersion(const std::string &instance) const
{
    const auto row = m_rows.find(instance);
    const auto peer = m_peers.find(instance);
    return std::max(row == m_rows.end() ? 0 : row->second.row.configurationVersion,
                    peer == m_peers.end() ? 0 : peer->second.version);
}

std::uint64_t MembershipTracker::acknowledgedViewEpoch(const std::string &instance) const
{
    const auto row = m_rows.find(instance);
    const auto peer = m_peers.find(instance);
    return std::max(row == m_rows.end() ? 0 : row->second.row.viewEpoch,
                    peer == m_peers.end() ? 0 : peer->second.viewEpoch);
}

std::optional<TimePoint> MembershipTracker::lastHeartbeat(const std::string &instance) const
{
    const auto peer = m_peers.find(instance);
    if (peer == m_peers.end())
        return std::nullopt;
    return peer->second.lastHeartbeatAt;
}

std::vector<MemberDescription> MembershipTracker::liveMembers(TimePoint now) const
{
    std::map<std::string, MemberDescription> live;
    for (const auto &[instance, observed] : m_rows) {
        if (mayHoldLease(now, instance))
            live[instance] = observed.row.description;
    }
    for (const auto &instance : peersInContact(now))
        live[instance] = m_peers.at(instance).description;
    live.erase(m_self.instance);
    std::vector<MemberDescription> result;
    result.reserve(live.size());
    for (auto &[instance, description] : live)
        result.push_back(std::move(description));
    return result;
}

std::optional<MemberDescription> MembershipTracker::describe(const std::string &instance) const
{
    if (const auto peer = m_peers.find(instance); peer != m_peers.end())
        return peer->second.description;
    if (const auto row = m_rows.find(instance); row != m_rows.end())
        return row->second.row.description;
    return std::nullopt;
}

std::set<std::string> MembershipTracker::instancesWithRow() const
{
    std::set<std::string> result;
    for (const auto &[instance, observed] : m_rows)
        result.insert(instance);
    return result;
}

std::optional<StoreRequest> MembershipTracker::nextRequest(TimePoint now)
{
    if (now < m_nextScan)
        return std::nullopt;
    const std::string startAfter = m_scannedRows.empty() ? std::string() : m_scannedRows.back().key;
    return ScanRows{memberPrefix, startAfter, 1000};
}

void MembershipTracker::committed(TimePoint, const CommitResult &) { }

void MembershipTracker::rowsRead(TimePoint now, const ReadResult &result)
{
    if (result.status != ReadStatus::Ok) {
        m_scannedRows.clear();
        m_nextScan = now + m_timing.storeRetry;
        return;
    }
    m_scannedRows.insert(m_scannedRows.end(), result.rows.begin(), result.rows.end());
    if (result.more)
        return;
    replaceRows(now);
    m_scannedRows.clear();
    m_nextScan = now + m_timing.memberScan;
}

void MembershipTracker::replaceRows(TimePoint now)
{
    std::map<std::string, ObservedRow> rows;
    for (const auto &row : m_scannedRows) {
        const std::string instance = row.key.substr(std::string_view(memberPrefix).size());
        const auto known = m_rows.find(instance);
        // A stale scan must not restart the expiry of a row version that was read before.
        if (known != m_rows.end() && row.version <= known->second.version) {
            rows[instance] = known->second;
            continue;
        }
        valueOrElse(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(parsed, parseMemberRow(row.value));
                rows[instance] = ObservedRow{std::move(parsed), row.version, now};
                return 0;
            },
            [](const Error &) { return 0; });
    }
    m_rows = std::move(rows);
    m_scanned = true;
    // Removes peers that have left, so that the map does not grow with every restart.
    std::erase_if(m_peers, [&](const auto &entry) {
        return m_rows.count(entry.first) == 0 && !m_view.contains(entry.first)
               && now >= entry.second.lastHeartbeatAt + m_timing.viewRemoval;
    });
}

} // namespace Peridot
