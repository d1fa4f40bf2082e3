#include "FleetMetrics.h"

#include <prometheus/text_serializer.h>

namespace Peridot {

FleetMetrics::FleetMetrics()
    : m_budget(family("peridot_pool_budget", "Hosts of the pool that may be unavailable at once")),
      m_unavailable(family("peridot_pool_unavailable",
                           "Hosts counted against the budget, with those in doubt")),
      m_hosts(family("peridot_pool_hosts", "Hosts of the pool")),
      m_buffer(family("peridot_pool_buffer_processors",
                      "Processors of active hosts that no task has reserved")),
      m_waveSeconds(family("peridot_pool_rollout_seconds",
                           "Duration of the running or last maintenance wave")),
      m_planner(family("peridot_fleet_planner", "Work of the planner since the start")),
      m_moves(family("peridot_host_moves", "Changes of the pool of a host seen since the start")),
      m_membership(family("peridot_fleet_membership", "Membership state of this process")),
      m_store(family("peridot_fleet_store_calls", "Store calls of this process since the start"))
{
}

FleetMetrics::GaugeFamily &FleetMetrics::family(const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry);
}

void FleetMetrics::updatePools(const std::vector<PoolStatus> &statuses)
{
    for (const auto &status : statuses) {
        const std::map<std::string, std::string> labels{{"pool", status.name}};
        m_budget.Add(labels).Set(status.budget);
        m_unavailable.Add(labels).Set(static_cast<double>(status.unavailable));
        m_hosts.Add(labels).Set(static_cast<double>(status.hosts));
        m_buffer.Add(labels).Set(status.idleProcessors);
        m_waveSeconds.Add(labels).Set(status.waveSeconds);
    }
}

void FleetMetrics::updatePlanner(const FleetPlanner::Counters &counters)
{
    const auto set = [&](const char *event, std::uint64_t value) {
        m_planner.Add({{"event", event}}).Set(static_cast<double>(value));
    };
    set("passes", counters.passes);
    set("committed", counters.committed);
    set("conflicts", counters.conflicts);
    set("unknown", counters.unknown);
    set("unavailable", counters.unavailable);
    set("commands", counters.commands);
    m_moves.Add({}).Set(static_cast<double>(counters.hostMoves));
}

void FleetMetrics::updateMembership(std::uint64_t version, ServingState state, std::size_t leases)
{
    m_membership.Add({{"value", "configuration_version"}}).Set(static_cast<double>(version));
    m_membership.Add({{"value", "leases"}}).Set(static_cast<double>(leases));
    m_membership.Add({{"value", "serving"}}).Set(mayServe(state) ? 1 : 0);
}

void FleetMetrics::updateStore(std::uint64_t reads, std::uint64_t writes)
{
    m_store.Add({{"kind", "read"}}).Set(static_cast<double>(reads));
    m_store.Add({{"kind", "write"}}).Set(static_cast<double>(writes));
}

std::string FleetMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace Peridot
