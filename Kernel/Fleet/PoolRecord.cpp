#include <Kernel/Fleet/PoolRecord.h>

#include "RowReader.h"

namespace Peridot {

namespace {

WaveRecord parseWave(RowReader &parent, const Json::Value &value)
{
    RowReader reader(value, parent.pathOf("wave"));
    WaveRecord wave;
    wave.state = reader.enumerator("state", waveStateNames);
    wave.generation = reader.number("generation");
    wave.startedBy = reader.text("started_by");
    wave.startedAt = reader.time("started_at");
    wave.finishedAt = reader.time("finished_at");
    parent.include(reader);
    return wave;
}

Json::Value encodeWave(const WaveRecord &wave)
{
    Json::Value value(Json::objectValue);
    value["state"] = encodeName(waveStateNames.nameOf(wave.state));
    value["generation"] = Json::Value::UInt64(wave.generation);
    value["started_by"] = wave.startedBy;
    value["started_at"] = encodeTime(wave.startedAt);
    value["finished_at"] = encodeTime(wave.finishedAt);
    return value;
}

void parsePermits(RowReader &parent, PoolRecord &record)
{
    const auto &permits = parent.object("permits");
    for (const auto &host : permits.getMemberNames()) {
        RowReader reader(permits[host], parent.pathOf("permits/" + host));
        Permit permit;
        permit.purpose = reader.enumerator("purpose", drainPurposeNames);
        permit.since = reader.time("since");
        parent.include(reader);
        record.permits.emplace(host, permit);
    }
}

void parseUnavailable(RowReader &parent, PoolRecord &record)
{
    const auto &unavailable = parent.object("unavailable");
    for (const auto &host : unavailable.getMemberNames()) {
        RowReader reader(unavailable[host], parent.pathOf("unavailable/" + host));
        Unavailability entry;
        entry.reason = reader.enumerator("reason", unavailabilityReasonNames);
        entry.since = reader.time("since");
        parent.include(reader);
        record.unavailable.emplace(host, entry);
    }
}

} // namespace

Result<PoolRecord> parsePoolRecord(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    RowReader reader(value);
    PoolRecord record;
    record.name = reader.text("name");
    record.budget = reader.count("budget");
    record.configurationVersion = reader.number("configuration_version");
    record.fencingEpoch = reader.number("fencing_epoch");
    record.wave = parseWave(reader, reader.object("wave"));
    parsePermits(reader, record);
    parseUnavailable(reader, record);
    for (auto &host : reader.texts("arrivals"))
        record.incomingHosts.insert(std::move(host));
    BOOST_LEAF_CHECK(reader.finish());
    return record;
}

std::string encodePoolRecord(const PoolRecord &record)
{
    Json::Value value(Json::objectValue);
    value["name"] = record.name;
    value["budget"] = record.budget;
    value["configuration_version"] = Json::Value::UInt64(record.configurationVersion);
    value["fencing_epoch"] = Json::Value::UInt64(record.fencingEpoch);
    value["wave"] = encodeWave(record.wave);
    auto &permits = value["permits"] = Json::Value(Json::objectValue);
    for (const auto &[host, permit] : record.permits) {
        permits[host]["purpose"] = encodeName(drainPurposeNames.nameOf(permit.purpose));
        permits[host]["since"] = encodeTime(permit.since);
    }
    auto &unavailable = value["unavailable"] = Json::Value(Json::objectValue);
    for (const auto &[host, entry] : record.unavailable) {
        unavailable[host]["reason"] = encodeName(unavailabilityReasonNames.nameOf(entry.reason));
        unavailable[host]["since"] = encodeTime(entry.since);
    }
    auto &incomingHosts = value["arrivals"] = Json::Value(Json::arrayValue);
    for (const auto &host : record.incomingHosts)
        incomingHosts.append(host);
    return writeJson(value);
}

} // namespace Peridot
