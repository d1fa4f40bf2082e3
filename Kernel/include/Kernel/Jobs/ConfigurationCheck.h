#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/EnumTable.h>
#include <string>
#include <vector>

namespace Peridot::Jobs {

enum class FindingSeverity {
    Error, ///< the entry does not have the effect that it states
    Warning, ///< the entry has no effect, or one that is rarely intended
};

constexpr auto findingSeverityNames = makeEnumTable<FindingSeverity>({
    {FindingSeverity::Error, "error"},
    {FindingSeverity::Warning, "warning"},
});

enum class FindingKind {
    InvalidEntry, ///< left out, or used with another value
    DuplicateName,
    UnknownPool, ///< a queue names a pool that the configuration lacks
    UnreachableQueue, ///< no call is ever routed to the queue
    UnusedPool, ///< no queue names the pool, and it is not a spare pool
    SparePoolWithQueue, ///< a queue names a spare pool, whose hosts are powered off
    NoObjective, ///< every job of the queue is late from the beginning
    TicketExpiresEarly, ///< tickets of the placement advice expire before they can be used
    OrganisationWithoutKey, ///< only public queues are open to it
    NobodyAdmitted, ///< no key opens the queue
    OrganisationWithoutRate, ///< others have a rate, so that it is never beyond its own
    OldVersion, ///< not higher than the version in force, so that it is ignored
};

constexpr auto findingKindNames = makeEnumTable<FindingKind>({
    {FindingKind::InvalidEntry, "invalid-entry"},
    {FindingKind::DuplicateName, "duplicate-name"},
    {FindingKind::UnknownPool, "unknown-pool"},
    {FindingKind::UnreachableQueue, "unreachable-queue"},
    {FindingKind::UnusedPool, "unused-pool"},
    {FindingKind::SparePoolWithQueue, "spare-pool-with-queue"},
    {FindingKind::NoObjective, "no-objective"},
    {FindingKind::TicketExpiresEarly, "ticket-expires-early"},
    {FindingKind::OrganisationWithoutKey, "organisation-without-key"},
    {FindingKind::NobodyAdmitted, "nobody-admitted"},
    {FindingKind::OrganisationWithoutRate, "organisation-without-rate"},
    {FindingKind::OldVersion, "old-version"},
});

/// What is wrong or odd about one entry of a configuration. Never contains a key.
struct ConfigurationFinding
{
    FindingSeverity severity = FindingSeverity::Error;
    FindingKind kind = FindingKind::InvalidEntry;
    std::string entry; ///< such as "queue checks"
    std::string detail; ///< for people

    bool operator==(const ConfigurationFinding &) const = default;
};

enum class DifferenceKind { Added, Removed, Changed };

constexpr auto differenceKindNames = makeEnumTable<DifferenceKind>({
    {DifferenceKind::Added, "added"},
    {DifferenceKind::Removed, "removed"},
    {DifferenceKind::Changed, "changed"},
});

/// What a configuration does to one entry of the configuration in force. Keys are only counted.
struct ConfigurationDifference
{
    DifferenceKind kind = DifferenceKind::Changed;
    std::string entry;
    std::vector<std::string> members = {}; ///< changed ones, with both values

    bool operator==(const ConfigurationDifference &) const = default;
};

/// Looks for entries that contradict each other or can have no effect.
std::vector<ConfigurationFinding> checkConfiguration(const JobConfiguration &configuration);

/// The differences in the order of \a next, then what it removes.
std::vector<ConfigurationDifference> compareConfigurations(const JobConfiguration &inForce,
                                                           const JobConfiguration &next);

} // namespace Peridot::Jobs
