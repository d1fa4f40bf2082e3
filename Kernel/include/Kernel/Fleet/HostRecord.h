#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Peridot {

enum class HostState { Active, Draining, Drained, Rebooting, Returning, Failed, Quarantined };

constexpr auto hostStateNames = makeEnumTable<HostState>({
    {HostState::Active, "active"},
    {HostState::Draining, "draining"},
    {HostState::Drained, "drained"},
    {HostState::Rebooting, "rebooting"},
    {HostState::Returning, "returning"},
    {HostState::Failed, "failed"},
    {HostState::Quarantined, "quarantined"},
});

/// Reason of a planned unavailability of a host.
enum class DrainPurpose { None, Maintenance, Operator, Move, Removal };

constexpr auto drainPurposeNames = makeEnumTable<DrainPurpose>({
    {DrainPurpose::None, "none"},
    {DrainPurpose::Maintenance, "maintenance"},
    {DrainPurpose::Operator, "operator"},
    {DrainPurpose::Move, "move"},
    {DrainPurpose::Removal, "removal"},
});

/// Row host/<name>. It determines the actual pool of the host. A host on probation executes one
/// task at a time, until a task succeeds or runs for long enough.
struct HostRecord
{
    std::string name;
    std::string pool;
    std::string rack;
    std::string dataCentre;
    std::string region;
    HostState state = HostState::Active;
    DrainPurpose purpose = DrainPurpose::None;
    TimePoint since; ///< when \c state was entered
    std::uint64_t generation = 0; ///< maintenance generation that was completed last
    std::uint64_t rebootFrom = 0; ///< boot count before the current reboot
    std::uint64_t targetGeneration = 0; ///< generation that the current reboot completes
    unsigned quarantines = 0; ///< consecutive ones; above 0, the host is on probation
    TimePoint probeAt; ///< end of the quarantine
};

/// Errors: InvalidJson, MissingField, InvalidValue; the field is the path inside the row.
Result<HostRecord> parseHostRecord(std::string_view text);
std::string encodeHostRecord(const HostRecord &record);

} // namespace Peridot
