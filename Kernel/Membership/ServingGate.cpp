#include <Kernel/Membership/ServingGate.h>

#include <algorithm>

namespace Peridot {

ServingGate::ServingGate(MembershipTiming timing, const LeaseKeeper &member,
                         const MembershipTracker &tracker, const ConfigurationFollower &follower,
                         MembershipDefects defects)
    : m_timing(timing), m_member(member), m_tracker(tracker), m_follower(follower),
      m_defects(defects)
{
}

bool ServingGate::knowsHigherVersion() const
{
    return std::max(m_follower.highestKnown(), m_tracker.highestPeerVersion())
           > m_follower.versionInForce();
}

std::optional<TimePoint> ServingGate::evidenceEnd(TimePoint now)
{
    // While a process serves, the higher version may take one window to arrive. Without evidence
    // until then, as after a cut, contact with peers does not make it serve the older one again.
    const bool behind = knowsHigherVersion();
    if (!behind)
        m_behindLimit.reset();
    else if (!m_behindLimit)
        m_behindLimit = now < m_evidenceEnd ? now + m_timing.evidenceWindow : now;
    std::optional<TimePoint> end;
    for (const auto &sentAt : {m_follower.currentAt(), m_member.confirmedWriteSentAt()}) {
        if (sentAt)
            end = std::max(end, std::optional(*sentAt + m_timing.evidenceWindow));
    }
    std::optional<TimePoint> contactEnd = m_tracker.majorityContactEnd();
    if (contactEnd && m_behindLimit)
        contactEnd = std::min(*contactEnd, *m_behindLimit);
    end = std::max(end, contactEnd);
    m_evidenceEnd = end.value_or(TimePoint());
    return end;
}

std::optional<TimePoint> ServingGate::fullUntil(TimePoint now)
{
    const auto lease = m_member.held(now);
    if (m_follower.versionInForce() == 0 || !lease || !m_member.confirmedGuard().inView)
        return std::nullopt;
    const bool smallView = m_tracker.view().instances.size() < smallestViewWithEvidence;
    if (smallView || m_defects.serveWithoutEvidence)
        return lease->end;
    const auto evidence = evidenceEnd(now);
    if (!evidence || now >= *evidence)
        return std::nullopt;
    return std::min(lease->end, *evidence);
}

ServingState ServingGate::state(TimePoint now)
{
    if (!m_started) {
        m_started = true;
        m_lastLease = now;
    }
    if (m_follower.versionInForce() == 0)
        return ServingState::NoConfiguration;
    if (m_member.held(now) && m_member.confirmedGuard().inView)
        m_lastLease = now;
    if (fullUntil(now))
        return ServingState::Full;
    if (knowsHigherVersion() || m_tracker.highestPeerViewEpoch() > m_tracker.view().epoch)
        return ServingState::BehindVersion;
    if (now >= m_lastLease + m_timing.isolationLimit || !m_tracker.hasMajorityContact(now))
        return ServingState::Isolated;
    return ServingState::IdempotentOnly;
}

} // namespace Peridot
