#pragma once

#include <Kernel/Membership/MembershipTracker.h>
#include <json/value.h>

namespace Peridot {

Json::Value heartbeatToJson(const Heartbeat &heartbeat);
/// Errors: InvalidValue.
Result<Heartbeat> heartbeatFromJson(const Json::Value &value);

} // namespace Peridot
