#pragma once

#include "LedgerStep.h"
#include "PoolHealth.h"
#include <Kernel/Fleet/WaveOrder.h>

namespace Peridot {

/// Grants drain permits to active hosts that should be drained, within the availability budget of
/// their pool.
class PermitPlanner
{
public:
    PermitPlanner(const FleetView &view, const PoolScope &scope, TimePoint now, LedgerStep &step,
                  WaveOrder order = WaveOrder::FailureDomain);

    void grant();

    /// Why an active host does not receive a permit.
    enum class Blocker {
        None,
        Budget, ///< as many hosts as the budget allows are unavailable already
        CorrelatedFailure, ///< many hosts of a rack or data centre failed a short time ago
        FailureDomainSpread, ///< too few racks would keep an active host
        WavePaused,
        HostSuspected, ///< the host is not reported as live
    };
    Blocker blocker(const std::string &name, DrainPurpose purpose) const;

    /// Number of hosts that count against the budget: those with permits, unavailable ones, and
    /// suspected ones that are not recorded yet.
    std::size_t usedBudget() const;
    std::size_t budget() const;

private:
    struct Candidate
    {
        DrainPurpose purpose = DrainPurpose::None;
        bool rackInProgress = false; ///< another host of its rack holds a permit
        std::size_t pendingInRack = 0; ///< hosts of its rack that should be drained
        std::size_t tasks = 0;
        std::string rack;
        std::string name;
    };

    std::vector<Candidate> candidates() const;
    bool precedes(const Candidate &left, const Candidate &right) const;
    bool keepsFailureDomainSpread(const std::string &name) const;

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    LedgerStep &m_step;
    WaveOrder m_order;
    PoolHealth m_health;
    std::size_t m_unrecordedSuspects;
    std::optional<std::string> m_correlatedFailure;
};

} // namespace Peridot
