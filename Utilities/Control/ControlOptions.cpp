#include "ControlOptions.h"

#include <LibBase/Settings.h>

namespace Peridot {

namespace {

constexpr const char *schemaText = R"({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "addresses": {"type": "array", "minItems": 1,
                  "items": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}},
    "token": {"type": "string"},
    "authority": {"type": "string", "minLength": 1},
    "timeout_s": {"type": "integer", "minimum": 1, "maximum": 600}
  }
})";

} // namespace

Result<ControlOptions> loadControlOptions(const std::string &path)
{
    ControlOptions options;
    if (path.empty())
        return options;
    BOOST_LEAF_AUTO(value, loadSettings(path, schemaText));
    for (const auto &address : value["addresses"])
        options.addresses.push_back(address.asString());
    options.token = value.get("token", "").asString();
    options.authorityFile = value.get("authority", "").asString();
    options.timeoutSeconds = value.get("timeout_s", Json::Int64(options.timeoutSeconds)).asInt64();
    return options;
}

} // namespace Peridot
