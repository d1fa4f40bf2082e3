#pragma once

#include <Kernel/Membership/ConfigurationFollower.h>
#include <Kernel/Membership/LeaseKeeper.h>
#include <Kernel/Membership/MembershipTracker.h>
#include <LibBase/EnumTable.h>

namespace Peridot {

enum class ServingState {
    Full, ///< by its own lease: every request
    IdempotentOnly, ///< by contact with a majority: no claim may be written
    NoConfiguration,
    BehindVersion, ///< a peer stated a higher version or view epoch
    Isolated, ///< neither a lease nor a majority
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
class ServingGate
{
public:
    ServingGate(MembershipTiming timing, const LeaseKeeper &member,
                const MembershipTracker &tracker, const ConfigurationFollower &follower);

    ServingState state(TimePoint now);

private:
    MembershipTiming m_timing;
    const LeaseKeeper &m_member;
    const MembershipTracker &m_tracker;
    const ConfigurationFollower &m_follower;
    TimePoint m_lastLease; ///< last moment with a lease, or the start
    bool m_started = false;
};

inline bool mayServe(ServingState state)
{
    return state == ServingState::Full || state == ServingState::IdempotentOnly;
}

} // namespace Peridot
