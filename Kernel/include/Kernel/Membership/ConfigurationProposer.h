#pragma once

#include <Kernel/Membership/ConfigurationFollower.h>
#include <Kernel/Membership/LeaseKeeper.h>
#include <Kernel/Membership/MembershipTracker.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Peridot {

struct Proposal
{
    std::uint64_t ticket = 0; ///< chosen by the caller, returned with the result
    std::string author;
    std::string manifest; ///< validated by the caller
    std::uint64_t parent = 0; ///< version on which the author based the change
};

enum class ProposalStatus {
    Proposed, ///< written; will be adopted by every process
    Conflict, ///< another version was written since the parent
    NotHolder, ///< this process does not hold the lease `configuration`
    Unavailable, ///< the store failed, and the version was certainly not written
};

constexpr auto proposalStatusNames = makeEnumTable<ProposalStatus>({
    {ProposalStatus::Proposed, "proposed"},
    {ProposalStatus::Conflict, "conflict"},
    {ProposalStatus::NotHolder, "not-holder"},
    {ProposalStatus::Unavailable, "unavailable"},
});

struct ProposalResult
{
    std::uint64_t ticket = 0;
    ProposalStatus status = ProposalStatus::Unavailable;
    std::uint64_t version = 0; ///< written version; on conflict, the version of the head
    std::string author; ///< on conflict, the author of the head
    std::vector<std::string> changed; ///< on conflict, the manifest paths changed since the parent
};

/// Writes configuration versions and marks them as accepted. Runs on the holder of the lease
/// `configuration`. Each transaction checks the lease row, so that writes of a previous holder have
/// no effect.
class ConfigurationProposer : public StoreProtocol
{
public:
    ConfigurationProposer(std::string instance, MembershipTiming timing, const LeaseKeeper &lease,
                          const MembershipTracker &tracker, ConfigurationFollower &follower,
                          MembershipDefects defects = {});

    void propose(Proposal proposal);
    std::vector<ProposalResult> takeResults();
    /// Whether the proposed head may be marked accepted at \a now.
    bool mayAccept(TimePoint now);

protected:
    std::optional<StoreRequest> nextRequest(TimePoint now) override;
    void committed(TimePoint now, const CommitResult &result) override;
    void rowsRead(TimePoint now, const ReadResult &result) override;

private:
    enum class Step { Idle, Proposing, Resolving, Accepting };

    std::optional<StoreRequest> proposeRequest(TimePoint now);
    std::optional<StoreRequest> acceptRequest(TimePoint now);
    std::optional<StoreRequest> resolveRequest() const;
    void proposalCommitted(TimePoint now, const CommitResult &result);
    void resolveProposal(const ReadResult &result);
    void finishProposal(ProposalResult result);
    std::vector<RowCheck> leaseChecks(TimePoint now) const;
    /// Members of the current and the previous view that have adopted \a version or a higher one.
    std::set<std::string> acknowledgingInstances(std::uint64_t version) const;

    std::string m_instance;
    MembershipTiming m_timing;
    const LeaseKeeper &m_lease;
    const MembershipTracker &m_tracker;
    ConfigurationFollower &m_follower;
    MembershipDefects m_defects;
    std::deque<Proposal> m_proposals;
    std::vector<ProposalResult> m_results;
    Step m_step = Step::Idle;
    bool m_outcomeUnknown = false; ///< a write of the current proposal may have taken effect
    std::string m_operation; ///< operation id of the current proposal
    ConfigurationHead m_headBeingWritten; ///< content of the write in flight
    std::uint64_t m_operationCount = 0;
    std::uint64_t m_majorityVersion = 0; ///< version acknowledged by a majority; 0 if there is none
    Version m_majorityViewVersion = absentVersion; ///< row version of the view of that majority
    TimePoint m_majoritySince; ///< when that majority was first observed
    TimePoint m_nextRequestAt;
};

} // namespace Peridot
