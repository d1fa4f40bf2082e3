#include "PoolHealth.h"

#include <Kernel/Fleet/FleetTiming.h>
#include <algorithm>

namespace Peridot {

namespace {

// Two of the usual four hosts of a rack, or four hosts and half of the pool's hosts in a data
// centre: fewer are expected from independent failures (120 a day among 15,000 hosts).
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

std::size_t PoolHealth::uncountedDoubts(const PoolRecord &ledger) const
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

void PoolHealth::countHost(Domain &domain, const FleetView::Host &host) const
{
    if (!host.record)
        return;
    ++domain.hosts;
    if (host.record->state == HostState::Failed) {
        ++domain.bad;
        domain.lastFailure = std::max(domain.lastFailure, host.record->since);
        return;
    }
    // A drained or rebooting host is expected to be silent.
    const bool expected = host.record->state == HostState::Drained
                          || host.record->state == HostState::Rebooting
                          || host.record->state == HostState::Returning;
    if (expected || !m_view.isSuspected(host, m_now))
        return;
    ++domain.bad;
    if (host.report)
        domain.lastFailure = std::max(domain.lastFailure, host.report->lastSeen + suspectAfter);
}

bool PoolHealth::isFailing(const Domain &domain, std::size_t minimum) const
{
    return domain.bad >= minimum && domain.bad * 2 >= domain.hosts
           && m_now - domain.lastFailure <= correlatedFailureHold;
}

std::optional<std::string> PoolHealth::correlatedFailure() const
{
    std::map<std::string, Domain> dataCentres;
    std::set<std::pair<std::string, std::string>> racks;
    for (const auto &name : m_pool.hosts) {
        const auto *host = m_view.host(name);
        countHost(dataCentres[host->record->dataCentre], *host);
        racks.emplace(host->record->dataCentre, host->record->rack);
    }
    for (const auto &[name, domain] : dataCentres) {
        if (isFailing(domain, minimumFailedInDataCentre))
            return name;
    }
    for (const auto &[dataCentre, rack] : racks) {
        Domain domain;
        for (const auto &name : m_view.domainHosts(dataCentre, rack))
            countHost(domain, *m_view.host(name));
        if (isFailing(domain, minimumFailedInRack))
            return std::string(dataCentre).append("/").append(rack);
    }
    return std::nullopt;
}

} // namespace Peridot
