#include <Kernel/Fleet/JobRecord.h>

#include "RowReader.h"
#include <fmt/format.h>
#include <xxhash.h>

namespace Peridot {

namespace {

TaskRecord parseTask(RowReader &parent, const Json::Value &value, unsigned index)
{
    RowReader reader(value, parent.pathOf("tasks/" + std::to_string(index)));
    TaskRecord task;
    task.phase = reader.enumerator("phase", taskPhaseNames);
    task.host = reader.text("host");
    task.epoch = reader.number("epoch");
    task.since = reader.time("since");
    task.leaseEnd = reader.time("lease_end");
    task.size = reader.resources("size");
    task.failures = reader.count("failures");
    task.failedHosts = reader.texts("failed_hosts");
    task.failedAt = reader.time("failed_at");
    task.retryAt = reader.time("retry_at");
    parent.include(reader);
    return task;
}

Json::Value encodeTask(const TaskRecord &task)
{
    Json::Value value(Json::objectValue);
    value["phase"] = encodeName(taskPhaseNames.nameOf(task.phase));
    value["host"] = task.host;
    value["epoch"] = Json::Value::UInt64(task.epoch);
    value["since"] = encodeTime(task.since);
    value["lease_end"] = encodeTime(task.leaseEnd);
    value["size"] = encodeResources(task.size);
    value["failures"] = task.failures;
    auto &failedHosts = value["failed_hosts"] = Json::Value(Json::arrayValue);
    for (const auto &host : task.failedHosts)
        failedHosts.append(host);
    value["failed_at"] = encodeTime(task.failedAt);
    value["retry_at"] = encodeTime(task.retryAt);
    return value;
}

} // namespace

Result<JobRecord> parseJobRecord(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    RowReader reader(value);
    JobRecord record;
    record.name = reader.text("name");
    record.pool = reader.text("pool");
    record.team = reader.text("team");
    record.urgency = reader.enumerator("urgency", urgencyNames);
    record.specificationDigest = reader.text("specification_digest");
    record.state = reader.enumerator("state", jobStateNames);
    record.reason = reader.enumerator("reason", pendingReasonNames);
    record.detail = reader.text("detail");
    record.decidedAtVersion = reader.number("decided_at_version");
    unsigned index = 0;
    for (const auto &task : reader.array("tasks"))
        record.tasks.push_back(parseTask(reader, task, index++));
    RowReader observedUsage(reader.object("learned"), "learned");
    record.observedUsage.processors = observedUsage.real("processors");
    record.observedUsage.memoryGigabytes = observedUsage.real("memory_gb");
    record.observedUsage.samples = observedUsage.count("samples");
    reader.include(observedUsage);
    BOOST_LEAF_CHECK(reader.finish());
    return record;
}

std::string encodeJobRecord(const JobRecord &record)
{
    Json::Value value(Json::objectValue);
    value["name"] = record.name;
    value["pool"] = record.pool;
    value["team"] = record.team;
    value["urgency"] = encodeName(urgencyNames.nameOf(record.urgency));
    value["specification_digest"] = record.specificationDigest;
    value["state"] = encodeName(jobStateNames.nameOf(record.state));
    value["reason"] = encodeName(pendingReasonNames.nameOf(record.reason));
    value["detail"] = record.detail;
    value["decided_at_version"] = Json::Value::UInt64(record.decidedAtVersion);
    auto &tasks = value["tasks"] = Json::Value(Json::arrayValue);
    for (const auto &task : record.tasks)
        tasks.append(encodeTask(task));
    auto &observedUsage = value["learned"] = Json::Value(Json::objectValue);
    observedUsage["processors"] = record.observedUsage.processors;
    observedUsage["memory_gb"] = record.observedUsage.memoryGigabytes;
    observedUsage["samples"] = record.observedUsage.samples;
    return writeJson(value);
}

std::string specificationDigest(const JobSpecification &job)
{
    const auto text = fmt::format(
        "{}|{}|{}|{}|{}|{}|{}|{}", job.pool, job.team, urgencyNames.nameOf(job.urgency), job.tasks,
        job.taskSize.processors, job.taskSize.memoryGigabytes, job.taskSize.accelerators,
        job.declaredRunTime ? job.declaredRunTime->count() : -1);
    return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

} // namespace Peridot
