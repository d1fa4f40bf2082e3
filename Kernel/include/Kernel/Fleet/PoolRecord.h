#pragma once

#include <Kernel/Fleet/HostRecord.h>
#include <map>
#include <set>

namespace Peridot {

/// Permission for a planned unavailability of one host.
struct Permit
{
    DrainPurpose purpose = DrainPurpose::Maintenance;
    TimePoint since;
};

enum class UnavailabilityReason { Failed, Quarantined };

constexpr auto unavailabilityReasonNames = makeEnumTable<UnavailabilityReason>({
    {UnavailabilityReason::Failed, "failed"},
    {UnavailabilityReason::Quarantined, "quarantined"},
});

struct Unavailability
{
    UnavailabilityReason reason = UnavailabilityReason::Failed;
    TimePoint since;
};

enum class WaveState { Idle, Running, Paused, Aborted, Complete };

constexpr auto waveStateNames = makeEnumTable<WaveState>({
    {WaveState::Idle, "idle"},
    {WaveState::Running, "running"},
    {WaveState::Paused, "paused"},
    {WaveState::Aborted, "aborted"},
    {WaveState::Complete, "complete"},
});

struct WaveRecord
{
    WaveState state = WaveState::Idle;
    std::uint64_t generation = 0; ///< hosts with a lower generation are maintained
    std::string startedBy;
    TimePoint startedAt;
    TimePoint finishedAt;
};

/// Row pool/<name>: the ledger of the unavailable hosts of a pool, planned and unplanned.
struct PoolRecord
{
    std::string name;
    unsigned budget = 0; ///< availability budget at \c configurationVersion
    std::uint64_t configurationVersion = 0; ///< processes with an older manifest do not plan
    std::uint64_t fencingEpoch = 0; ///< highest epoch of a lease holder that wrote the row
    std::map<std::string, Permit> permits; ///< by host
    std::map<std::string, Unavailability> unavailable; ///< by host; disjoint from permits
    std::set<std::string> incomingHosts; ///< moved here, not yet active; not counted as capacity
    WaveRecord wave;
};

/// Errors: InvalidJson, MissingField, InvalidValue; the field is the path inside the row.
Result<PoolRecord> parsePoolRecord(std::string_view text);
std::string encodePoolRecord(const PoolRecord &record);

} // namespace Peridot
