#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Peridot::Jobs {

enum class HostPhase {
    Up,
    Moving, ///< being moved to another pool; runs no tasks
    Maintenance,
    Down,
};

constexpr auto hostPhaseNames = makeEnumTable<HostPhase>({
    {HostPhase::Up, "up"},
    {HostPhase::Moving, "moving"},
    {HostPhase::Maintenance, "maintenance"},
    {HostPhase::Down, "down"},
});

/// A host as listed by the host provider. Its id survives moves between pools and maintenance,
/// but a new worker starts on the host after each move and each maintenance.
struct HostDescription
{
    std::string id;
    std::string pool;
    HostPhase phase = HostPhase::Up;
    TaskSize capacity;
    std::string worker; ///< id of the worker that runs on the host; empty: none
};

/// The host provider's list of hosts.
struct HostList
{
    std::vector<HostDescription> hosts;
    /// Entries that could not be read. A host that is not listed may be one of them.
    std::size_t unreadableEntries = 0;
};

/// An administrator's request to maintain each of the listed hosts once within a period.
struct MaintenanceWave
{
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    Duration period{0}; ///< time limit for the whole wave, counted from requestedAt
    unsigned maximumConcurrent = 1; ///< limit on the hosts in maintenance at the same time
    TimePoint requestedAt; ///< when a process of the job service first read the request
};

enum class HostOrderKind { Move, Maintain };

constexpr auto hostOrderKindNames = makeEnumTable<HostOrderKind>({
    {HostOrderKind::Move, "move"},
    {HostOrderKind::Maintain, "maintain"},
});

/// Maintenance waves by number.
using MaintenanceWaves = std::map<std::uint64_t, MaintenanceWave>;

/// An order to the host provider to move or maintain one host.
struct HostOrder
{
    HostOrderKind kind = HostOrderKind::Move;
    std::string host;
    std::string pool; ///< target pool; only for Move
    std::uint64_t wave = 0; ///< number of the wave; only for Maintain
    std::uint64_t fencingEpoch = 0; ///< of the scheduler that sends the order
};

enum class HostOrderOutcome {
    Accepted, ///< the order is in progress or completed; all runs on the host have ended
    Fenced, ///< the provider has seen a higher fencing epoch
    Busy, ///< the host is not up, or is about to go down
    WrongWave, ///< the host does not belong to this wave
    Invalid, ///< the host does not exist, or the target pool does not accept it
    Refused, ///< the order was not carried out; it may succeed when sent again later
    Unknown, ///< no answer; the order may have been carried out or may still be
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
