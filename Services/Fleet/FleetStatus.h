#pragma once

#include <Kernel/Fleet/FleetView.h>
#include <json/value.h>

namespace Peridot {

/// State of the budget, the buffer and the wave of one pool.
struct PoolStatus
{
    std::string name;
    unsigned budget = 0;
    std::size_t hosts = 0;
    std::size_t unavailable = 0; ///< permits, failed and quarantined hosts, and hosts in doubt
    double capacityProcessors = 0; ///< of the active hosts
    double idleProcessors = 0; ///< of those, not reserved by tasks: the cost of the buffer
    WaveState wave = WaveState::Idle;
    double waveSeconds = 0; ///< duration of the running or last wave
};

std::vector<PoolStatus> poolStatuses(const FleetView &view, TimePoint now);
Json::Value poolStatusesToJson(const std::vector<PoolStatus> &statuses);
/// All rows that the view holds, for dump.
Json::Value fleetViewToJson(const FleetView &view);

} // namespace Peridot
