#include "FleetSettings.h"

#include <LibBase/Settings.h>
#include <LibPeer/PeerSocket.h>

namespace Peridot {

namespace {

constexpr const char *schemaText = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance_prefix", "data_centre", "store_url", "peer_address", "peer_key",
               "operator_address", "operator_port", "operators"],
  "properties": {
    "instance_prefix": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "data_centre": {"type": "string", "minLength": 1},
    "store_url": {"type": "string", "pattern": "^http://"},
    "peer_address": {"type": "string", "minLength": 1},
    "advertised_peer_address": {"type": "string", "minLength": 1},
    "peer_key": {"type": "string", "minLength": 8},
    "peers": {"type": "array", "items": {"type": "string"}},
    "operator_address": {"type": "string", "minLength": 1},
    "operator_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "operator_tls": {
      "type": "object", "additionalProperties": false, "required": ["certificate", "key"],
      "properties": {
        "certificate": {"type": "string", "minLength": 1},
        "key": {"type": "string", "minLength": 1}
      }},
    "operators": {"type": "array", "minItems": 1, "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "token"],
      "properties": {
        "name": {"type": "string", "minLength": 1},
        "token": {"type": "string", "minLength": 8}
      }}},
    "writes_per_second": {"type": "number", "minimum": 1},
    "reads_per_second": {"type": "number", "minimum": 1},
    "plan_period_ms": {"type": "integer", "minimum": 200, "maximum": 1000},
    "placement_policy": {"type": "string"},
    "lease_s": {"type": "integer", "minimum": 2, "maximum": 3600},
    "log_level": {"enum": ["debug", "info", "warning", "error"]}
  }
})";

} // namespace

Result<FleetSettings> loadFleetSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(value, loadSettings(path, schemaText));
    FleetSettings settings;
    settings.instancePrefix = value["instance_prefix"].asString();
    settings.dataCentre = value["data_centre"].asString();
    settings.storeUrl = value["store_url"].asString();
    settings.peerAddress = value["peer_address"].asString();
    settings.advertisedPeerAddress = value["advertised_peer_address"].asString();
    if (!settings.advertisedPeerAddress.empty())
        BOOST_LEAF_CHECK(parsePeerAddress(settings.advertisedPeerAddress));
    settings.peerKey = value["peer_key"].asString();
    for (const auto &peer : value["peers"]) {
        BOOST_LEAF_CHECK(parsePeerAddress(peer.asString()));
        settings.peers.push_back(peer.asString());
    }
    BOOST_LEAF_CHECK(parsePeerAddress(settings.peerAddress));
    settings.operatorAddress = value["operator_address"].asString();
    settings.operatorPort = static_cast<std::uint16_t>(value["operator_port"].asUInt());
    settings.operatorTls = parseTlsSettings(value["operator_tls"]);
    for (const auto &entry : value["operators"])
        settings.operators.push_back({entry["name"].asString(), entry["token"].asString()});
    settings.writesPerSecond = value.get("writes_per_second", settings.writesPerSecond).asDouble();
    settings.readsPerSecond = value.get("reads_per_second", settings.readsPerSecond).asDouble();
    settings.planPeriod = std::chrono::milliseconds(value.get("plan_period_ms", 500).asInt64());
    settings.placementPolicy = value.get("placement_policy", "peridot").asString();
    settings.logLevel
        = logLevelNames.valueOf(value["log_level"].asString()).value_or(LogLevel::Info);
    settings.timing = membershipTimingFor(std::chrono::seconds(value.get("lease_s", 10).asInt64()));
    return settings;
}

} // namespace Peridot
