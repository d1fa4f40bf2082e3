#pragma once

#include "LedgerStep.h"
#include "PoolHealth.h"

namespace Peridot {

/// Purpose for which the host must be drained according to the manifest, drain requests and \a
/// wave, or None when it should be active.
DrainPurpose requiredDrainPurpose(const FleetView &view, const FleetView::Host &host,
                                  const WaveRecord &wave);

/// What prevents a draining host from being drained.
enum class DrainBlocker {
    None,
    Tasks, ///< tasks are assigned to the host or still executing on it
    RequestsInFlight, ///< requests sent before the drain may still be running
    NoRecentReport ///< the host may have failed, or its last report predates the current host row
};

/// Returns the first condition that prevents the drain of \a host from completing. The host must
/// have a row.
DrainBlocker drainBlocker(const FleetView &view, const FleetView::Host &host, TimePoint now);

/// State machine of the hosts of one pool: it carries out drains, reboots and returns, and records
/// failures and quarantines. PermitPlanner grants the permits with which hosts begin to drain.
class HostLifecycle
{
public:
    HostLifecycle(const FleetView &view, const PoolScope &scope, TimePoint now, LedgerStep &step);

    /// Changes the state of the host as far as the rows and reports allow now.
    void advance(const std::string &name);

private:
    void advanceActive(const std::string &name, const FleetView::Host &host);
    void advanceDraining(const std::string &name, const FleetView::Host &host);
    void advanceDrained(const std::string &name, const FleetView::Host &host);
    void advanceRebooting(const std::string &name, const FleetView::Host &host);
    void advanceReturning(const std::string &name, const FleetView::Host &host);
    void advanceFailed(const std::string &name, const FleetView::Host &host);
    void advanceQuarantined(const std::string &name, const FleetView::Host &host);
    void markUnavailable(const std::string &name, HostState state, UnavailabilityReason reason);
    void reboot(const std::string &name, const FleetView::Host &host);
    bool shouldQuarantine(const std::string &name, const FleetView::Host &host) const;
    /// True when the last failure of a task of \a job on the worker was probably caused by the
    /// worker: the task then ran elsewhere, or failed repeatedly on this worker only.
    bool indicatesWorkerFault(const std::string &name, const FleetView::Host &host,
                              const std::string &job) const;
    bool passedProbation(const FleetView::Host &host) const;

    const FleetView &m_view;
    TimePoint m_now;
    LedgerStep &m_step;
    PoolHealth m_health;
};

} // namespace Peridot
