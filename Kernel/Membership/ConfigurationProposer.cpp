#include <Kernel/Membership/ConfigurationProposer.h>

#include <Kernel/Fleet/ManifestDifference.h>
#include <LibBase/Json.h>
#include <algorithm>
#include <cstdio>
#include <utility>
#include <xxhash.h>

namespace Peridot {

namespace {

std::string digestOf(const std::string &text)
{
    char buffer[17];
    std::snprintf(buffer, sizeof buffer, "%016llx",
                  static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
    return buffer;
}

std::string writeAuditRecord(const Proposal &proposal, std::uint64_t version, TimePoint now)
{
    Json::Value value(Json::objectValue);
    value["who"] = proposal.author;
    value["what"] = "apply";
    value["version"] = Json::UInt64(version);
    value["time_ms"] = Json::Int64(toUnixMilliseconds(now));
    return writeJson(value);
}

std::string leaseKey()
{
    return std::string("lease/") + configurationLeaseName;
}

std::string manifestOf(const Row &row)
{
    return valueOrElse([&] { return parseConfigurationVersion(row.value); },
                       [](const Error &) { return ConfigurationVersion{}; })
        .manifest;
}

/// Paths that differ between two manifest texts; empty when one of them cannot be parsed.
std::vector<std::string> changedPaths(const std::string &before, const std::string &after)
{
    return valueOrElse(
        [&]() -> Result<std::vector<std::string>> {
            BOOST_LEAF_AUTO(old, parseManifest(before));
            BOOST_LEAF_AUTO(current, parseManifest(after));
            std::vector<std::string> paths;
            for (const auto &change : manifestDifference(old, current))
                paths.push_back(change.path);
            return paths;
        },
        [](const Error &) { return std::vector<std::string>(); });
}

} // namespace

ConfigurationProposer::ConfigurationProposer(std::string instance, MembershipTiming timing,
                                             const LeaseKeeper &lease,
                                             const MembershipTracker &tracker,
                                             ConfigurationFollower &follower,
                                             MembershipDefects defects)
    : m_instance(std::move(instance)), m_timing(timing), m_lease(lease), m_tracker(tracker),
      m_follower(follower), m_defects(defects)
{
}

void ConfigurationProposer::propose(Proposal proposal)
{
    m_proposals.push_back(std::move(proposal));
}

std::vector<ProposalResult> ConfigurationProposer::takeResults()
{
    return std::exchange(m_results, {});
}

std::vector<RowCheck> ConfigurationProposer::leaseChecks(TimePoint now) const
{
    const auto held = m_lease.held(now);
    return {{leaseKey(), held ? held->rowVersion : absentVersion},
            {configurationHeadKey, m_follower.headRowVersion()}};
}

std::set<std::string> ConfigurationProposer::acknowledgingInstances(std::uint64_t version) const
{
    std::set<std::string> result;
    const MembershipView &view = m_tracker.view();
    for (const auto *instances : {&view.instances, &view.previous}) {
        for (const auto &instance : *instances) {
            if (m_tracker.acknowledgedVersion(instance) >= version)
                result.insert(instance);
        }
    }
    if (m_follower.versionInForce() >= version)
        result.insert(m_instance);
    return result;
}

bool ConfigurationProposer::mayAccept(TimePoint now)
{
    const ConfigurationHead &head = m_follower.head();
    if (head.version == 0 || head.state == ConfigurationState::Accepted || !m_lease.held(now))
        return false;
    if (m_defects.acceptWithoutAcknowledgements)
        return true;
    const MembershipView &view = m_tracker.view();
    const auto acknowledged = acknowledgingInstances(head.version);
    auto acknowledgedOrDown = acknowledged;
    for (const auto *instances : {&view.instances, &view.previous}) {
        for (const auto &instance : *instances) {
            if (m_tracker.isCertainlyDown(now, instance))
                acknowledgedOrDown.insert(instance);
        }
    }
    if (!isStrictMajority(view, acknowledgedOrDown)) {
        m_majorityVersion = 0;
        return false;
    }
    if (m_majorityVersion != head.version || m_majorityViewVersion != m_tracker.viewRowVersion()) {
        m_majorityVersion = head.version;
        m_majorityViewVersion = m_tracker.viewRowVersion();
        m_majoritySince = now;
    }
    if (now < m_majoritySince + m_timing.acceptanceDelay)
        return false;
    return std::all_of(view.instances.begin(), view.instances.end(), [&](const auto &instance) {
        return acknowledged.count(instance) != 0 || !m_tracker.mayHoldLease(now, instance);
    });
}

std::optional<StoreRequest> ConfigurationProposer::nextRequest(TimePoint now)
{
    if (now < m_nextRequestAt)
        return std::nullopt;
    if (m_step == Step::Resolving)
        return resolveRequest();
    if (!m_proposals.empty())
        return proposeRequest(now);
    return acceptRequest(now);
}

std::optional<StoreRequest> ConfigurationProposer::proposeRequest(TimePoint now)
{
    const Proposal &proposal = m_proposals.front();
    // The outcome of a write that may have taken effect is resolved even if the lease has since
    // been lost.
    if (!m_lease.held(now)) {
        if (m_outcomeUnknown) {
            m_step = Step::Resolving;
            return resolveRequest();
        }
        finishProposal({proposal.ticket, ProposalStatus::NotHolder, 0, {}, {}});
        return std::nullopt;
    }
    // A renewal in flight changes the row version that this write would check.
    if (!m_follower.headKnown() || !m_lease.idle())
        return std::nullopt;
    const std::uint64_t version = proposal.parent + 1;
    if (m_operation.empty())
        m_operation = m_instance + "/apply/" + std::to_string(now.time_since_epoch().count()) + '/'
                      + std::to_string(++m_operationCount);
    if (m_follower.head().version != proposal.parent) {
        m_step = Step::Resolving;
        return resolveRequest();
    }
    m_headBeingWritten = {version, ConfigurationState::Proposed, digestOf(proposal.manifest),
                          proposal.author, m_operation};
    Transaction transaction;
    transaction.operationId = m_operation;
    transaction.checks = leaseChecks(now);
    transaction.checks.push_back({configurationVersionKey(version), absentVersion});
    transaction.writes.push_back(
        {configurationHeadKey, writeConfigurationHead(m_headBeingWritten)});
    transaction.writes.push_back({configurationVersionKey(version),
                                  writeConfigurationVersion({proposal.manifest, proposal.author,
                                                             proposal.parent, m_operation})});
    transaction.writes.push_back({"audit/" + std::to_string(toUnixMilliseconds(now)) + '-'
                                      + m_instance + '-' + std::to_string(m_operationCount),
                                  writeAuditRecord(proposal, version, now)});
    m_step = Step::Proposing;
    return transaction;
}

std::optional<StoreRequest> ConfigurationProposer::resolveRequest() const
{
    const std::uint64_t parent = m_proposals.front().parent;
    ReadRows read{{configurationHeadKey, configurationVersionKey(parent + 1),
                   configurationVersionKey(parent)}};
    if (m_follower.head().version > parent + 1)
        read.keys.push_back(configurationVersionKey(m_follower.head().version));
    return read;
}

std::optional<StoreRequest> ConfigurationProposer::acceptRequest(TimePoint now)
{
    if (!mayAccept(now))
        return std::nullopt;
    m_headBeingWritten = m_follower.head();
    m_headBeingWritten.state = ConfigurationState::Accepted;
    Transaction transaction;
    transaction.operationId = m_instance + "/accept/"
                              + std::to_string(now.time_since_epoch().count()) + '/'
                              + std::to_string(++m_operationCount);
    transaction.checks = leaseChecks(now);
    transaction.checks.push_back({membershipViewKey, m_tracker.viewRowVersion()});
    // If a member whose lease had expired has renewed it since, its row version has changed and the
    // transaction conflicts.
    const auto acknowledged = acknowledgingInstances(m_headBeingWritten.version);
    for (const auto &instance : m_tracker.view().instances) {
        if (acknowledged.count(instance) == 0)
            transaction.checks.push_back({"member/" + instance, m_tracker.rowVersion(instance)});
    }
    transaction.writes.push_back(
        {configurationHeadKey, writeConfigurationHead(m_headBeingWritten)});
    m_step = Step::Accepting;
    return transaction;
}

void ConfigurationProposer::committed(TimePoint now, const CommitResult &result)
{
    const Step step = std::exchange(m_step, Step::Idle);
    if (result.status == CommitStatus::Committed)
        m_follower.observeHead(
            {configurationHeadKey, result.revision, writeConfigurationHead(m_headBeingWritten)});
    if (step == Step::Proposing) {
        proposalCommitted(now, result);
        return;
    }
    if (result.status == CommitStatus::Committed)
        return;
    m_follower.requestPoll();
    m_nextRequestAt
        = now
          + (result.status == CommitStatus::Conflict ? m_timing.staleRetry : m_timing.storeRetry);
}

void ConfigurationProposer::proposalCommitted(TimePoint now, const CommitResult &result)
{
    const Proposal proposal = m_proposals.front();
    switch (result.status) {
    case CommitStatus::Committed:
        m_follower.manifestReceived(m_headBeingWritten.version, proposal.manifest);
        finishProposal(
            {proposal.ticket, ProposalStatus::Proposed, m_headBeingWritten.version, {}, {}});
        return;
    case CommitStatus::Unavailable:
    case CommitStatus::Refused:
        if (m_outcomeUnknown) {
            m_nextRequestAt = now + m_timing.storeRetry;
            m_step = Step::Resolving;
            return;
        }
        finishProposal({proposal.ticket, ProposalStatus::Unavailable, 0, {}, {}});
        return;
    case CommitStatus::Unknown:
        m_outcomeUnknown = true;
        m_step = Step::Resolving;
        return;
    case CommitStatus::Conflict:
        m_step = Step::Resolving;
        return;
    }
}

void ConfigurationProposer::rowsRead(TimePoint now, const ReadResult &result)
{
    if (result.status != ReadStatus::Ok || result.rows.size() < 3) {
        m_nextRequestAt = now + m_timing.storeRetry;
        return;
    }
    m_follower.observeHead(result.rows[0]);
    resolveProposal(result);
    if (m_step == Step::Resolving) {
        // The read did not show the outcome: the write is retried with the same operation id. The
        // pause prevents a tight loop of stale reads.
        m_step = Step::Idle;
        m_nextRequestAt = now + m_timing.staleRetry;
    }
}

void ConfigurationProposer::resolveProposal(const ReadResult &result)
{
    const Proposal proposal = m_proposals.front();
    const Row &nextRow = result.rows[1];
    if (nextRow.version == absentVersion) {
        // The parent does not exist, so the proposal cannot succeed.
        if (m_follower.head().version < proposal.parent && !m_outcomeUnknown)
            finishProposal({proposal.ticket,
                            ProposalStatus::Conflict,
                            m_follower.head().version,
                            m_follower.head().author,
                            {}});
        return;
    }
    const auto written = valueOrElse([&] { return parseConfigurationVersion(nextRow.value); },
                                     [](const Error &) { return ConfigurationVersion{}; });
    if (written.operation == m_operation) {
        m_follower.manifestReceived(proposal.parent + 1, proposal.manifest);
        finishProposal({proposal.ticket, ProposalStatus::Proposed, proposal.parent + 1, {}, {}});
        return;
    }
    const bool headVersionRead = result.rows.size() > 3 && result.rows[3].version != absentVersion;
    const std::string current = headVersionRead ? manifestOf(result.rows[3]) : written.manifest;
    const ConfigurationHead &head = m_follower.head();
    finishProposal({proposal.ticket, ProposalStatus::Conflict, head.version, head.author,
                    changedPaths(manifestOf(result.rows[2]), current)});
}

void ConfigurationProposer::finishProposal(ProposalResult result)
{
    m_results.push_back(std::move(result));
    m_proposals.pop_front();
    m_operation.clear();
    m_outcomeUnknown = false;
    m_step = Step::Idle;
}

} // namespace Peridot
