#pragma once

#include <Kernel/Fleet/Manifest.h>
#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace Peridot {

/// A simulated worker and its failure domains.
struct WorkerDescription
{
    std::string name;
    std::string rack;
    std::string dataCentre;
    Resources capacity;
};

/// How the tasks of one job behave, whatever the job declares.
struct JobBehaviour
{
    std::string job;
    std::optional<Duration> runTime; ///< nothing: runs until it is stopped
    std::optional<Resources> usage; ///< nothing: the usage factor times the limit of the start
    bool fails = false; ///< each task fails right after its start
};

struct WorkerTimings
{
    Duration taskStart = std::chrono::milliseconds(50);
    Duration checkpoint = std::chrono::milliseconds(200);
    Duration reboot = std::chrono::seconds(2);
    Duration usageLag = std::chrono::seconds(1); ///< age of the usage in a report
    double usageFactor = 0.6; ///< usage of a task relative to its limit
};

struct PlatformSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free port
    double writesPerSecond = 300;
    double readsPerSecond = 2000;
    Duration hostListLag = std::chrono::milliseconds(500);
    Duration goneAfter = std::chrono::seconds(2); ///< silence after which a host counts as gone
    WorkerTimings timings;
    std::uint64_t seed = 1;
    std::vector<WorkerDescription> workers;
    std::vector<JobBehaviour> jobs;
};

/// Errors: FileUnreadable, InvalidJson, SchemaViolation, DuplicateName with the name of the worker.
Result<PlatformSettings> loadPlatformSettings(const std::string &path);

/// Reads a job behaviour of the settings or of a control call, which the schema has checked.
JobBehaviour parseJobBehaviour(const Json::Value &value);

} // namespace Peridot
