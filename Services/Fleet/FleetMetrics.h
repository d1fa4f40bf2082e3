#pragma once

#include "FleetPlanner.h"
#include "FleetStatus.h"
#include <Kernel/Membership/ServingGate.h>
#include <memory>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>

namespace Peridot {

/// Metrics of the fleet process in the Prometheus text format: buffer, duration of waves, host
/// moves and availability budget of each pool, and counters of the planner, membership and store.
class FleetMetrics
{
public:
    FleetMetrics();

    void updatePools(const std::vector<PoolStatus> &statuses);
    void updatePlanner(const FleetPlanner::Counters &counters);
    void updateMembership(std::uint64_t version, ServingState state, std::size_t leases);
    void updateStore(std::uint64_t reads, std::uint64_t writes);
    std::string text() const;

private:
    using GaugeFamily = prometheus::Family<prometheus::Gauge>;

    GaugeFamily &family(const std::string &name, const std::string &help);

    std::shared_ptr<prometheus::Registry> m_registry = std::make_shared<prometheus::Registry>();
    GaugeFamily &m_budget;
    GaugeFamily &m_unavailable;
    GaugeFamily &m_hosts;
    GaugeFamily &m_buffer;
    GaugeFamily &m_waveSeconds;
    GaugeFamily &m_planner;
    GaugeFamily &m_moves;
    GaugeFamily &m_membership;
    GaugeFamily &m_store;
};

} // namespace Peridot
