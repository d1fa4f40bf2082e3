#pragma once

#include <LibBase/Error.h>
#include <cstdint>
#include <json/value.h>
#include <string>

namespace Peridot {

/// Typed access to the members of a JSON object that came over the network. Errors:
/// ProtocolViolation with the member in the field.
Result<std::string> stringMember(const Json::Value &object, const char *name);
Result<std::uint64_t> unsignedMember(const Json::Value &object, const char *name);
Result<std::int64_t> integerMember(const Json::Value &object, const char *name);
Result<double> realMember(const Json::Value &object, const char *name);
Result<Json::Value> arrayMember(const Json::Value &object, const char *name);
Result<Json::Value> objectMember(const Json::Value &object, const char *name);

} // namespace Peridot
