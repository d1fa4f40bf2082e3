#include "LinkSettings.h"

#include <LibBase/Settings.h>
#include <asio/ip/address.hpp>
#include <set>

namespace Peridot {

namespace {

constexpr const char *settingsSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["address", "control_port", "links"],
  "properties": {
    "address": {"type": "string", "minLength": 1},
    "control_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "links": {
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "protocol", "port", "target_port"],
        "properties": {
          "name": {"type": "string", "minLength": 1},
          "protocol": {"enum": ["tcp", "udp"]},
          "port": {"type": "integer", "minimum": 0, "maximum": 65535},
          "target_port": {"type": "integer", "minimum": 1, "maximum": 65535}
        }
      }
    }
  }
})";

} // namespace

Result<LinkSettings> loadLinkSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(value, loadSettings(path, settingsSchema));
    LinkSettings settings;
    settings.address = value["address"].asString();
    asio::error_code error;
    if (!asio::ip::make_address(settings.address, error).is_loopback() || error)
        return makeError(ErrorCode::InvalidValue, "address", "loopback address expected");
    settings.controlPort = static_cast<std::uint16_t>(value["control_port"].asUInt());
    std::set<std::string> names;
    for (const auto &entry : value["links"]) {
        LinkDescription link;
        link.name = entry["name"].asString();
        link.protocol = *linkProtocolNames.valueOf(entry["protocol"].asString());
        link.port = static_cast<std::uint16_t>(entry["port"].asUInt());
        link.targetPort = static_cast<std::uint16_t>(entry["target_port"].asUInt());
        if (!names.insert(link.name).second)
            return makeError(ErrorCode::DuplicateName, "links", link.name);
        settings.links.push_back(std::move(link));
    }
    return settings;
}

} // namespace Peridot
