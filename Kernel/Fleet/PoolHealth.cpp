#include "PoolHealth.h"

#include <Kernel/Fleet/FleetTiming.h>
#include <algorithm>

namespace Peridot {

namespace {

// Failures in a rack or data centre count as correlated when at least this many and at least half
// of its hosts have failed. All hosts of a rack are counted (usually four), but in a data centre
// only those of the pool. Independent failures (120 a day among 15,000 hosts) are expected to stay
// below these numbers.
constexpr std::size_t minimumFailedInRack = 2;
constexpr std::size_t minimumFailedInDataCentre = 4;

} // namespace

PoolHealth::PoolHealth(const FleetView &view, const FleetView::Pool &pool, TimePoint now)
    : m_view(view), m_pool(pool), m_now(now)
{
}

bool PoolHealth::isLive(const FleetView::Host &host) const
{
    return !m_view.isSuspected(host, m_now) && host.report->liveness == HostLiveness::Live;
}

bool PoolHealth::isLost(const FleetView::Host &host) const
{
    if (!host.report || m_now - host.reportReceived > reportStaleAfter)
        return false;
    return host.report->liveness != HostLiveness::Live
           || host.reportReceived - host.report->lastSeen > failedAfter;
}

std::size_t PoolHealth::countUnrecordedSuspects(const PoolRecord &ledger) const
{
    std::size_t count = 0;
    for (const auto &name : m_pool.hosts) {
        const auto *host = m_view.host(name);
        if (!isLive(*host) && !ledger.permits.contains(name) && !ledger.unavailable.contains(name)
            && !ledger.incomingHosts.contains(name))
            ++count;
    }
    return count;
}

void PoolHealth::addHost(FailureDomain &domain, const FleetView::Host &host) const
{
    if (!host.record)
        return;
    ++domain.hosts;
    if (host.record->state == HostState::Failed) {
        ++domain.failed;
        domain.lastFailure = std::max(domain.lastFailure, host.record->since);
        return;
    }
    // A drained, rebooting or returning host may be silent without having failed.
    const bool silenceExpected = host.record->state == HostState::Drained
                                 || host.record->state == HostState::Rebooting
                                 || host.record->state == HostState::Returning;
    if (silenceExpected || !m_view.isSuspected(host, m_now))
        return;
    ++domain.failed;
    if (host.report)
        domain.lastFailure = std::max(domain.lastFailure, host.report->lastSeen + suspectAfter);
}

bool PoolHealth::isCorrelatedFailure(const FailureDomain &domain, std::size_t minimum) const
{
    return domain.failed >= minimum && domain.failed * 2 >= domain.hosts
           && m_now - domain.lastFailure <= correlatedFailureHold;
}

std::optional<std::string> PoolHealth::correlatedFailure() const
{
    std::map<std::string, FailureDomain> dataCentres;
    std::set<std::pair<std::string, std::string>> racks;
    for (const auto &name : m_pool.hosts) {
        const auto *host = m_view.host(name);
        addHost(dataCentres[host->record->dataCentre], *host);
        racks.emplace(host->record->dataCentre, host->record->rack);
    }
    for (const auto &[name, domain] : dataCentres) {
        if (isCorrelatedFailure(domain, minimumFailedInDataCentre))
            return name;
    }
    for (const auto &[dataCentre, rack] : racks) {
        FailureDomain domain;
        for (const auto &name : m_view.domainHosts(dataCentre, rack))
            addHost(domain, *m_view.host(name));
        if (isCorrelatedFailure(domain, minimumFailedInRack))
            return std::string(dataCentre).append("/").append(rack);
    }
    return std::nullopt;
}

} // namespace Peridot
