#include <Kernel/Membership/ServingGate.h>

namespace Peridot {

ServingGate::ServingGate(MembershipTiming timing, const LeaseKeeper &member,
                         const MembershipTracker &tracker, const ConfigurationFollower &follower)
    : m_timing(timing), m_member(member), m_tracker(tracker), m_follower(follower)
{
}

ServingState ServingGate::state(TimePoint now)
{
    if (!m_started) {
        m_started = true;
        m_lastLease = now;
    }
    if (m_follower.versionInForce() == 0)
        return ServingState::NoConfiguration;
    if (m_member.held(now) && m_member.provenGuard().inView) {
        m_lastLease = now;
        return ServingState::Full;
    }
    if (m_follower.highestKnown() > m_follower.versionInForce()
        || m_tracker.highestVersionHeard() > m_follower.versionInForce()
        || m_tracker.highestViewEpochHeard() > m_tracker.view().epoch)
        return ServingState::BehindVersion;
    if (now >= m_lastLease + m_timing.isolationLimit || !m_tracker.hasMajorityContact(now))
        return ServingState::Isolated;
    return ServingState::IdempotentOnly;
}

} // namespace Peridot
