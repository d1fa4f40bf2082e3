#pragma once

#include <LibBase/Json.h>
#include <cstdint>
#include <string>

namespace Peridot {

/// Functions that read a field of the JSON object of a row or message and return an error instead
/// of throwing an exception.

inline Result<std::string> stringField(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object[name].isString())
        return makeError(ErrorCode::InvalidValue, name, "string expected");
    return object[name].asString();
}

inline Result<std::uint64_t> unsignedField(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object[name].isUInt64())
        return makeError(ErrorCode::InvalidValue, name, "non-negative integer expected");
    return object[name].asUInt64();
}

inline Result<std::int64_t> integerField(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object[name].isInt64())
        return makeError(ErrorCode::InvalidValue, name, "integer expected");
    return object[name].asInt64();
}

} // namespace Peridot
