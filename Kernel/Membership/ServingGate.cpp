#include <Kernel/Membership/ServingGate.h>

#include <algorithm>

namespace Peridot {

ServingGate::ServingGate(MembershipTiming timing, const LeaseKeeper &memberLease,
                         const MembershipTracker &tracker, const ConfigurationFollower &follower,
                         MembershipDefects defects)
    : m_timing(timing), m_memberLease(memberLease), m_tracker(tracker), m_follower(follower),
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
    // A process that has evidence when it learns of a higher version may use contact with peers as
    // evidence for one more window, in which the higher version should arrive. Without evidence at
    // that time, for example after a network partition, contact with peers must not make it serve
    // the older version again.
    const bool behind = knowsHigherVersion();
    if (!behind)
        m_contactEvidenceLimit.reset();
    else if (!m_contactEvidenceLimit)
        m_contactEvidenceLimit = now < m_evidenceEnd ? now + m_timing.evidenceWindow : now;
    std::optional<TimePoint> end;
    for (const auto &sentAt :
         {m_follower.confirmedCurrentAt(), m_memberLease.confirmedWriteSentAt()}) {
        if (sentAt)
            end = std::max(end, std::optional(*sentAt + m_timing.evidenceWindow));
    }
    std::optional<TimePoint> contactEnd = m_tracker.majorityContactEnd();
    if (contactEnd && m_contactEvidenceLimit)
        contactEnd = std::min(*contactEnd, *m_contactEvidenceLimit);
    end = std::max(end, contactEnd);
    m_evidenceEnd = end.value_or(TimePoint());
    return end;
}

std::optional<TimePoint> ServingGate::fullUntil(TimePoint now)
{
    const auto lease = m_memberLease.held(now);
    if (m_follower.versionInForce() == 0 || !lease || !m_memberLease.confirmedGuard().inView)
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
    if (!m_lastLeaseInitialized) {
        m_lastLeaseInitialized = true;
        m_lastLeaseAt = now;
    }
    if (m_follower.versionInForce() == 0)
        return ServingState::NoConfiguration;
    if (m_memberLease.held(now) && m_memberLease.confirmedGuard().inView)
        m_lastLeaseAt = now;
    if (fullUntil(now))
        return ServingState::Full;
    if (knowsHigherVersion() || m_tracker.highestPeerViewEpoch() > m_tracker.view().epoch)
        return ServingState::BehindVersion;
    if (now >= m_lastLeaseAt + m_timing.isolationLimit || !m_tracker.hasMajorityContact(now))
        return ServingState::Isolated;
    return ServingState::IdempotentOnly;
}

} // namespace Peridot
