#include <LibStore/PlatformCodec.h>

#include "JsonFields.h"
#include <LibBase/Json.h>

namespace Peridot {

namespace {

Json::Value toJson(const Resources &resources)
{
    Json::Value value(Json::objectValue);
    value["processors"] = resources.processors;
    value["memory_gigabytes"] = resources.memoryGigabytes;
    value["accelerators"] = resources.accelerators;
    return value;
}

Result<Resources> decodeResources(const Json::Value &value)
{
    Resources resources;
    BOOST_LEAF_ASSIGN(resources.processors, realMember(value, "processors"));
    BOOST_LEAF_ASSIGN(resources.memoryGigabytes, realMember(value, "memory_gigabytes"));
    BOOST_LEAF_AUTO(accelerators, unsignedMember(value, "accelerators"));
    resources.accelerators = static_cast<unsigned>(accelerators);
    return resources;
}

Json::Value toJson(TimePoint time)
{
    return Json::Value(static_cast<Json::Int64>(toUnixMilliseconds(time)));
}

Json::Value toJson(std::uint64_t number)
{
    return Json::Value(static_cast<Json::UInt64>(number));
}

Result<TimePoint> timeMember(const Json::Value &object, const char *name)
{
    BOOST_LEAF_AUTO(milliseconds, integerMember(object, name));
    return fromUnixMilliseconds(milliseconds);
}

template <typename Table>
auto enumMember(const Json::Value &object, const char *name, const Table &table)
    -> Result<std::remove_cvref_t<decltype(table.entries[0].first)>>
{
    BOOST_LEAF_AUTO(text, stringMember(object, name));
    const auto value = table.valueOf(text);
    if (!value)
        return makeError(ErrorCode::ProtocolViolation, name, text);
    return *value;
}

Json::Value toJson(const TaskReport &task)
{
    Json::Value value(Json::objectValue);
    value["task"] = task.task;
    value["state"] = std::string(taskStateNames.nameOf(task.state));
    value["usage"] = toJson(task.usage);
    value["epoch"] = toJson(task.epoch);
    return value;
}

Result<TaskReport> decodeTask(const Json::Value &value)
{
    TaskReport task;
    BOOST_LEAF_ASSIGN(task.task, stringMember(value, "task"));
    BOOST_LEAF_ASSIGN(task.state, enumMember(value, "state", taskStateNames));
    BOOST_LEAF_AUTO(usage, objectMember(value, "usage"));
    BOOST_LEAF_ASSIGN(task.usage, decodeResources(usage));
    BOOST_LEAF_ASSIGN(task.epoch, unsignedMember(value, "epoch"));
    return task;
}

Json::Value toJson(const HostReport &report)
{
    Json::Value value(Json::objectValue);
    value["host"] = report.host;
    value["liveness"] = std::string(hostLivenessNames.nameOf(report.liveness));
    value["last_seen_ms"] = toJson(report.lastSeen);
    value["boot_count"] = toJson(report.bootCount);
    value["tasks"] = Json::Value(Json::arrayValue);
    for (const auto &task : report.tasks)
        value["tasks"].append(toJson(task));
    return value;
}

Result<HostReport> decodeReport(const Json::Value &value)
{
    HostReport report;
    BOOST_LEAF_ASSIGN(report.host, stringMember(value, "host"));
    BOOST_LEAF_ASSIGN(report.liveness, enumMember(value, "liveness", hostLivenessNames));
    BOOST_LEAF_ASSIGN(report.lastSeen, timeMember(value, "last_seen_ms"));
    BOOST_LEAF_ASSIGN(report.bootCount, unsignedMember(value, "boot_count"));
    BOOST_LEAF_AUTO(tasks, arrayMember(value, "tasks"));
    for (const auto &entry : tasks) {
        BOOST_LEAF_AUTO(task, decodeTask(entry));
        report.tasks.push_back(task);
    }
    return report;
}

} // namespace

std::string encodeHostList(const HostList &list)
{
    Json::Value body(Json::objectValue);
    body["observed_ms"] = toJson(list.observed);
    body["hosts"] = Json::Value(Json::arrayValue);
    for (const auto &host : list.hosts)
        body["hosts"].append(toJson(host));
    return writeJson(body);
}

Result<HostList> decodeHostList(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    HostList list;
    BOOST_LEAF_ASSIGN(list.observed, timeMember(body, "observed_ms"));
    BOOST_LEAF_AUTO(hosts, arrayMember(body, "hosts"));
    for (const auto &entry : hosts) {
        BOOST_LEAF_AUTO(host, decodeReport(entry));
        list.hosts.push_back(host);
    }
    return list;
}

std::string encodeHostReport(const HostReport &report)
{
    return writeJson(toJson(report));
}

Result<HostReport> decodeHostReport(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    return decodeReport(body);
}

std::string encodeWorkerCommand(const WorkerCommand &command)
{
    Json::Value body(Json::objectValue);
    body["kind"] = std::string(workerCommandKindNames.nameOf(command.kind));
    body["task"] = command.task;
    body["epoch"] = toJson(command.epoch);
    body["limit"] = toJson(command.limit);
    body["lease_end_ms"] = toJson(command.leaseEnd);
    return writeJson(body);
}

Result<WorkerCommand> decodeWorkerCommand(const std::string &host, std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    WorkerCommand command;
    command.host = host;
    BOOST_LEAF_ASSIGN(command.kind, enumMember(body, "kind", workerCommandKindNames));
    BOOST_LEAF_ASSIGN(command.task, stringMember(body, "task"));
    BOOST_LEAF_ASSIGN(command.epoch, unsignedMember(body, "epoch"));
    BOOST_LEAF_AUTO(limit, objectMember(body, "limit"));
    BOOST_LEAF_ASSIGN(command.limit, decodeResources(limit));
    BOOST_LEAF_ASSIGN(command.leaseEnd, timeMember(body, "lease_end_ms"));
    return command;
}

std::string encodeCommandReply(const CommandReply &reply)
{
    Json::Value body(Json::objectValue);
    body["accepted"] = reply.accepted;
    body["reason"] = reply.reason;
    return writeJson(body);
}

Result<CommandReply> decodeCommandReply(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    if (!body.isObject() || !body["accepted"].isBool())
        return makeError(ErrorCode::ProtocolViolation, "accepted");
    CommandReply reply;
    reply.accepted = body["accepted"].asBool();
    BOOST_LEAF_ASSIGN(reply.reason, stringMember(body, "reason"));
    return reply;
}

} // namespace Peridot
