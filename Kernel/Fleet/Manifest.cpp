#include <Kernel/Fleet/Manifest.h>

#include "ManifestChecker.h"
#include "ManifestSchema.h"
#include <LibBase/Json.h>

namespace Peridot {

namespace {

Resources resourcesOf(const Json::Value &value)
{
    return {value["processors"].asDouble(), value["memory_gb"].asDouble(),
            value.get("accelerators", 0).asUInt()};
}

Duration milliseconds(const Json::Value &value, const char *member, Duration fallback)
{
    if (!value.isMember(member))
        return fallback;
    return std::chrono::milliseconds(value[member].asInt64());
}

PoolSpecification poolOf(const Json::Value &value)
{
    PoolSpecification pool;
    pool.name = value["name"].asString();
    pool.availabilityBudget = value["availability_budget"].asUInt();
    pool.spare = value.get("spare", pool.spare).asBool();
    pool.minimumFailureDomains
        = value.get("minimum_failure_domains", pool.minimumFailureDomains).asUInt();
    return pool;
}

HostSpecification hostOf(const Json::Value &value)
{
    return {value["name"].asString(),           value["pool"].asString(),
            value["rack"].asString(),           value["data_centre"].asString(),
            value.get("region", "").asString(), resourcesOf(value["capacity"])};
}

BackendServerSpecification backendServerOf(const Json::Value &value)
{
    BackendServerSpecification server;
    server.name = value["name"].asString();
    server.host = value["host"].asString();
    server.address = value["address"].asString();
    server.port = static_cast<std::uint16_t>(value["port"].asUInt());
    server.slots = value.get("slots", server.slots).asUInt();
    server.connections = value.get("connections", server.connections).asUInt();
    return server;
}

ServiceSpecification serviceOf(const Json::Value &value)
{
    ServiceSpecification service;
    service.name = value["name"].asString();
    service.share = value.get("share", service.share).asDouble();
    service.deadline = milliseconds(value, "deadline_ms", service.deadline);
    for (const auto &pool : value["pools"])
        service.pools.push_back(pool.asString());
    return service;
}

JobSpecification jobOf(const Json::Value &value)
{
    JobSpecification job;
    job.name = value["name"].asString();
    job.pool = value["pool"].asString();
    job.team = value["team"].asString();
    job.urgency
        = urgencyNames.valueOf(value.get("urgency", "normal").asString()).value_or(job.urgency);
    job.tasks = value.get("tasks", job.tasks).asUInt();
    job.taskSize = resourcesOf(value["task_size"]);
    if (value.isMember("run_time_ms"))
        job.declaredRunTime = milliseconds(value, "run_time_ms", {});
    return job;
}

MaintenanceSpecification maintenanceOf(const Json::Value &value)
{
    MaintenanceSpecification maintenance;
    maintenance.drainTimeout = milliseconds(value, "drain_timeout_ms", maintenance.drainTimeout);
    maintenance.rebootTimeout = milliseconds(value, "reboot_timeout_ms", maintenance.rebootTimeout);
    maintenance.generation
        = value.get("generation", Json::Value::UInt64(maintenance.generation)).asUInt64();
    return maintenance;
}

template <typename Specification, typename Function>
std::vector<Specification> listOf(const Json::Value &list, Function &&parse)
{
    std::vector<Specification> result;
    result.reserve(list.size());
    for (const auto &value : list)
        result.push_back(parse(value));
    return result;
}

} // namespace

Result<Manifest> parseManifest(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text, true));
    BOOST_LEAF_CHECK(validateSchema(value, manifestSchema));
    Manifest manifest;
    manifest.pools = listOf<PoolSpecification>(value["pools"], poolOf);
    manifest.hosts = listOf<HostSpecification>(value["hosts"], hostOf);
    manifest.backendServers
        = listOf<BackendServerSpecification>(value["backend_servers"], backendServerOf);
    manifest.services = listOf<ServiceSpecification>(value["services"], serviceOf);
    manifest.teams = listOf<TeamSpecification>(value["teams"], [](const Json::Value &team) {
        return TeamSpecification{team["name"].asString(), resourcesOf(team["quota"])};
    });
    manifest.jobs = listOf<JobSpecification>(value["jobs"], jobOf);
    manifest.maintenance = maintenanceOf(value["maintenance"]);
    BOOST_LEAF_CHECK(ManifestChecker(manifest).check());
    return manifest;
}

} // namespace Peridot
