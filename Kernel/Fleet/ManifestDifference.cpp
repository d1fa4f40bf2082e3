#include <Kernel/Fleet/ManifestDifference.h>

#include "RowReader.h"
#include <map>

namespace Peridot {

namespace {

Json::Value encodeMilliseconds(Duration duration)
{
    return Json::Value::Int64(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

Json::Value encode(const PoolSpecification &pool)
{
    Json::Value value(Json::objectValue);
    value["name"] = pool.name;
    value["availability_budget"] = pool.availabilityBudget;
    value["spare"] = pool.spare;
    value["minimum_failure_domains"] = pool.minimumFailureDomains;
    return value;
}

Json::Value encode(const HostSpecification &host)
{
    Json::Value value(Json::objectValue);
    value["name"] = host.name;
    value["pool"] = host.pool;
    value["rack"] = host.rack;
    value["data_centre"] = host.dataCentre;
    if (!host.region.empty())
        value["region"] = host.region;
    value["capacity"] = encodeResources(host.capacity);
    return value;
}

Json::Value encode(const BackendServerSpecification &server)
{
    Json::Value value(Json::objectValue);
    value["name"] = server.name;
    value["host"] = server.host;
    value["address"] = server.address;
    value["port"] = server.port;
    value["slots"] = server.slots;
    value["connections"] = server.connections;
    return value;
}

Json::Value encode(const ServiceSpecification &service)
{
    Json::Value value(Json::objectValue);
    value["name"] = service.name;
    value["share"] = service.share;
    value["deadline_ms"] = encodeMilliseconds(service.deadline);
    value["pools"] = Json::Value(Json::arrayValue);
    for (const auto &pool : service.pools)
        value["pools"].append(pool);
    return value;
}

Json::Value encode(const TeamSpecification &team)
{
    Json::Value value(Json::objectValue);
    value["name"] = team.name;
    value["quota"] = encodeResources(team.quota);
    return value;
}

Json::Value encode(const JobSpecification &job)
{
    Json::Value value(Json::objectValue);
    value["name"] = job.name;
    value["pool"] = job.pool;
    value["team"] = job.team;
    value["urgency"] = encodeName(urgencyNames.nameOf(job.urgency));
    value["tasks"] = job.tasks;
    value["task_size"] = encodeResources(job.taskSize);
    if (job.declaredRunTime)
        value["run_time_ms"] = encodeMilliseconds(*job.declaredRunTime);
    return value;
}

Json::Value encode(const MaintenanceSpecification &maintenance)
{
    Json::Value value(Json::objectValue);
    value["drain_timeout_ms"] = encodeMilliseconds(maintenance.drainTimeout);
    value["reboot_timeout_ms"] = encodeMilliseconds(maintenance.rebootTimeout);
    value["generation"] = Json::Value::UInt64(maintenance.generation);
    return value;
}

using Changes = std::vector<ManifestChange>;

void compareMembers(const std::string &path, const Json::Value &before, const Json::Value &after,
                    Changes &changes)
{
    std::map<std::string, int> members;
    for (const auto &member : before.getMemberNames())
        members[member] = 0;
    for (const auto &member : after.getMemberNames())
        members[member] = 0;
    for (const auto &[member, unused] : members) {
        if (before[member] != after[member])
            changes.push_back({ManifestChangeKind::Changed,
                               std::string(path).append("/").append(member),
                               before.isMember(member) ? writeJson(before[member]) : std::string(),
                               after.isMember(member) ? writeJson(after[member]) : std::string()});
    }
}

template <typename List>
void compareLists(const std::string &path, const List &before, const List &after, Changes &changes)
{
    std::map<std::string, std::pair<Json::Value, Json::Value>> entries;
    for (const auto &entry : before)
        entries[entry.name].first = encode(entry);
    for (const auto &entry : after)
        entries[entry.name].second = encode(entry);
    for (const auto &[name, pair] : entries) {
        const auto entryPath = std::string(path).append("/").append(name);
        if (pair.first.isNull())
            changes.push_back({ManifestChangeKind::Added, entryPath, {}, writeJson(pair.second)});
        else if (pair.second.isNull())
            changes.push_back({ManifestChangeKind::Removed, entryPath, writeJson(pair.first), {}});
        else
            compareMembers(entryPath, pair.first, pair.second, changes);
    }
}

template <typename List>
Json::Value encodeList(const List &list)
{
    Json::Value value(Json::arrayValue);
    for (const auto &entry : list)
        value.append(encode(entry));
    return value;
}

} // namespace

std::vector<ManifestChange> manifestDifference(const Manifest &before, const Manifest &after)
{
    Changes changes;
    compareLists("backend_servers", before.backendServers, after.backendServers, changes);
    compareLists("hosts", before.hosts, after.hosts, changes);
    compareLists("jobs", before.jobs, after.jobs, changes);
    compareMembers("maintenance", encode(before.maintenance), encode(after.maintenance), changes);
    compareLists("pools", before.pools, after.pools, changes);
    compareLists("services", before.services, after.services, changes);
    compareLists("teams", before.teams, after.teams, changes);
    return changes;
}

std::string encodeManifest(const Manifest &manifest)
{
    Json::Value value(Json::objectValue);
    value["pools"] = encodeList(manifest.pools);
    value["hosts"] = encodeList(manifest.hosts);
    value["backend_servers"] = encodeList(manifest.backendServers);
    value["services"] = encodeList(manifest.services);
    value["teams"] = encodeList(manifest.teams);
    value["jobs"] = encodeList(manifest.jobs);
    value["maintenance"] = encode(manifest.maintenance);
    return writeJson(value);
}

} // namespace Peridot
