#pragma once

#include <Kernel/Fleet/FleetView.h>

namespace Peridot {

/// Observed health of the hosts of one pool.
class PoolHealth
{
public:
    PoolHealth(const FleetView &view, const FleetView::Pool &pool, TimePoint now);

    /// True when the platform lists the host as live and has heard from it recently.
    bool isLive(const FleetView::Host &host) const;

    /// True when the platform answered recently and has not heard from the host for failedAfter, or
    /// lists it as gone or leaving.
    bool isLost(const FleetView::Host &host) const;

    /// Hosts in doubt that neither hold a permit nor are recorded as unavailable in \a ledger.
    std::size_t uncountedDoubts(const PoolRecord &ledger) const;

    /// Name of a rack or data centre whose hosts failed together a short time ago, or nothing.
    std::optional<std::string> correlatedFailure() const;

private:
    struct Domain
    {
        std::size_t hosts = 0;
        std::size_t bad = 0;
        TimePoint lastFailure;
    };

    void countHost(Domain &domain, const FleetView::Host &host) const;
    bool isFailing(const Domain &domain, std::size_t minimum) const;

    const FleetView &m_view;
    const FleetView::Pool &m_pool;
    TimePoint m_now;
};

} // namespace Peridot
