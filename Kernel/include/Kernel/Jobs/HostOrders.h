#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Peridot::Jobs {

enum class HostPhase {
    Up,
    Moving, ///< between two pools; not usable
    Maintenance,
    Down,
};

constexpr auto hostPhaseNames = makeEnumTable<HostPhase>({
    {HostPhase::Up, "up"},
    {HostPhase::Moving, "moving"},
    {HostPhase::Maintenance, "maintenance"},
    {HostPhase::Down, "down"},
});

/// A host as listed by its provider. The id stays the same through moves between pools and
/// maintenance, whereas a new worker starts on the host after each of them.
struct HostDescription
{
    std::string id;
    std::string pool;
    HostPhase phase = HostPhase::Up;
    TaskSize capacity;
    std::string worker; ///< id of the worker on the host; empty: none
};

/// An administrator's request to maintain each of these hosts once within a period.
struct MaintenanceWave
{
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    Duration period{0}; ///< starts at requestedAt
    unsigned maximumConcurrent = 1; ///< limit on hosts in maintenance at the same time
    TimePoint requestedAt; ///< when the request was first read
};

enum class HostOrderKind { Move, Maintain };

constexpr auto hostOrderKindNames = makeEnumTable<HostOrderKind>({
    {HostOrderKind::Move, "move"},
    {HostOrderKind::Maintain, "maintain"},
});

/// Maintenance waves by number.
using MaintenanceWaves = std::map<std::uint64_t, MaintenanceWave>;

struct HostOrder
{
    HostOrderKind kind = HostOrderKind::Move;
    std::string host;
    std::string pool; ///< target pool; only for Move
    std::uint64_t wave = 0; ///< number of the wave; only for Maintain
    std::uint64_t fencingEpoch = 0;
};

enum class HostOrderOutcome {
    Accepted, ///< in progress or completed; all runs on the host have ended
    Fenced, ///< the provider has seen a higher fencing epoch
    Busy, ///< the host is not up, or is about to go down
    WrongWave, ///< the host does not belong to this wave
    Invalid, ///< the host does not exist, or the pool does not accept it
    Refused, ///< not carried out; may succeed when sent again later
    Unknown, ///< no answer; may have been carried out, or may be later
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
