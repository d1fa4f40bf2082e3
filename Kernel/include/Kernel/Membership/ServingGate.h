#pragma once

#include <Kernel/Membership/ConfigurationFollower.h>
#include <Kernel/Membership/LeaseKeeper.h>
#include <Kernel/Membership/MembershipTracker.h>
#include <LibBase/EnumTable.h>
#include <optional>

namespace Peridot {

enum class ServingState {
    Full, ///< by its own lease and recent evidence: every request
    IdempotentOnly, ///< by contact with a majority: no claim may be written
    NoConfiguration,
    BehindVersion, ///< a peer stated a higher version or view epoch
    Isolated, ///< no majority in contact, and no lease or no recent answer of the store
};

constexpr auto servingStateNames = makeEnumTable<ServingState>({
    {ServingState::Full, "full"},
    {ServingState::IdempotentOnly, "idempotent-only"},
    {ServingState::NoConfiguration, "no-configuration"},
    {ServingState::BehindVersion, "behind-version"},
    {ServingState::Isolated, "isolated"},
});

/// Decides whether this process may serve. The lease counts only if its last write checked the
/// head and a view that contains this process: acceptance of a later version then waits for this
/// process or for the end of its lease. Without such a lease, a strict majority of the view must be
/// in contact; it shares a member with the majority that acknowledged any accepted version.
///
/// A lease also needs recent evidence that its version is the newest, so that a process which is
/// cut off stops before its lease ends: an answered store call that was sent within the evidence
/// window, or a majority in contact. Stale reads make the first kind wrong, so acceptance relies on
/// the lease alone.
class ServingGate
{
public:
    /// Smallest view whose members need evidence besides the lease. In a view of 3 or 4 the
    /// majority without the process itself is every peer, so one failed peer and a short outage of
    /// the store would stop the others.
    static constexpr std::size_t smallestViewWithEvidence = 5;

    ServingGate(MembershipTiming timing, const LeaseKeeper &member,
                const MembershipTracker &tracker, const ConfigurationFollower &follower,
                MembershipDefects defects = {});

    /// Takes note of the evidence. To be called after every event: whether a process had evidence
    /// when it learned of a higher version decides how long it may serve the older one.
    void observe(TimePoint now) { evidenceEnd(now); }
    ServingState state(TimePoint now);
    /// End of the state Full when nothing more is heard from the store or peers; nothing when the
    /// state is another one.
    std::optional<TimePoint> fullUntil(TimePoint now);

private:
    bool knowsHigherVersion() const;
    std::optional<TimePoint> evidenceEnd(TimePoint now);

    MembershipTiming m_timing;
    const LeaseKeeper &m_member;
    const MembershipTracker &m_tracker;
    const ConfigurationFollower &m_follower;
    MembershipDefects m_defects;
    /// End of what contact proves, while a higher version than the one in force is known.
    std::optional<TimePoint> m_behindLimit;
    TimePoint m_evidenceEnd; ///< by the last call of evidenceEnd()
    TimePoint m_lastLease; ///< last moment with a lease, or the start
    bool m_started = false;
};

inline bool mayServe(ServingState state)
{
    return state == ServingState::Full || state == ServingState::IdempotentOnly;
}

} // namespace Peridot
