#include "EntrySettings.h"

#include "EntrySettingsSchema.h"
#include <LibBase/Settings.h>
#include <LibPeer/PeerSocket.h>

namespace Peridot {

namespace {

ListenAddress parseListenAddress(const Json::Value &value)
{
    ListenAddress endpoint;
    endpoint.address = value["address"].asString();
    endpoint.port = static_cast<std::uint16_t>(value["port"].asUInt());
    endpoint.tls = parseTlsSettings(value["tls"]);
    return endpoint;
}

template <typename Unit>
void readDuration(const Json::Value &value, const char *name, Unit &target)
{
    if (value.isMember(name))
        target = Unit(value[name].asInt64());
}

void readSize(const Json::Value &value, const char *name, std::size_t &target)
{
    if (value.isMember(name))
        target = value[name].asUInt64();
}

void readLimits(const Json::Value &limits, EntrySettings &settings)
{
    readSize(limits, "connections", settings.maximumConnections);
    readSize(limits, "queue", settings.queueLimit);
    readSize(limits, "answer_bytes", settings.maximumAnswerBytes);
    readDuration(limits, "read_timeout_ms", settings.readTimeout);
    readDuration(limits, "deadline_ms", settings.maximumDeadline);
    readDuration(limits, "connect_timeout_ms", settings.connectTimeout);
    readDuration(limits, "idle_connection_s", settings.idleConnectionTimeout);
    readDuration(limits, "stop_grace_ms", settings.stopGrace);
    readDuration(limits, "stop_limit_ms", settings.stopLimit);
}

Result<void> readMembership(const Json::Value &value, EntrySettings &settings)
{
    if (!value.isMember("membership"))
        return {};
    if (settings.storeUrl.empty())
        return makeError(ErrorCode::MissingField, "store_url", "membership needs the store");
    if (!value.isMember("peers"))
        return makeError(ErrorCode::MissingField, "peers", "membership needs a datagram address");
    const Json::Value &section = value["membership"];
    EntryMembershipSettings membership;
    membership.peerKey = section["peer_key"].asString();
    membership.advertisedAddress = section["advertised_address"].asString();
    if (!membership.advertisedAddress.empty())
        BOOST_LEAF_CHECK(parsePeerAddress(membership.advertisedAddress));
    for (const auto &peer : section["peers"])
        membership.peers.push_back(peer.asString());
    membership.lease = std::chrono::seconds(section.get("lease_s", 10).asInt64());
    membership.writesPerSecond
        = section.get("writes_per_second", membership.writesPerSecond).asDouble();
    membership.readsPerSecond
        = section.get("reads_per_second", membership.readsPerSecond).asDouble();
    settings.membership = std::move(membership);
    return {};
}

} // namespace

Result<EntrySettings> loadEntrySettings(const std::string &path)
{
    BOOST_LEAF_AUTO(value, loadSettings(path, entrySettingsSchema));
    EntrySettings settings;
    settings.instancePrefix = value["instance_prefix"].asString();
    settings.dataCentre = value["data_centre"].asString();
    settings.callers = parseListenAddress(value["callers"]);
    settings.administration = parseListenAddress(value["administration"]);
    settings.peers = parseListenAddress(value["peers"]);
    settings.storeUrl = value["store_url"].asString();
    settings.operatorToken = value["operator_token"].asString();
    readSize(value, "threads", settings.serverThreads);
    readSize(value, "transport_threads", settings.transportThreads);
    readLimits(value["limits"], settings);
    const Json::Value &policies = value["policies"];
    settings.admissionPolicy = policies.get("admission", settings.admissionPolicy).asString();
    settings.routingPolicy = policies.get("routing", settings.routingPolicy).asString();
    settings.logLevel = value.get("log_level", settings.logLevel).asString();
    if (value.isMember("bootstrap")) {
        BOOST_LEAF_AUTO(table, parseRoutingTable(value["bootstrap"]));
        settings.bootstrap = std::move(table);
    }
    BOOST_LEAF_CHECK(readMembership(value, settings));
    return settings;
}

} // namespace Peridot
