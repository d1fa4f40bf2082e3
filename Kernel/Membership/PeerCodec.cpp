#include "PeerCodec.h"

#include "MemberDescriptionJson.h"
#include "RowFields.h"

namespace Peridot {

Json::Value heartbeatToJson(const Heartbeat &heartbeat)
{
    Json::Value value(Json::objectValue);
    value["kind"] = "heartbeat";
    writeDescription(value, heartbeat.sender);
    value["sent"] = Json::Int64(heartbeat.sentAt);
    value["echo"] = Json::Int64(heartbeat.echo);
    value["version"] = Json::UInt64(heartbeat.configurationVersion);
    value["view_epoch"] = Json::UInt64(heartbeat.viewEpoch);
    return value;
}

Result<Heartbeat> heartbeatFromJson(const Json::Value &value)
{
    Heartbeat heartbeat;
    BOOST_LEAF_ASSIGN(heartbeat.sender, readDescription(value));
    BOOST_LEAF_ASSIGN(heartbeat.sentAt, integerField(value, "sent"));
    BOOST_LEAF_ASSIGN(heartbeat.echo, integerField(value, "echo"));
    BOOST_LEAF_ASSIGN(heartbeat.configurationVersion, unsignedField(value, "version"));
    BOOST_LEAF_ASSIGN(heartbeat.viewEpoch, unsignedField(value, "view_epoch"));
    return heartbeat;
}

} // namespace Peridot
