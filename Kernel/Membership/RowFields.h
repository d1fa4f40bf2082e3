#pragma once

#include <LibBase/Json.h>
#include <cstdint>
#include <string>

namespace Peridot {

/// Members of the JSON object of a row or message, with typed errors instead of exceptions.

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
