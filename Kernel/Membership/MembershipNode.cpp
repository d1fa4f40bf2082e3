#include <Kernel/Membership/MembershipNode.h>

#include "MemberDescriptionJson.h"
#include "MembershipNodeLeaseScan.h"
#include "PeerCodec.h"
#include "RowFields.h"
#include <Kernel/Membership/LeaseDistribution.h>
#include <algorithm>
#include <utility>

namespace Peridot {

namespace {

const std::string leasePrefix = "lease/";

LeaseKeeperSettings leaseSettings(const MembershipNodeSettings &settings, const std::string &name)
{
    return {leasePrefix + name, name, settings.self.instance, false, settings.timing,
            settings.defects};
}

} // namespace

MembershipNode::MembershipNode(MembershipNodeSettings settings)
    : m_settings(std::move(settings)),
      m_memberLease({"member/" + m_settings.self.instance, "member", m_settings.self.instance, true,
                     m_settings.timing, m_settings.defects},
                    [this](const LeaseRow &lease) { return writeOwnRow(lease); }),
      m_configurationLease(leaseSettings(m_settings, configurationLeaseName)),
      m_tracker(m_settings.self, m_settings.timing),
      m_follower(m_settings.timing, m_settings.defects),
      m_proposer(m_settings.self.instance, m_settings.timing, m_configurationLease, m_tracker,
                 m_follower, m_settings.defects),
      m_viewKeeper(m_settings.self, m_settings.timing, m_configurationLease, m_tracker),
      m_servingGate(m_settings.timing, m_memberLease, m_tracker, m_follower, m_settings.defects),
      m_leaseScan(std::make_unique<LeaseScan>(*this))
{
}

MembershipNode::~MembershipNode() = default;

std::string MembershipNode::writeOwnRow(const LeaseRow &lease)
{
    m_versionInRow = m_follower.versionInForce();
    m_viewEpochInRow = m_tracker.view().epoch;
    return writeMemberRow({lease, m_settings.self, m_versionInRow, m_viewEpochInRow});
}

void MembershipNode::tick(TimePoint now)
{
    exchangeObservations(now);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_settings.timing.heartbeat;
        sendHeartbeats(now);
        requestContent(now);
        distributeLeases(now);
    }
    sendNotices(now);
    updateAcknowledgement(now);
}

void MembershipNode::storeFinished(TimePoint now, StoreProtocol *protocol, const StoreReply &reply)
{
    const auto all = protocols();
    // Drops the reply when the lease for which the request was sent was removed in the meantime.
    if (std::find(all.begin(), all.end(), protocol) == all.end())
        return;
    protocol->finish(now, reply);
    exchangeObservations(now);
    sendNotices(now);
}

void MembershipNode::exchangeObservations(TimePoint now)
{
    if (const auto row = m_follower.takeViewRow(); row && row->version != absentVersion) {
        const auto view = valueOrElse([&] { return parseMembershipView(row->value); },
                                      [](const Error &) { return MembershipView{}; });
        m_tracker.observeView(view, row->version);
    }
    if (m_settings.push)
        m_follower.observePeerVersion(m_tracker.highestPeerVersion());
    if (m_follower.versionInForce() != m_lastVersionInForce) {
        m_lastVersionInForce = m_follower.versionInForce();
        m_adoptedAt = now;
        m_nextNotice = now;
    }
    updateGuard(now);
    m_servingGate.observe(now);
}

void MembershipNode::updateGuard(TimePoint now)
{
    if (m_memberLease.guardConflict())
        m_follower.requestPoll();
    LeaseGuard guard;
    guard.checks = {{configurationVersionKey(m_follower.versionInForce() + 1), absentVersion},
                    {membershipViewKey, m_tracker.viewRowVersion()}};
    guard.inView = m_tracker.view().contains(m_settings.self.instance);
    // A lease counts for serving only once its write has checked a view that contains this process.
    if (guard.inView && m_memberLease.held(now) && !m_memberLease.confirmedGuard().inView)
        m_memberLease.requestRenewal();
    m_memberLease.setGuard(std::move(guard));
    m_memberLease.setWanted(m_follower.headKnown() && !m_stopping);
}

void MembershipNode::updateAcknowledgement(TimePoint now)
{
    const bool versionPending = m_follower.head().state == ConfigurationState::Proposed
                                && m_versionInRow < m_follower.versionInForce();
    const bool viewPending
        = !m_tracker.view().settled() && m_viewEpochInRow < m_tracker.view().epoch;
    // Heartbeats usually deliver the acknowledgement earlier, which saves the additional write.
    if ((versionPending || viewPending)
        && now >= m_adoptedAt + m_settings.timing.acknowledgementWrite && m_memberLease.held(now))
        m_memberLease.requestRenewal();
}

void MembershipNode::observeLeaseRow(TimePoint now, const Row &row)
{
    const std::string name = row.key.substr(leasePrefix.size());
    if (name == configurationLeaseName)
        m_configurationLease.observe(now, row);
    if (const auto found = m_sharedLeases.find(name); found != m_sharedLeases.end())
        found->second->observe(now, row);
}

std::vector<StoreProtocol *> MembershipNode::protocols() const
{
    auto *self = const_cast<MembershipNode *>(this);
    std::vector<StoreProtocol *> all{&self->m_follower, &self->m_memberLease, &self->m_tracker};
    if (m_settings.self.role == MemberRole::Fleet) {
        all.push_back(&self->m_configurationLease);
        all.push_back(&self->m_proposer);
        all.push_back(&self->m_viewKeeper);
        all.push_back(m_leaseScan.get());
        for (const auto &[name, keeper] : m_sharedLeases)
            all.push_back(keeper.get());
    }
    return all;
}

std::vector<MembershipNode::PendingRequest> MembershipNode::takeStoreRequests(TimePoint now)
{
    std::vector<PendingRequest> requests;
    m_configurationLease.setDeferred(!m_proposer.idle());
    for (auto *protocol : protocols()) {
        if (auto request = protocol->takeRequest(now))
            requests.push_back({protocol, std::move(*request)});
    }
    return requests;
}

std::vector<PeerDatagram> MembershipNode::takeDatagrams()
{
    return std::exchange(m_datagrams, {});
}

void MembershipNode::setSharedLeases(std::vector<std::string> names)
{
    for (const auto &name : names) {
        if (m_sharedLeases.count(name) == 0)
            m_sharedLeases[name] = std::make_unique<LeaseKeeper>(leaseSettings(m_settings, name));
    }
    for (const auto &[name, keeper] : m_sharedLeases) {
        if (std::find(names.begin(), names.end(), name) == names.end())
            keeper->release();
    }
    m_sharedLeaseNames = std::move(names);
}

std::map<std::string, HeldLease> MembershipNode::heldLeases(TimePoint now) const
{
    std::map<std::string, HeldLease> result;
    for (const auto &[name, keeper] : m_sharedLeases) {
        if (const auto held = keeper->held(now))
            result[name] = *held;
    }
    if (const auto held = m_configurationLease.held(now))
        result[configurationLeaseName] = *held;
    return result;
}

void MembershipNode::distributeLeases(TimePoint now)
{
    if (m_settings.self.role != MemberRole::Fleet || m_stopping)
        return;
    distributeLease(now, configurationLeaseName, m_configurationLease, false);
    for (auto &[name, keeper] : m_sharedLeases) {
        const bool listed = std::find(m_sharedLeaseNames.begin(), m_sharedLeaseNames.end(), name)
                            != m_sharedLeaseNames.end();
        if (keeper->released() && listed)
            keeper = std::make_unique<LeaseKeeper>(leaseSettings(m_settings, name));
        else
            distributeLease(now, name, *keeper, true);
    }
    std::erase_if(m_sharedLeases, [&](const auto &entry) {
        return entry.second->released()
               && std::find(m_sharedLeaseNames.begin(), m_sharedLeaseNames.end(), entry.first)
                      == m_sharedLeaseNames.end();
    });
}

void MembershipNode::distributeLease(TimePoint now, const std::string &name, LeaseKeeper &keeper,
                                     bool rebalance)
{
    const bool hasMemberLease = m_memberLease.held(now).has_value();
    const bool preferred
        = preferredHolder(name, liveInstances(now, MemberRole::Fleet)) == m_settings.self.instance;
    const bool holding = keeper.held(now).has_value();
    if (holding && !preferred && rebalance) {
        const auto since = m_notPreferredSince.emplace(name, now).first->second;
        if (now >= since + m_settings.timing.rebalanceDelay)
            keeper.release();
    } else {
        m_notPreferredSince.erase(name);
    }
    if (!keeper.isFree(now))
        m_freeSince.erase(name);
    else
        m_freeSince.emplace(name, now);
    const auto freeSince = m_freeSince.find(name);
    const bool takeoverDue = freeSince != m_freeSince.end()
                             && now >= freeSince->second + m_settings.timing.takeoverDelay;
    keeper.setWanted(hasMemberLease && (holding || preferred || takeoverDue));
}

std::string MembershipNode::leaseHolder(const std::string &name) const
{
    if (name == configurationLeaseName)
        return m_configurationLease.observedHolder();
    const auto found = m_sharedLeases.find(name);
    return found == m_sharedLeases.end() ? std::string() : found->second->observedHolder();
}

void MembershipNode::propose(Proposal proposal)
{
    m_proposer.propose(std::move(proposal));
}

std::vector<ProposalResult> MembershipNode::takeProposalResults()
{
    return m_proposer.takeResults();
}

void MembershipNode::stop()
{
    m_stopping = true;
    for (const auto &[name, keeper] : m_sharedLeases)
        keeper->release();
    m_configurationLease.release();
    m_memberLease.release();
}

bool MembershipNode::stopped() const
{
    const bool leasesReleased
        = std::all_of(m_sharedLeases.begin(), m_sharedLeases.end(),
                      [](const auto &entry) { return entry.second->released(); });
    const bool fleet = m_settings.self.role == MemberRole::Fleet;
    return m_memberLease.released()
           && (!fleet || (leasesReleased && m_configurationLease.released()));
}

ServingState MembershipNode::servingState(TimePoint now)
{
    return m_stopping ? ServingState::Isolated : m_servingGate.state(now);
}

std::optional<TimePoint> MembershipNode::fullUntil(TimePoint now)
{
    return m_stopping ? std::nullopt : m_servingGate.fullUntil(now);
}

std::optional<TimePoint> MembershipNode::leaseEnd(TimePoint now) const
{
    const auto held = m_memberLease.held(now);
    if (!held || !m_memberLease.confirmedGuard().inView)
        return std::nullopt;
    return held->end;
}

std::size_t MembershipNode::liveProcesses(TimePoint now) const
{
    return liveInstances(now, MemberRole::Entry).size()
           + liveInstances(now, MemberRole::Fleet).size();
}

std::vector<std::string> MembershipNode::liveInstances(TimePoint now, MemberRole role) const
{
    std::vector<std::string> result;
    for (const auto &member : m_tracker.liveMembers(now)) {
        if (member.role == role)
            result.push_back(member.instance);
    }
    if (m_settings.self.role == role && !m_stopping)
        result.push_back(m_settings.self.instance);
    std::sort(result.begin(), result.end());
    return result;
}

Json::Value MembershipNode::dumpState(TimePoint now)
{
    Json::Value state(Json::objectValue);
    state["instance"] = m_settings.self.instance;
    state["serving"] = std::string(servingStateNames.nameOf(servingState(now)));
    state["version_in_force"] = Json::UInt64(m_follower.versionInForce());
    state["head_version"] = Json::UInt64(m_follower.head().version);
    state["head_state"] = std::string(configurationStateNames.nameOf(m_follower.head().state));
    state["view_epoch"] = Json::UInt64(m_tracker.view().epoch);
    state["view_settled"] = m_tracker.view().settled();
    state["view"] = Json::Value(Json::arrayValue);
    for (const auto &instance : m_tracker.view().instances)
        state["view"].append(instance);
    state["in_contact"] = Json::Value(Json::arrayValue);
    for (const auto &instance : m_tracker.peersInContact(now))
        state["in_contact"].append(instance);
    state["leases"] = Json::Value(Json::objectValue);
    for (const auto &[name, lease] : heldLeases(now))
        state["leases"][name] = Json::UInt64(lease.fencingEpoch);
    return state;
}

} // namespace Peridot
