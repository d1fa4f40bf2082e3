#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Peridot::Jobs {

enum class HostPhase {
    Up,
    Moving, ///< between two pools
    Maintenance,
    Down,
};

constexpr auto hostPhaseNames = makeEnumTable<HostPhase>({
    {HostPhase::Up, "up"},
    {HostPhase::Moving, "moving"},
    {HostPhase::Maintenance, "maintenance"},
    {HostPhase::Down, "down"},
});

/// A host by the list of the provider. It stays the same host through moves and maintenance; each
/// time a new worker runs on it.
struct HostDescription
{
    std::string id;
    std::string pool;
    HostPhase phase = HostPhase::Up;
    TaskSize capacity;
    std::string worker; ///< empty: none
};

/// An administrator's request that each of these hosts has its maintenance in time.
struct MaintenanceWave
{
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    Duration period{0}; ///< from the request
    unsigned atOnce = 1; ///< most hosts in maintenance at a time
    TimePoint requestedAt; ///< when the request was first seen; the period counts from it
};

enum class HostOrderKind { Move, Maintain };

constexpr auto hostOrderKindNames = makeEnumTable<HostOrderKind>({
    {HostOrderKind::Move, "move"},
    {HostOrderKind::Maintain, "maintain"},
});

/// Waves by number.
using MaintenanceWaves = std::map<std::uint64_t, MaintenanceWave>;

struct HostOrder
{
    HostOrderKind kind = HostOrderKind::Move;
    std::string host;
    std::string pool; ///< of Move: where to
    std::uint64_t wave = 0; ///< of Maintain
    std::uint64_t fencingEpoch = 0;
};

enum class HostOrderOutcome {
    Accepted, ///< begun or done; whatever ran on the host has ended
    Fenced,
    Busy, ///< not up, or about to leave
    WrongWave, ///< the host is not of this wave
    Invalid, ///< no such host, or the pool is for other hosts
    Refused, ///< nothing was done; later perhaps
    Unknown,
};

constexpr auto hostOrderOutcomeNames = makeEnumTable<HostOrderOutcome>({
    {HostOrderOutcome::Accepted, "accepted"},
    {HostOrderOutcome::Fenced, "fenced"},
    {HostOrderOutcome::Busy, "busy"},
    {HostOrderOutcome::WrongWave, "wrong-wave"},
    {HostOrderOutcome::Invalid, "invalid"},
    {HostOrderOutcome::Refused, "refused"},
    {HostOrderOutcome::Unknown, "unknown"},
});

} // namespace Peridot::Jobs
