#pragma once

#include <Kernel/Membership/LeaseRow.h>
#include <json/value.h>

namespace Peridot {

Json::Value leaseRowToJson(const LeaseRow &row);
/// Errors: InvalidValue. Other fields of the object are ignored.
Result<LeaseRow> leaseRowFromJson(const Json::Value &value);

} // namespace Peridot
