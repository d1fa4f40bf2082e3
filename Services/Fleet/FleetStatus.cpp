#include "FleetStatus.h"

#include <LibBase/Json.h>

namespace Peridot {

namespace {

double waveSeconds(const WaveRecord &wave, TimePoint now)
{
    if (wave.state == WaveState::Idle)
        return 0;
    const bool open = wave.state == WaveState::Running || wave.state == WaveState::Paused;
    return toSeconds((open ? now : wave.finishedAt) - wave.startedAt);
}

Json::Value parsedOrNull(const std::string &text)
{
    return valueOrElse([&] { return parseJson(text); },
                       [](const Error &) { return Json::Value(); });
}

} // namespace

std::vector<PoolStatus> poolStatuses(const FleetView &view, TimePoint now)
{
    std::vector<PoolStatus> result;
    for (const auto &[name, pool] : view.pools()) {
        PoolStatus status;
        status.name = name;
        status.hosts = pool.hosts.size();
        if (pool.record) {
            status.budget = pool.record->budget;
            status.unavailable = pool.record->permits.size() + pool.record->unavailable.size();
            status.wave = pool.record->wave.state;
            status.waveSeconds = waveSeconds(pool.record->wave, now);
        }
        for (const auto &hostName : pool.hosts) {
            const auto *host = view.host(hostName);
            if (!host || !host->record || host->record->state != HostState::Active)
                continue;
            const bool counted = pool.record
                                 && (pool.record->permits.count(hostName) != 0
                                     || pool.record->unavailable.count(hostName) != 0);
            if (!counted && view.isSuspected(*host, now))
                ++status.unavailable;
            if (!host->specification)
                continue;
            status.capacityProcessors += host->specification->capacity.processors;
            status.idleProcessors
                += host->specification->capacity.processors - host->reserved.processors;
        }
        result.push_back(std::move(status));
    }
    return result;
}

Json::Value poolStatusesToJson(const std::vector<PoolStatus> &statuses)
{
    Json::Value pools(Json::arrayValue);
    for (const auto &status : statuses) {
        Json::Value pool(Json::objectValue);
        pool["name"] = status.name;
        pool["budget"] = status.budget;
        pool["hosts"] = Json::UInt64(status.hosts);
        pool["unavailable"] = Json::UInt64(status.unavailable);
        pool["capacity_processors"] = status.capacityProcessors;
        pool["idle_processors"] = status.idleProcessors;
        pool["wave"] = std::string(waveStateNames.nameOf(status.wave));
        pool["wave_seconds"] = status.waveSeconds;
        pools.append(pool);
    }
    return pools;
}

Json::Value fleetViewToJson(const FleetView &view)
{
    Json::Value result(Json::objectValue);
    result["manifest_version"] = Json::UInt64(view.manifestVersion());
    result["hosts"] = Json::Value(Json::objectValue);
    result["pools"] = Json::Value(Json::objectValue);
    result["jobs"] = Json::Value(Json::objectValue);
    for (const auto &[name, host] : view.hosts()) {
        if (host.record)
            result["hosts"][name] = parsedOrNull(encodeHostRecord(*host.record));
    }
    for (const auto &[name, pool] : view.pools()) {
        if (pool.record)
            result["pools"][name] = parsedOrNull(encodePoolRecord(*pool.record));
    }
    for (const auto &[name, job] : view.jobs()) {
        if (job.record)
            result["jobs"][name] = parsedOrNull(encodeJobRecord(*job.record));
    }
    return result;
}

} // namespace Peridot
