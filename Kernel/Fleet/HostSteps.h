#pragma once

#include "LedgerStep.h"
#include "PoolHealth.h"

namespace Peridot {

/// Why the host should be drained now, by configuration, operator and wave; None when it should be
/// active.
DrainPurpose wantedPurpose(const FleetView &view, const FleetView::Host &host,
                           const WaveRecord &wave);

/// What a draining host still waits for before it may stop.
enum class DrainBlocker { None, Tasks, RequestsInFlight, Report };

DrainBlocker drainBlocker(const FleetView &view, const FleetView::Host &host, TimePoint now);

/// Takes the next step of each host of a pool that already left the active state, and records
/// failures and quarantines. New permits are granted by PermitPlanner.
class HostSteps
{
public:
    HostSteps(const FleetView &view, const PoolScope &scope, TimePoint now, LedgerStep &step);

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
    bool failsEveryTask(const std::string &name, const FleetView::Host &host) const;
    /// True when the failure of \a job speaks against the worker and not against the job.
    bool isToBlame(const std::string &name, const FleetView::Host &host,
                   const std::string &job) const;
    bool provedItself(const FleetView::Host &host) const;

    const FleetView &m_view;
    TimePoint m_now;
    LedgerStep &m_step;
    PoolHealth m_health;
};

} // namespace Peridot
