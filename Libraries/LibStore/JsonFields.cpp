#include "JsonFields.h"

namespace Peridot {

namespace {

using Predicate = bool (Json::Value::*)() const;

Result<Json::Value> checkedMember(const Json::Value &object, const char *name, Predicate predicate)
{
    if (!object.isObject())
        return makeError(ErrorCode::ProtocolViolation, name, "not inside an object");
    const Json::Value &member = object[name];
    if (!(member.*predicate)())
        return makeError(ErrorCode::ProtocolViolation, name, "absent or of the wrong type");
    return member;
}

} // namespace

Result<std::string> stringMember(const Json::Value &object, const char *name)
{
    BOOST_LEAF_AUTO(member, checkedMember(object, name, &Json::Value::isString));
    return member.asString();
}

Result<std::uint64_t> unsignedMember(const Json::Value &object, const char *name)
{
    BOOST_LEAF_AUTO(member, checkedMember(object, name, &Json::Value::isUInt64));
    return member.asUInt64();
}

Result<std::int64_t> integerMember(const Json::Value &object, const char *name)
{
    BOOST_LEAF_AUTO(member, checkedMember(object, name, &Json::Value::isInt64));
    return member.asInt64();
}

Result<double> realMember(const Json::Value &object, const char *name)
{
    BOOST_LEAF_AUTO(member, checkedMember(object, name, &Json::Value::isNumeric));
    return member.asDouble();
}

Result<Json::Value> arrayMember(const Json::Value &object, const char *name)
{
    return checkedMember(object, name, &Json::Value::isArray);
}

Result<Json::Value> objectMember(const Json::Value &object, const char *name)
{
    return checkedMember(object, name, &Json::Value::isObject);
}

} // namespace Peridot
