#include <Kernel/Membership/LeaseRow.h>

#include "LeaseRowJson.h"
#include "RowFields.h"

namespace Peridot {

Json::Value leaseRowToJson(const LeaseRow &row)
{
    Json::Value value(Json::objectValue);
    value["holder"] = row.holder;
    value["epoch"] = Json::UInt64(row.epoch);
    value["duration_ms"]
        = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(row.duration).count());
    value["expiry_ms"] = Json::Int64(row.expiryMilliseconds);
    value["operation"] = row.operation;
    return value;
}

Result<LeaseRow> leaseRowFromJson(const Json::Value &value)
{
    LeaseRow row;
    BOOST_LEAF_ASSIGN(row.holder, stringField(value, "holder"));
    BOOST_LEAF_ASSIGN(row.epoch, unsignedField(value, "epoch"));
    BOOST_LEAF_AUTO(duration, integerField(value, "duration_ms"));
    row.duration = std::chrono::milliseconds(duration);
    BOOST_LEAF_ASSIGN(row.expiryMilliseconds, integerField(value, "expiry_ms"));
    BOOST_LEAF_ASSIGN(row.operation, stringField(value, "operation"));
    return row;
}

std::string writeLeaseRow(const LeaseRow &row)
{
    return writeJson(leaseRowToJson(row));
}

Result<LeaseRow> parseLeaseRow(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    return leaseRowFromJson(value);
}

} // namespace Peridot
