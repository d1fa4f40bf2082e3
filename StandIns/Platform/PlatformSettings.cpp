#include "PlatformSettings.h"

#include <LibBase/Settings.h>
#include <set>

namespace Peridot {

namespace {

constexpr const char *schemaText = R"({
  "type": "object",
  "required": ["address", "port", "workers"],
  "additionalProperties": false,
  "properties": {
    "address": {"type": "string", "minLength": 1},
    "port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "writes_per_second": {"type": "number", "minimum": 1},
    "reads_per_second": {"type": "number", "minimum": 1},
    "host_list_lag_ms": {"type": "integer", "minimum": 0},
    "gone_after_ms": {"type": "integer", "minimum": 1},
    "task_start_ms": {"type": "integer", "minimum": 0},
    "checkpoint_ms": {"type": "integer", "minimum": 0},
    "reboot_ms": {"type": "integer", "minimum": 0},
    "usage_lag_ms": {"type": "integer", "minimum": 0},
    "usage_factor": {"type": "number", "minimum": 0},
    "seed": {"type": "integer", "minimum": 0},
    "workers": {
      "type": "array",
      "items": {
        "type": "object",
        "required": ["prefix", "count", "rack_prefix", "per_rack", "data_centre"],
        "additionalProperties": false,
        "properties": {
          "prefix": {"type": "string", "minLength": 1},
          "first": {"type": "integer", "minimum": 0},
          "digits": {"type": "integer", "minimum": 1, "maximum": 8},
          "count": {"type": "integer", "minimum": 1, "maximum": 20000},
          "rack_prefix": {"type": "string", "minLength": 1},
          "per_rack": {"type": "integer", "minimum": 1},
          "data_centre": {"type": "string", "minLength": 1},
          "processors": {"type": "number", "minimum": 0},
          "memory_gigabytes": {"type": "number", "minimum": 0},
          "accelerators": {"type": "integer", "minimum": 0}
        }
      }
    },
    "jobs": {
      "type": "array",
      "items": {
        "type": "object",
        "required": ["job"],
        "additionalProperties": false,
        "properties": {
          "job": {"type": "string", "minLength": 1},
          "run_ms": {"type": "integer", "minimum": 0},
          "processors": {"type": "number", "minimum": 0},
          "memory_gigabytes": {"type": "number", "minimum": 0},
          "accelerators": {"type": "integer", "minimum": 0},
          "fails": {"type": "boolean"}
        }
      }
    }
  }
})";

void readDuration(const Json::Value &value, const char *name, Duration &duration)
{
    if (value.isMember(name))
        duration = std::chrono::milliseconds(value[name].asInt64());
}

void readReal(const Json::Value &value, const char *name, double &number)
{
    if (value.isMember(name))
        number = value[name].asDouble();
}

Resources readResources(const Json::Value &value)
{
    Resources resources;
    readReal(value, "processors", resources.processors);
    readReal(value, "memory_gigabytes", resources.memoryGigabytes);
    resources.accelerators = value.get("accelerators", 0).asUInt();
    return resources;
}

std::string numbered(const std::string &prefix, unsigned number, unsigned digits)
{
    std::string text = std::to_string(number);
    if (text.size() < digits)
        text.insert(0, digits - text.size(), '0');
    return prefix + text;
}

void appendWorkers(const Json::Value &group, std::vector<WorkerDescription> &workers)
{
    const unsigned first = group.get("first", 1).asUInt();
    const unsigned count = group["count"].asUInt();
    const unsigned perRack = group["per_rack"].asUInt();
    const unsigned digits = group.get("digits", 1).asUInt();
    for (unsigned index = 0; index < count; ++index) {
        WorkerDescription worker;
        worker.name = numbered(group["prefix"].asString(), first + index, digits);
        worker.rack = numbered(group["rack_prefix"].asString(), index / perRack + 1, 1);
        worker.dataCentre = group["data_centre"].asString();
        worker.capacity = readResources(group);
        workers.push_back(std::move(worker));
    }
}

WorkerTimings readTimings(const Json::Value &value)
{
    WorkerTimings timings;
    readDuration(value, "task_start_ms", timings.taskStart);
    readDuration(value, "checkpoint_ms", timings.checkpoint);
    readDuration(value, "reboot_ms", timings.reboot);
    readDuration(value, "usage_lag_ms", timings.usageLag);
    readReal(value, "usage_factor", timings.usageFactor);
    return timings;
}

Result<void> checkNames(const std::vector<WorkerDescription> &workers)
{
    std::set<std::string> names;
    for (const auto &worker : workers) {
        if (!names.insert(worker.name).second)
            return makeError(ErrorCode::DuplicateName, worker.name);
    }
    return {};
}

} // namespace

JobBehaviour parseJobBehaviour(const Json::Value &value)
{
    JobBehaviour behaviour;
    behaviour.job = value["job"].asString();
    if (value.isMember("run_ms"))
        behaviour.runTime = std::chrono::milliseconds(value["run_ms"].asInt64());
    if (value.isMember("processors") || value.isMember("memory_gigabytes")
        || value.isMember("accelerators"))
        behaviour.usage = readResources(value);
    behaviour.fails = value.get("fails", false).asBool();
    return behaviour;
}

Result<PlatformSettings> loadPlatformSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(value, loadSettings(path, schemaText));
    PlatformSettings settings;
    settings.address = value["address"].asString();
    settings.port = static_cast<std::uint16_t>(value["port"].asUInt());
    readReal(value, "writes_per_second", settings.writesPerSecond);
    readReal(value, "reads_per_second", settings.readsPerSecond);
    readDuration(value, "host_list_lag_ms", settings.hostListLag);
    readDuration(value, "gone_after_ms", settings.goneAfter);
    settings.timings = readTimings(value);
    settings.seed = value.get("seed", 1).asUInt64();
    for (const auto &group : value["workers"])
        appendWorkers(group, settings.workers);
    for (const auto &job : value["jobs"])
        settings.jobs.push_back(parseJobBehaviour(job));
    BOOST_LEAF_CHECK(checkNames(settings.workers));
    return settings;
}

} // namespace Peridot
