#include <Kernel/Membership/MembershipNode.h>

#include "MembershipNodeLeaseScan.h"
#include "PeerCodec.h"
#include "RowFields.h"
#include <set>
#include <utility>

namespace Peridot {

void MembershipNode::queueDatagram(const std::string &address, const Json::Value &message)
{
    if (!address.empty())
        m_datagrams.push_back({address, writeJson(message)});
}

void MembershipNode::sendHeartbeats(TimePoint now)
{
    std::set<std::string> addressed{m_settings.self.peerAddress};
    std::set<std::string> recipients = m_tracker.instancesWithRow();
    recipients.insert(m_tracker.view().instances.begin(), m_tracker.view().instances.end());
    recipients.merge(m_tracker.peersSendingHeartbeats(now));
    recipients.erase(m_settings.self.instance);
    const std::uint64_t version = m_follower.versionInForce();
    for (const auto &instance : recipients) {
        const auto member = m_tracker.describe(instance);
        if (!member)
            continue;
        addressed.insert(member->peerAddress);
        queueDatagram(member->peerAddress,
                      heartbeatToJson(m_tracker.makeHeartbeat(now, instance, version)));
    }
    for (const auto &address : m_settings.peers) {
        if (addressed.insert(address).second)
            queueDatagram(address, heartbeatToJson(m_tracker.makeHeartbeat(now, {}, version)));
    }
}

void MembershipNode::requestContent(TimePoint)
{
    const bool behind = m_tracker.highestPeerVersion() > m_follower.versionInForce()
                        || m_tracker.highestPeerViewEpoch() > m_tracker.view().epoch;
    if (!m_settings.push || !behind)
        return;
    Json::Value message(Json::objectValue);
    message["kind"] = "ask";
    message["address"] = m_settings.self.peerAddress;
    queueDatagram(m_tracker.mostCurrentPeerAddress(), message);
}

void MembershipNode::sendNotices(TimePoint now)
{
    const ConfigurationHead &head = m_follower.head();
    const bool awaitingAcceptance = head.state == ConfigurationState::Proposed
                                    && m_follower.versionInForce() >= head.version
                                    && head.version != 0;
    if (!m_settings.push || !awaitingAcceptance || now < m_nextNotice
        || !m_configurationLease.held(now))
        return;
    m_nextNotice = now + m_settings.timing.noticeRepeat;
    for (const auto &member : m_tracker.liveMembers(now)) {
        if (m_tracker.acknowledgedVersion(member.instance) < head.version)
            sendNotice(member.peerAddress);
    }
}

void MembershipNode::sendNotice(const std::string &address)
{
    Json::Value message(Json::objectValue);
    message["kind"] = "configuration";
    message["version"] = Json::UInt64(m_follower.versionInForce());
    if (m_follower.manifest().size() <= m_settings.noticeLimit)
        message["manifest"] = m_follower.manifest();
    message["view"] = writeMembershipView(m_tracker.view());
    message["view_row"] = Json::UInt64(m_tracker.viewRowVersion());
    queueDatagram(address, message);
}

Result<void> MembershipNode::noticeReceived(const Json::Value &message)
{
    BOOST_LEAF_AUTO(version, unsignedField(message, "version"));
    BOOST_LEAF_AUTO(viewText, stringField(message, "view"));
    BOOST_LEAF_AUTO(viewRow, unsignedField(message, "view_row"));
    BOOST_LEAF_AUTO(view, parseMembershipView(viewText));
    m_tracker.observeView(view, viewRow);
    if (!m_settings.push)
        return {};
    if (message["manifest"].isString())
        m_follower.manifestReceived(version, message["manifest"].asString());
    else
        m_follower.observePeerVersion(version);
    return {};
}

Result<void> MembershipNode::datagramReceived(TimePoint now, const std::string &message)
{
    BOOST_LEAF_AUTO(value, parseJson(message));
    BOOST_LEAF_AUTO(kind, stringField(value, "kind"));
    if (kind == "heartbeat") {
        BOOST_LEAF_AUTO(heartbeat, heartbeatFromJson(value));
        m_tracker.heartbeatReceived(now, heartbeat);
    } else if (kind == "configuration") {
        BOOST_LEAF_CHECK(noticeReceived(value));
    } else if (kind == "ask") {
        BOOST_LEAF_AUTO(address, stringField(value, "address"));
        sendNotice(address);
    } else if (kind == "message") {
        BOOST_LEAF_AUTO(from, stringField(value, "from"));
        BOOST_LEAF_AUTO(to, stringField(value, "to"));
        BOOST_LEAF_AUTO(text, stringField(value, "text"));
        if (to != m_settings.self.instance)
            return makeError(ErrorCode::ProtocolViolation, "to", to);
        m_peerMessages.emplace_back(std::move(from), std::move(text));
    } else {
        return makeError(ErrorCode::ProtocolViolation, "kind", kind);
    }
    exchangeObservations(now);
    sendNotices(now);
    return {};
}

void MembershipNode::sendPeerMessage(const std::string &instance, const std::string &text)
{
    const auto member = m_tracker.describe(instance);
    if (!member)
        return;
    Json::Value message(Json::objectValue);
    message["kind"] = "message";
    message["from"] = m_settings.self.instance;
    message["to"] = instance;
    message["text"] = text;
    queueDatagram(member->peerAddress, message);
}

std::vector<std::pair<std::string, std::string>> MembershipNode::takePeerMessages()
{
    return std::exchange(m_peerMessages, {});
}

} // namespace Peridot
