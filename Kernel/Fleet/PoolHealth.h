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

    /// Number of hosts that are not live, but that \a ledger lists neither with a permit, nor as
    /// unavailable, nor as incoming. They count against the availability budget too.
    std::size_t countUnrecordedSuspects(const PoolRecord &ledger) const;

    /// Name of a rack or data centre of which at least half of the hosts have failed, the last of
    /// them within correlatedFailureHold, or nothing.
    std::optional<std::string> correlatedFailure() const;

private:
    /// Failures among the hosts of one rack or data centre.
    struct FailureDomain
    {
        std::size_t hosts = 0;
        std::size_t failed = 0;
        TimePoint lastFailure;
    };

    void addHost(FailureDomain &domain, const FleetView::Host &host) const;
    bool isCorrelatedFailure(const FailureDomain &domain, std::size_t minimum) const;

    const FleetView &m_view;
    const FleetView::Pool &m_pool;
    TimePoint m_now;
};

} // namespace Peridot
