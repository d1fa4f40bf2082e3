#include <Kernel/Membership/ViewKeeper.h>

#include <Kernel/Membership/ConfigurationHead.h>
#include <utility>

namespace Peridot {

ViewKeeper::ViewKeeper(MemberDescription self, MembershipTiming timing, const LeaseKeeper &lease,
                       MembershipTracker &tracker)
    : m_self(std::move(self)), m_timing(timing), m_lease(lease), m_tracker(tracker)
{
}

std::optional<StoreRequest> ViewKeeper::nextRequest(TimePoint now)
{
    const auto held = m_lease.held(now);
    if (now < m_nextRequestAt || !held || !m_tracker.scanned())
        return std::nullopt;
    if (m_readRequired)
        return ReadRows{{membershipViewKey}};
    Transaction transaction;
    const auto next = m_tracker.view().settled() ? changedView(now, transaction) : settledView(now);
    if (!next)
        return std::nullopt;
    m_viewBeingWritten = *next;
    transaction.operationId = m_self.instance + "/view/"
                              + std::to_string(now.time_since_epoch().count()) + '/'
                              + std::to_string(++m_operationCount);
    transaction.checks.push_back(
        {std::string("lease/") + configurationLeaseName, held->rowVersion});
    transaction.checks.push_back({membershipViewKey, m_tracker.viewRowVersion()});
    transaction.writes.push_back({membershipViewKey, writeMembershipView(m_viewBeingWritten)});
    return transaction;
}

std::optional<MembershipView> ViewKeeper::settledView(TimePoint now) const
{
    const MembershipView &view = m_tracker.view();
    std::set<std::string> acknowledged;
    for (const auto &instance : view.previous) {
        if (instance == m_self.instance || m_tracker.acknowledgedViewEpoch(instance) >= view.epoch
            || m_tracker.isCertainlyDown(now, instance))
            acknowledged.insert(instance);
    }
    if (!isStrictMajority(view.previous, acknowledged))
        return std::nullopt;
    MembershipView settled = view;
    settled.previous.clear();
    return settled;
}

bool ViewKeeper::mayRemove(TimePoint now, const std::string &instance) const
{
    if (instance == m_self.instance || m_tracker.mayHoldLease(now, instance))
        return false;
    if (m_tracker.isCertainlyDown(now, instance))
        return true;
    const auto lastHeartbeat = m_tracker.lastHeartbeat(instance);
    return !lastHeartbeat || now >= *lastHeartbeat + m_timing.viewRemoval;
}

std::optional<MembershipView> ViewKeeper::changedView(TimePoint now, Transaction &transaction) const
{
    const MembershipView &view = m_tracker.view();
    MembershipView next{view.epoch + 1, view.instances, {}};
    const auto withRow = m_tracker.instancesWithRow();
    for (const auto &instance : view.instances) {
        if (!mayRemove(now, instance))
            continue;
        next.instances.erase(instance);
        transaction.checks.push_back({"member/" + instance, m_tracker.rowVersion(instance)});
        if (withRow.count(instance) != 0)
            transaction.writes.push_back({"member/" + instance, std::nullopt});
    }
    for (const auto &instance : withRow) {
        if (m_tracker.mayHoldLease(now, instance))
            next.instances.insert(instance);
    }
    if (next.instances == view.instances || next.instances.empty())
        return std::nullopt;
    if (view.epoch != 0)
        next.previous = view.instances;
    return next;
}

void ViewKeeper::committed(TimePoint now, const CommitResult &result)
{
    if (result.status == CommitStatus::Committed) {
        m_tracker.observeView(m_viewBeingWritten, result.revision);
        return;
    }
    m_readRequired = true;
    m_nextRequestAt
        = now
          + (result.status == CommitStatus::Conflict ? m_timing.staleRetry : m_timing.storeRetry);
}

void ViewKeeper::rowsRead(TimePoint now, const ReadResult &result)
{
    if (result.status != ReadStatus::Ok || result.rows.empty()) {
        m_nextRequestAt = now + m_timing.storeRetry;
        return;
    }
    m_readRequired = false;
    const Row &row = result.rows.front();
    if (row.version == absentVersion)
        return;
    const auto view = valueOrElse([&] { return parseMembershipView(row.value); },
                                  [](const Error &) { return MembershipView{}; });
    m_tracker.observeView(view, row.version);
}

} // namespace Peridot
