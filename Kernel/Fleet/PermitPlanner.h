#pragma once

#include "LedgerStep.h"
#include "PoolHealth.h"
#include <Kernel/Fleet/WaveOrder.h>

namespace Peridot {

/// Grants permits to active hosts that should be drained, as many as the budget allows.
class PermitPlanner
{
public:
    PermitPlanner(const FleetView &view, const PoolScope &scope, TimePoint now, LedgerStep &step,
                  WaveOrder order = WaveOrder::FailureDomain);

    void grant();

    /// What holds back a permit for this active host.
    enum class Obstacle {
        None,
        Budget,
        CorrelatedFailure,
        FailureDomainSpread,
        WavePaused,
        HostSuspected,
    };
    Obstacle obstacle(const std::string &name, DrainPurpose purpose) const;

    /// Hosts that count against the budget.
    std::size_t used() const;
    std::size_t budget() const;

private:
    struct Candidate
    {
        DrainPurpose purpose = DrainPurpose::None;
        bool rackOpen = false; ///< another host of its rack holds a permit
        std::size_t rackPending = 0; ///< hosts of its rack that should be drained
        std::size_t tasks = 0;
        std::string rack;
        std::string name;
    };

    std::vector<Candidate> candidates() const;
    bool goesBefore(const Candidate &left, const Candidate &right) const;
    bool keepsSpread(const std::string &name) const;

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    LedgerStep &m_step;
    WaveOrder m_order;
    PoolHealth m_health;
    std::size_t m_doubts;
    std::optional<std::string> m_correlatedFailure;
};

} // namespace Peridot
