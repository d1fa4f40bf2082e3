#include <Kernel/Membership/MemberRow.h>

#include "LeaseRowJson.h"
#include "MemberDescriptionJson.h"
#include "RowFields.h"

namespace Peridot {

void writeDescription(Json::Value &object, const MemberDescription &description)
{
    object["instance"] = description.instance;
    object["role"] = std::string(memberRoleNames.nameOf(description.role));
    object["peer"] = description.peerAddress;
    object["service"] = description.serviceAddress;
    object["data_centre"] = description.dataCentre;
}

Result<MemberDescription> readDescription(const Json::Value &object)
{
    MemberDescription description;
    BOOST_LEAF_ASSIGN(description.instance, stringField(object, "instance"));
    BOOST_LEAF_AUTO(roleName, stringField(object, "role"));
    const auto role = memberRoleNames.valueOf(roleName);
    if (!role)
        return makeError(ErrorCode::InvalidValue, "role", roleName);
    description.role = *role;
    BOOST_LEAF_ASSIGN(description.peerAddress, stringField(object, "peer"));
    BOOST_LEAF_ASSIGN(description.serviceAddress, stringField(object, "service"));
    BOOST_LEAF_ASSIGN(description.dataCentre, stringField(object, "data_centre"));
    return description;
}

std::string writeMemberRow(const MemberRow &row)
{
    Json::Value value = leaseRowToJson(row.lease);
    writeDescription(value, row.description);
    value["version"] = Json::UInt64(row.configurationVersion);
    value["view_epoch"] = Json::UInt64(row.viewEpoch);
    return writeJson(value);
}

Result<MemberRow> parseMemberRow(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    MemberRow row;
    BOOST_LEAF_ASSIGN(row.lease, leaseRowFromJson(value));
    BOOST_LEAF_ASSIGN(row.description, readDescription(value));
    BOOST_LEAF_ASSIGN(row.configurationVersion, unsignedField(value, "version"));
    BOOST_LEAF_ASSIGN(row.viewEpoch, unsignedField(value, "view_epoch"));
    return row;
}

} // namespace Peridot
