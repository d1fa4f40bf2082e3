#include <Kernel/Fleet/HostRecord.h>

#include "RowReader.h"

namespace Peridot {

Result<HostRecord> parseHostRecord(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    RowReader reader(value);
    HostRecord record;
    record.name = reader.text("name");
    record.pool = reader.text("pool");
    record.rack = reader.text("rack");
    record.dataCentre = reader.text("data_centre");
    record.region = reader.text("region");
    record.state = reader.enumerator("state", hostStateNames);
    record.purpose = reader.enumerator("purpose", drainPurposeNames);
    record.since = reader.time("since");
    record.generation = reader.number("generation");
    record.rebootFrom = reader.number("reboot_from");
    record.targetGeneration = reader.number("target_generation");
    record.quarantines = reader.count("quarantines");
    record.probeAt = reader.time("probe_at");
    BOOST_LEAF_CHECK(reader.finish());
    return record;
}

std::string encodeHostRecord(const HostRecord &record)
{
    Json::Value value(Json::objectValue);
    value["name"] = record.name;
    value["pool"] = record.pool;
    value["rack"] = record.rack;
    value["data_centre"] = record.dataCentre;
    value["region"] = record.region;
    value["state"] = encodeName(hostStateNames.nameOf(record.state));
    value["purpose"] = encodeName(drainPurposeNames.nameOf(record.purpose));
    value["since"] = encodeTime(record.since);
    value["generation"] = Json::Value::UInt64(record.generation);
    value["reboot_from"] = Json::Value::UInt64(record.rebootFrom);
    value["target_generation"] = Json::Value::UInt64(record.targetGeneration);
    value["quarantines"] = record.quarantines;
    value["probe_at"] = encodeTime(record.probeAt);
    return writeJson(value);
}

} // namespace Peridot
