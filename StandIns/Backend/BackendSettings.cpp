#include "BackendSettings.h"

#include <LibBase/Settings.h>

namespace Peridot {

namespace {

constexpr const char *settingsSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "address", "port", "control_port"],
  "properties": {
    "name": {"type": "string", "minLength": 1},
    "address": {"type": "string", "minLength": 1},
    "port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "control_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "slots": {"type": "integer", "minimum": 1, "maximum": 100000},
    "threads": {"type": "integer", "minimum": 1, "maximum": 16},
    "service_time_us": {"type": "integer", "minimum": 0, "maximum": 60000000},
    "slow_time_ms": {"type": "integer", "minimum": 1, "maximum": 600000}
  }
})";

} // namespace

Result<BackendSettings> loadBackendSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(value, loadSettings(path, settingsSchema));
    BackendSettings settings;
    settings.name = value["name"].asString();
    settings.address = value["address"].asString();
    settings.port = static_cast<std::uint16_t>(value["port"].asUInt());
    settings.controlPort = static_cast<std::uint16_t>(value["control_port"].asUInt());
    settings.slots = value.get("slots", settings.slots).asUInt();
    settings.threads = value.get("threads", settings.threads).asUInt();
    settings.serviceTime = std::chrono::microseconds(value.get("service_time_us", 0).asInt64());
    settings.slowTime = std::chrono::milliseconds(value.get("slow_time_ms", 3000).asInt64());
    return settings;
}

} // namespace Peridot
