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
    std::size_t unavailable = 0; ///< hosts with permits, and failed, quarantined or suspected ones
    double capacityProcessors = 0; ///< capacity of the active hosts
    double idleProcessors = 0; ///< part of it that no task reserves: the size of the buffer
    WaveState wave = WaveState::Idle;
    double waveSeconds = 0; ///< duration of the current or last wave
};

std::vector<PoolStatus> poolStatuses(const FleetView &view, TimePoint now);
Json::Value poolStatusesToJson(const std::vector<PoolStatus> &statuses);
/// All rows of the view, for the method dump.
Json::Value fleetViewToJson(const FleetView &view);

} // namespace Peridot
