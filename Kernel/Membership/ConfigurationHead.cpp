#include <Kernel/Membership/ConfigurationHead.h>

#include "RowFields.h"

namespace Peridot {

std::string configurationVersionKey(std::uint64_t version)
{
    return "configuration/version/" + std::to_string(version);
}

std::string writeConfigurationHead(const ConfigurationHead &head)
{
    Json::Value value(Json::objectValue);
    value["version"] = Json::UInt64(head.version);
    value["state"] = std::string(configurationStateNames.nameOf(head.state));
    value["digest"] = head.digest;
    value["author"] = head.author;
    value["operation"] = head.operation;
    return writeJson(value);
}

Result<ConfigurationHead> parseConfigurationHead(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    ConfigurationHead head;
    BOOST_LEAF_ASSIGN(head.version, unsignedField(value, "version"));
    BOOST_LEAF_AUTO(stateName, stringField(value, "state"));
    const auto state = configurationStateNames.valueOf(stateName);
    if (!state)
        return makeError(ErrorCode::InvalidValue, "state", stateName);
    head.state = *state;
    BOOST_LEAF_ASSIGN(head.digest, stringField(value, "digest"));
    BOOST_LEAF_ASSIGN(head.author, stringField(value, "author"));
    BOOST_LEAF_ASSIGN(head.operation, stringField(value, "operation"));
    return head;
}

std::string writeConfigurationVersion(const ConfigurationVersion &version)
{
    Json::Value value(Json::objectValue);
    value["manifest"] = version.manifest;
    value["author"] = version.author;
    value["parent"] = Json::UInt64(version.parent);
    value["operation"] = version.operation;
    return writeJson(value);
}

Result<ConfigurationVersion> parseConfigurationVersion(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    ConfigurationVersion version;
    BOOST_LEAF_ASSIGN(version.manifest, stringField(value, "manifest"));
    BOOST_LEAF_ASSIGN(version.author, stringField(value, "author"));
    BOOST_LEAF_ASSIGN(version.parent, unsignedField(value, "parent"));
    BOOST_LEAF_ASSIGN(version.operation, stringField(value, "operation"));
    return version;
}

} // namespace Peridot
