#pragma once

#include <Kernel/Membership/MemberRow.h>
#include <json/value.h>

namespace Peridot {

void writeDescription(Json::Value &object, const MemberDescription &description);
/// Errors: InvalidValue.
Result<MemberDescription> readDescription(const Json::Value &object);

} // namespace Peridot
