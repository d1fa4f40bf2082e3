#pragma once

#include <Kernel/Membership/ConfigurationFollower.h>
#include <Kernel/Membership/LeaseKeeper.h>
#include <Kernel/Membership/MembershipTracker.h>
#include <LibBase/EnumTable.h>
#include <optional>

namespace Peridot {

enum class ServingState {
    Full, ///< has a lease and recent evidence of the latest version: may serve every request
    IdempotentOnly, ///< only a majority is in contact: must not write claims
    NoConfiguration,
    BehindVersion, ///< a peer reported a higher version or view epoch
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
/// in contact, which shares a member with the majority that acknowledged any accepted version.
///
/// A process with a lease also needs recent evidence that its version is the latest, so that it
/// stops before its lease ends when it is disconnected from the store and its peers. Evidence is an
/// answered store call that was sent within the evidence window, or a majority in contact. A store
/// call can be wrong evidence because of stale reads, so acceptance relies only on the lease.
class ServingGate
{
public:
    /// Smallest size of a view in which evidence is required in addition to the lease. In a view of
    /// 3 or 4, a majority without the process itself needs every peer, so one failed peer and a
    /// short store outage would stop the others.
    static constexpr std::size_t smallestViewWithEvidence = 5;

    ServingGate(MembershipTiming timing, const LeaseKeeper &memberLease,
                const MembershipTracker &tracker, const ConfigurationFollower &follower,
                MembershipDefects defects = {});

    /// Records the current evidence. Must be called after every event: the evidence at the time
    /// when the process learned of a higher version determines how long it may serve the older one.
    void observe(TimePoint now) { evidenceEnd(now); }
    ServingState state(TimePoint now);
    /// End of the state Full if nothing more is received from the store or from peers; nothing in
    /// other states.
    std::optional<TimePoint> fullUntil(TimePoint now);

private:
    bool knowsHigherVersion() const;
    std::optional<TimePoint> evidenceEnd(TimePoint now);

    MembershipTiming m_timing;
    const LeaseKeeper &m_memberLease;
    const MembershipTracker &m_tracker;
    const ConfigurationFollower &m_follower;
    MembershipDefects m_defects;
    /// While a version higher than the one in force is known: the time until which contact with a
    /// majority counts as evidence. Set when that version became known.
    std::optional<TimePoint> m_contactEvidenceLimit;
    TimePoint m_evidenceEnd; ///< result of the last call of evidenceEnd()
    /// When state() last found a lease; initially the time of its first call.
    TimePoint m_lastLeaseAt;
    bool m_lastLeaseInitialized = false;
};

inline bool mayServe(ServingState state)
{
    return state == ServingState::Full || state == ServingState::IdempotentOnly;
}

} // namespace Peridot
