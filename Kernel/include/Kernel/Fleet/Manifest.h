#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot {

/// Amount of each resource that a worker provides or a task needs.
struct Resources
{
    double processors = 0; ///< cores
    double memoryGigabytes = 0;
    unsigned accelerators = 0;

    bool operator==(const Resources &) const = default;
};

struct PoolSpecification
{
    std::string name;
    unsigned availabilityBudget = 1; ///< hosts that may be unavailable at once
    bool spare = false; ///< its free capacity counts as buffer of other pools, which may borrow it
    unsigned minimumFailureDomains = 1; ///< racks that keep an active host during drains

    bool operator==(const PoolSpecification &) const = default;
};

struct HostSpecification
{
    std::string name;
    std::string pool; ///< desired pool; the host row decides the actual one
    std::string rack;
    std::string dataCentre;
    std::string region;
    Resources capacity;

    bool operator==(const HostSpecification &) const = default;
};

struct BackendServerSpecification
{
    std::string name;
    std::string host;
    std::string address;
    std::uint16_t port = 0;
    unsigned slots = 8;
    unsigned connections = 64;

    bool operator==(const BackendServerSpecification &) const = default;
};

struct ServiceSpecification
{
    std::string name;
    double share = 1.0;
    Duration deadline = std::chrono::seconds(10);
    std::vector<std::string> pools; ///< home pool, then pools from which it may borrow

    bool operator==(const ServiceSpecification &) const = default;
};

struct TeamSpecification
{
    std::string name;
    Resources quota;

    bool operator==(const TeamSpecification &) const = default;
};

struct JobSpecification
{
    std::string name;
    std::string pool;
    std::string team;
    Urgency urgency = Urgency::Normal;
    unsigned tasks = 1;
    Resources taskSize; ///< declared size; replaced by the observed usage as reports arrive
    std::optional<Duration> declaredRunTime; ///< nothing: runs until the job is removed

    bool operator==(const JobSpecification &) const = default;
};

struct MaintenanceSpecification
{
    Duration drainTimeout = std::chrono::minutes(5);
    Duration rebootTimeout = std::chrono::minutes(10);
    std::uint64_t generation = 0; ///< generation to which a wave brings every host

    bool operator==(const MaintenanceSpecification &) const = default;
};

struct Manifest
{
    std::vector<PoolSpecification> pools;
    std::vector<HostSpecification> hosts;
    std::vector<BackendServerSpecification> backendServers;
    std::vector<ServiceSpecification> services;
    std::vector<TeamSpecification> teams;
    std::vector<JobSpecification> jobs;
    MaintenanceSpecification maintenance;
};

/// Parses and checks a manifest: JSON with comments, schema, unique names, resolved references.
/// Errors: InvalidJson, SchemaViolation, DuplicateName, UnknownReference, InvalidValue; the field
/// is the path of the invalid value.
Result<Manifest> parseManifest(std::string_view text);

} // namespace Peridot
